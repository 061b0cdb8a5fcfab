#include "target.h"

namespace soak
{

namespace
{

constexpr int SLOTS = 3;
constexpr int QUEUE = 8;
/* Short, so that a run of a few seconds covers thousands of requests. */
constexpr int MIN_WORK_MS = 5;
constexpr int MAX_WORK_MS = 30;
constexpr int SLOW_FACTOR = 12;
/* Share of the requests to which a faulty target applies its mode. */
constexpr double FAULTY_SHARE = 0.7;
constexpr double SHED_SHARE = 0.9;

int deadline_ms(const std::string &request)
{
	std::string text = header(request, "X-Deadline-Ms");

	return text.empty() ? 5000 : std::stoi(text);
}

std::string notice_header(Notice notice)
{
	if (notice == Notice::Limit)
		return "Server-Limit: " + std::to_string(LIMIT) + "\r\n";
	return notice == Notice::Leaving ? "Server-Leaving: 1\r\n" : "";
}

} // namespace

Target::Target(TargetConfig c, Store &s, Ledger &l, uint32_t seed,
	       NoticeChecker::MayHaveMissed may_have_missed)
    : config(std::move(c)), store(s), ledger(l),
      notices(l, config.id, std::move(may_have_missed)), random(seed),
      listener(config.real,
	       [this](int fd, const std::string &vm) { serve(fd, vm); })
{
}

bool Target::open()
{
	if (!listener.open())
		return false;
	heartbeat();
	return true;
}

void Target::heartbeat()
{
	std::lock_guard<std::mutex> lock(mutex);
	bool leaving = draining_since != 0;

	if (crashed)
		return;
	store.write("servers/" + config.id,
		    R"({"address":")" + config.published.text() +
			    R"(","info":{"service":")" + config.service +
			    R"(","zone":")" + config.zone +
			    R"(","version":"v1","slots":)" +
			    std::to_string(SLOTS) + R"(},"status":{"state":")" +
			    (leaving ? "draining" : "ready") +
			    R"(","coldLeft":"0ms","sequence":)" +
			    std::to_string(++sequence) + "}}");
}

void Target::drain()
{
	draining_since = Clock::now().time_since_epoch().count();
	heartbeat();
	draining_since = Clock::now().time_since_epoch().count();
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
	store.remove("servers/" + config.id);
}

bool Target::chance(double p)
{
	std::lock_guard<std::mutex> lock(mutex);

	return std::uniform_real_distribution<>(0, 1)(random) < p;
}

int Target::work_ms()
{
	std::lock_guard<std::mutex> lock(mutex);

	return std::uniform_int_distribution<>(MIN_WORK_MS,
					       MAX_WORK_MS)(random);
}

std::string Target::make_response(const std::string &id,
				  const std::string &stamp, int status,
				  const std::string &notice)
{
	return http(status,
		    notice + "X-Request-Id: " + id +
			    "\r\nX-Server-Stamp: " + stamp +
			    "\r\nX-Server-Load: " + std::to_string(running) +
			    ",0," + std::to_string(SLOTS) + "\r\n",
		    status == 200 ? response_body(id, stamp) : "failed\n");
}

void Target::answer_without_end(int fd, Mode now, const std::string &id,
				const std::string &stamp)
{
	auto lasts = [&] { return mode == now; };

	if (now == Mode::EndlessHead)
		send_without_end(fd, "", "HTTP/1.1 100 Continue\r\n\r\n", 0,
				 lasts);
	else
		send_without_end(fd,
				 "HTTP/1.1 200 X\r\nX-Request-Id: " + id +
					 "\r\nX-Server-Stamp: " + stamp +
					 "\r\n\r\n",
				 std::string(16384, 'x'), 2000, lasts);
	/* Without a length, an orderly end would make it a whole response. */
	set_reset_on_close(fd);
}

bool Target::work(int fd, const std::string &request, const std::string &id,
		  const std::string &vm)
{
	Mode now = chance(FAULTY_SHARE) ? mode.load() : Mode::Healthy;
	std::string stamp = config.id + "." + std::to_string(++run_count);
	std::string text;

	last_run_at = Clock::now().time_since_epoch().count();
	ledger.record_run(id, { config.service, config.id, stamp },
			  body_of(request));
	if (now == Mode::Hang) {
		usleep((useconds_t)deadline_ms(request) * 1000);
		return false;
	}
	usleep((useconds_t)work_ms() * 1000 *
	       (now == Mode::Slow ? SLOW_FACTOR : 1));
	if (now == Mode::EndlessHead || now == Mode::EndlessBody) {
		answer_without_end(fd, now, id, stamp);
		return false;
	}
	if (now == Mode::Reset) {
		set_reset_on_close(fd);
		return false;
	}
	Notice notice = current_notice;

	text = make_response(id, stamp, now == Mode::Errors ? 500 : 200,
			     notice_header(notice));
	notices.record_response(vm, notice);
	if (now == Mode::Cut) {
		send_all(fd, text.substr(0, text.size() - 5));
		return false;
	}
	if (now == Mode::Extra)
		text = make_response("other-" + id, "other", 200, "") + text;
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
	ledger.record_arrival(id, config.service);
	if (!expected.empty() && expected != config.id)
		return send_all(fd, http(421, not_run, ""));
	notices.record_request(vm);
	if (current_notice == Notice::RetryAfter) {
		notices.record_response(vm, Notice::RetryAfter);
		return send_all(fd, http(503,
					 not_run + "Retry-After: " +
						 std::to_string(RETRY_AFTER_S) +
						 "\r\n",
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
