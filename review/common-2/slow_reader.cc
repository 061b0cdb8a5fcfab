/*
 * Case: a VM is stopped while callers read answers that the VM has not yet
 * handed to the kernel as a whole.
 */
#include "kit.h"

using namespace kit;

namespace
{

constexpr unsigned VMS = 3, SERVERS = 8, CALLERS = 4;
constexpr size_t ANSWER = 1024 * 1024;
/* Callers read this many bytes a second: 5.2 s an answer. */
constexpr double READ_RATE = 200000;
constexpr double WORK_S = 0.24;
/* Between the requests and SIGTERM, which the platform sends to one VM. */
constexpr double TERM_AFTER_S = 0.4;
/* The deadline of the requests, and the timeout of their route. */
constexpr unsigned DEADLINE_MS = 8000;
/* Until when after SIGTERM a cut counts: 1 s after grace. */
constexpr double COUNTS_FOR_S = 7;

void serve(int fd, const std::string &id, Record &record)
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
		sleep_s(WORK_S);
		bool sent = soak::send_all(
			fd, soak::http(200,
				       "X-Request-Id: " + name +
					       "\r\nX-Server-Stamp: " + id +
					       ".1\r\n",
				       std::string(ANSWER, 'a')));
		record.line("server %s: ran %s and sent its answer%s",
			    id.c_str(), name.c_str(), sent ? "" : ", in part");
		if (!sent)
			return;
	}
}

/* What a caller got of its answer. */
struct Outcome {
	size_t bytes = 0;
	Time sent, ended;
};

/* A caller that reads its answer slowly. */
Outcome call(const Vm &vm, const std::string &id, Record &record)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in to = soak::to_sockaddr({ vm.ip, FRONT });
	std::string rest, head;
	char buf[8192];
	size_t got = 0;
	Outcome out;

	out.sent = Clock::now();
	set_small_buffers(fd, 8192);
	soak::set_timeout(fd, 9000);
	if (connect(fd, (sockaddr *)&to, sizeof(to)) ||
	    !soak::send_all(fd, request_head("GET", "/read/1", id,
						 DEADLINE_MS, 0))) {
		close(fd);
		return out;
	}
	record.line("caller: %s sent to %s", id.c_str(), vm.ip.c_str());
	head = read_head(fd, rest);
	got = rest.size();
	record.line("caller: %s, head of the answer: status %s, "
		    "Content-Length %s",
		    id.c_str(), head.empty() ? "none" : head.substr(9, 3).c_str(),
		    soak::header(head, "Content-Length").c_str());
	while (!head.empty() && got < ANSWER) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			break;
		got += (size_t)n;
		sleep_s((double)n / READ_RATE);
	}
	record.line("caller: %s ended with %zu of %zu bytes of its answer%s",
		    id.c_str(), got, ANSWER,
		    got < ANSWER ? "; the VM has closed the connection" : "");
	close(fd);
	out.bytes = got;
	out.ended = Clock::now();
	return out;
}

int run(const std::string &dir, Record &record)
{
	std::string net = free_network();
	Store store({ net + "250", STORE });
	std::vector<std::unique_ptr<soak::Listener>> servers;
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<std::thread> callers;
	std::vector<Outcome> outcomes(CALLERS);
	unsigned whole = 0, begun = 0, cut = 0;
	Time term;

	if (net.empty() || !store.open())
		return NOT_RUN;
	store.write("op/config",
		    config(3, { { "read", "/read/", "safe", "8000ms", "feed" } },
			   { "feed" }));
	for (unsigned i = 0; i < SERVERS; i++) {
		Address at{ net + std::to_string(100 + i), SERVER };
		std::string id = "i-" + std::to_string(i);

		servers.push_back(std::make_unique<soak::Listener>(
			at, [id, &record](int fd, const std::string &) {
				serve(fd, id, record);
			}));
		if (!servers.back()->open())
			return NOT_RUN;
		store.write("servers/" + id,
			    server_entry(at, "feed",
					 "z" + std::to_string(i % VMS)));
	}
	for (unsigned i = 0; i < VMS; i++) {
		vms.push_back(std::make_unique<Vm>(
			net, i + 1, "z" + std::to_string(i), dir));
		vms.back()->start();
	}
	for (auto &vm : vms)
		if (!vm->wait_until_ready())
			return NOT_RUN;
	sleep_s(4);
	for (unsigned i = 0; i < CALLERS; i++)
		callers.emplace_back([&, i] {
			outcomes[i] = call(*vms[0], "r-" + std::to_string(i),
					   record);
		});
	sleep_s(TERM_AFTER_S);
	term = Clock::now();
	if (trouble()) {
		vms[0]->send(SIGTERM);
		record.line("platform: SIGTERM to %s", vms[0]->ip.c_str());
	}
	/* The platform kills the process after grace, 6 s. */
	for (auto &c : callers)
		c.join();
	for (const Outcome &o : outcomes) {
		begun += o.bytes > 0;
		whole += o.bytes == ANSWER;
		/* Neither the deadline nor the timeout was reached, and it is
		 * not too long after SIGTERM. */
		cut += o.bytes < ANSWER &&
		       seconds(o.ended - o.sent) * 1000 < DEADLINE_MS &&
		       seconds(o.ended - term) < COUNTS_FOR_S;
	}
	record.line("%u of %u answers arrived whole; %u were cut before their "
		    "deadline and the route's timeout, and until 1 s after "
		    "grace",
		    whole, CALLERS, cut);
	for (auto &vm : vms)
		vm->send(SIGKILL);
	if (begun < CALLERS)
		return NOT_RUN;
	if (cut)
		return BROKEN;
	return whole == CALLERS ? HELD : NOT_RUN;
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
