/*
 * Case: a configuration of nearly the size that the store allows is changed in
 * quick succession. No VM gets any of the changes.
 */
#include "kit.h"

using namespace kit;

namespace
{

constexpr unsigned VMS = 6, ZONES = 3, SERVERS = 6;
constexpr unsigned IDLE_ROUTES = 10200;
/* The users' quickest storm on a small site: a change each 0.08 s for 2 s. */
constexpr unsigned CHANGES = 25;
constexpr double GAP_S = 0.08;
constexpr size_t VALUE_BYTES = 1048576;
/* The users' configApply, which equals drain; requests are sent from some time
 * after it. */
constexpr double CONFIG_APPLY_S = 2.0, MARGIN_S = 0.5, CHECK_S = 6;

std::string make_config(unsigned version, const std::string &service)
{
	std::vector<Route> routes{ { "move", "/move/", "safe", "2500ms",
				     service } };

	for (unsigned i = 0; i < IDLE_ROUTES; i++) {
		std::string n = std::to_string(i);

		routes.push_back({ "idle-route-" + n,
				   "/idle-routes-of-one-member/" + n + "/",
				   "safe", "2500ms", "old" });
	}
	return config(version, routes, { "old", "new" });
}

/* Answers each request at once, with its service in the body. */
void serve(int fd, const std::string &service, const std::string &id,
	   Record &record)
{
	std::string rest;

	for (;;) {
		std::string request = soak::read_message(fd, rest);
		std::string name = soak::header(request, "X-Request-Id");

		if (request.empty())
			return;
		if (soak::header(request, "X-Expect-Instance") != id) {
			soak::send_all(fd, soak::http(421,
						      "X-Not-Executed: 1\r\n",
						      ""));
			continue;
		}
		record.line("server %s of service %s: runs %s", id.c_str(),
			    service.c_str(), name.c_str());
		if (!soak::send_all(fd,
				    soak::http(200,
					       "X-Request-Id: " + name +
						       "\r\nX-Server-Stamp: " +
						       id + ".1\r\n",
					       service)))
			return;
	}
}

/* Returns the service that ran the request, or its status. */
std::string send_request(const Vm &vm, const std::string &id)
{
	int fd = soak::dial({ vm.ip, FRONT }, 3000);
	std::string rest, answer;

	if (fd < 0)
		return "no connection";
	if (soak::send_all(fd, request_head("GET", "/move/1", id, 3000, 0)))
		answer = soak::read_message(fd, rest);
	close(fd);
	if (answer.rfind("HTTP/1.1 200", 0) == 0)
		return soak::body_of(answer);
	return answer.empty() ? "no answer" : answer.substr(9, 3);
}

int run(const std::string &dir, Record &record)
{
	std::string net = free_network();
	Store store({ net + "250", STORE });
	std::vector<std::unique_ptr<soak::Listener>> servers;
	std::vector<std::unique_ptr<Vm>> vms;
	std::string value = make_config(3, "old");
	std::string draining;
	unsigned sent = 0, by_old = 0, by_new = 0;
	Time acknowledged;

	if (net.empty() || !store.open() || value.size() > VALUE_BYTES)
		return NOT_RUN;
	store.write("op/config", value);
	record.line("operator: version 3, %zu bytes, /move/ goes to service old",
		    value.size());
	for (unsigned i = 0; i < SERVERS; i++) {
		Address at{ net + std::to_string(100 + i), SERVER };
		std::string id = "i-" + std::to_string(i);
		std::string service = i % 2 ? "new" : "old";

		servers.push_back(std::make_unique<soak::Listener>(
			at, [service, id, &record](int fd, const std::string &) {
				serve(fd, service, id, record);
			}));
		if (!servers.back()->open())
			return NOT_RUN;
		store.write("servers/" + id,
			    server_entry(at, service,
					 "z" + std::to_string(i % ZONES)));
	}
	for (unsigned i = 0; i < VMS; i++) {
		vms.push_back(std::make_unique<Vm>(
			net, i + 1, "z" + std::to_string(i % ZONES), dir));
		vms.back()->start();
	}
	for (auto &vm : vms)
		if (!vm->wait_until_ready())
			return NOT_RUN;
	sleep_s(4);
	for (auto &vm : vms)
		if (send_request(*vm, "before-" + vm->ip) != "old")
			return NOT_RUN;

	std::vector<std::string> changes;
	for (unsigned i = 1; i <= CHANGES; i++)
		changes.push_back(
			make_config(9 + i, i < CHANGES ? "old" : "new"));
	if (!trouble())
		changes.erase(changes.begin(), changes.end() - 1);
	for (const std::string &change : changes) {
		Time at = Clock::now();

		store.write("op/config", change);
		acknowledged = Clock::now();
		record.line("operator: %s, acknowledged%s",
			    change.substr(1, 12).c_str(),
			    &change == &changes.back()
				    ? "; /move/ goes to service new"
				    : "");
		sleep_s(GAP_S - seconds(Clock::now() - at));
	}
	/* Of service old; it serves on for as long as the run lasts. */
	draining = server_entry({ net + "100", SERVER }, "old", "z0");
	draining.replace(draining.find("ready"), 5, "draining");
	store.write("servers/i-0", draining);
	record.line("server i-0 of service old: draining; acknowledged");
	sleep_s(CONFIG_APPLY_S + MARGIN_S -
		seconds(Clock::now() - acknowledged));
	while (seconds(Clock::now() - acknowledged) <
	       CONFIG_APPLY_S + MARGIN_S + CHECK_S) {
		for (auto &vm : vms) {
			std::string id = "r-" + std::to_string(++sent);
			double after = seconds(Clock::now() - acknowledged);
			std::string by = send_request(*vm, id);

			record.line("client: %s, sent to %s %.3f s after the "
				    "last acknowledgement: %s",
				    id.c_str(), vm->ip.c_str(), after,
				    by.c_str());
			by_old += by == "old";
			by_new += by == "new";
		}
		sleep_s(0.5);
	}
	record.line("of %u requests sent later than configApply after the "
		    "acknowledgement, the old service ran %u and the new one "
		    "%u; largest answer to a watch: %zu bytes",
		    sent, by_old, by_new, store.largest_watch.load());
	for (auto &vm : vms)
		vm->send(SIGKILL);
	return by_old ? BROKEN : by_new == sent ? HELD : NOT_RUN;
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 3)
		return NOT_RUN;
	limit_run_time();
	Record record(argv[2]);
	int result = run(argv[1], record);

	record.line("result: %s", result == HELD     ? "the rule held"
				  : result == BROKEN ? "the rule was broken"
						     : "the case did not run");
	return result;
}
