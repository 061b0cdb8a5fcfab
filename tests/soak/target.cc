#include "target.h"

namespace soak
{

namespace
{

constexpr int SLOTS = 3;
constexpr int QUEUE = 8;
/* Short work, so that a run of seconds holds thousands of requests. */
constexpr int WORK_LEAST_MS = 5;
constexpr int WORK_MOST_MS = 30;
constexpr int SLOW_TIMES = 12;
/* What a sick target does to a part of what it gets. */
constexpr double SICK_SHARE = 0.7;
constexpr double SHED_SHARE = 0.9;

int deadline_ms(const std::string &request)
{
	std::string text = header(request, "X-Deadline-Ms");

	return text.empty() ? 5000 : std::stoi(text);
}

std::string header_of(Says says)
{
	if (says == Says::Limit)
		return "Server-Limit: " + std::to_string(LIMIT) + "\r\n";
	return says == Says::Leaving ? "Server-Leaving: 1\r\n" : "";
}

} // namespace

Target::Target(TargetPlace p, Store &s, Ledger &l, uint32_t seed,
	       Notices::Excused excused)
    : place(std::move(p)), store(s), ledger(l),
      notices(l, place.id, std::move(excused)), random(seed),
      listener(place.real,
	       [this](int fd, const std::string &vm) { serve(fd, vm); })
{
}

bool Target::open()
{
	if (!listener.open())
		return false;
	beat();
	return true;
}

void Target::beat()
{
	std::lock_guard<std::mutex> lock(mutex);
	bool leaving = left_at != 0;

	if (crashed)
		return;
	store.write("servers/" + place.id,
		    R"({"address":")" + place.published.text() +
			    R"(","info":{"service":")" + place.service +
			    R"(","zone":")" + place.zone +
			    R"(","version":"v1","slots":)" +
			    std::to_string(SLOTS) + R"(},"status":{"state":")" +
			    (leaving ? "draining" : "ready") +
			    R"(","coldLeft":"0ms","sequence":)" +
			    std::to_string(++sequence) + "}}");
}

void Target::drain()
{
	left_at = Clock::now().time_since_epoch().count();
	beat();
	left_at = Clock::now().time_since_epoch().count();
}

void Target::crash()
{
	{
		std::lock_guard<std::mutex> lock(mutex);

		crashed = true;
	}
	listener.shut();
}

bool Target::has_crashed()
{
	std::lock_guard<std::mutex> lock(mutex);

	return crashed;
}

void Target::unregister()
{
	store.remove("servers/" + place.id);
}

bool Target::chance(double p)
{
	std::lock_guard<std::mutex> lock(mutex);

	return std::uniform_real_distribution<>(0, 1)(random) < p;
}

int Target::work_ms()
{
	std::lock_guard<std::mutex> lock(mutex);

	return std::uniform_int_distribution<>(WORK_LEAST_MS,
					       WORK_MOST_MS)(random);
}

std::string Target::stamped(const std::string &id, const std::string &stamp,
			    int status, const std::string &notice)
{
	return http(status,
		    notice + "X-Request-Id: " + id +
			    "\r\nX-Server-Stamp: " + stamp +
			    "\r\nX-Server-Load: " + std::to_string(running) +
			    ",0," + std::to_string(SLOTS) + "\r\n",
		    status == 200 ? body_for(id, stamp) : "failed\n");
}

bool Target::work(int fd, const std::string &request, const std::string &id,
		  const std::string &vm)
{
	Mode now = chance(SICK_SHARE) ? mode.load() : Mode::Well;
	std::string stamp = place.id + "." + std::to_string(++runs);
	std::string text;

	last_run_at = Clock::now().time_since_epoch().count();
	ledger.runs(id, { place.service, place.id, stamp }, body_of(request));
	if (now == Mode::Hang) {
		usleep((useconds_t)deadline_ms(request) * 1000);
		return false;
	}
	usleep((useconds_t)work_ms() * 1000 *
	       (now == Mode::Slow ? SLOW_TIMES : 1));
	if (now == Mode::Reset) {
		reset(fd);
		return false;
	}
	Says word = says;

	text = stamped(id, stamp, now == Mode::Errors ? 500 : 200,
		       header_of(word));
	notices.answered(vm, word);
	if (now == Mode::Cut) {
		send_all(fd, text.substr(0, text.size() - 5));
		return false;
	}
	if (now == Mode::Extra)
		text = stamped("other-" + id, "other", 200, "") + text;
	return send_all(fd, text);
}

bool Target::handle(int fd, const std::string &request, const std::string &vm)
{
	static const std::string not_run = "X-Not-Executed: 1\r\n";
	std::string id = header(request, "X-Request-Id");
	std::string expected = header(request, "X-Expect-Instance");
	bool more;

	if (id.empty())
		return send_all(fd, http(400, not_run, ""));
	ledger.arrives(id, place.service);
	if (!expected.empty() && expected != place.id)
		return send_all(fd, http(421, not_run, ""));
	notices.arrived(vm);
	if (says == Says::Rest) {
		notices.answered(vm, Says::Rest);
		return send_all(fd,
				http(503,
				     not_run + "Retry-After: " +
					     std::to_string(REST_S) + "\r\n",
				     ""));
	}
	if (running >= SLOTS + QUEUE ||
	    (mode == Mode::Shed && chance(SHED_SHARE)))
		return send_all(fd, http(503, not_run, ""));
	running++;
	more = work(fd, request, id, vm);
	running--;
	return more;
}

void Target::serve(int fd, const std::string &vm)
{
	std::string rest;

	for (;;) {
		std::string request = read_message(fd, rest);

		if (request.empty() || !handle(fd, request, vm))
			return;
	}
}

} // namespace soak
