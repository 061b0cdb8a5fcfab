/*
 * Again and again a machine loses power right after a change of the
 * configuration: the one that has read it from the store, some milliseconds
 * after that. Each change moves the route to the other service. From 2.3 s
 * after its acknowledgement on, clients ask all other machines.
 */
#include "../common/harness.h"

static const char HOST[] = "jepu9.example";
static const char *const SERVICES[] = { "dele69a", "xano55b" };
static const int VMS = 8, SERVERS = 38, CYCLES = 9;
static const long DEADLINE_MS = 3000;
static const long KILL_AFTER_MS = 10;

static Net net;
static std::mutex mutex;
static std::condition_variable was_read;
static std::string reader;
static std::atomic<unsigned> next_id{ 0 };

static void serve(int fd, const std::string &id, const std::string &service)
{
	std::string rest;

	for (;;) {
		Message m = read_message(fd, rest);

		if (!m.whole)
			return;
		if (m.header("X-Expect-Instance") != id) {
			if (!send_all(fd, http(421, "X-Not-Executed: 1\r\n",
					       "")))
				return;
			continue;
		}
		sleep_ms(20);
		if (!send_all(fd,
			      http(200,
				   "X-Request-Id: " + m.header("X-Request-Id") +
					   "\r\nX-Server-Stamp: " + id +
					   ".1\r\nX-Server-Load: 1,0,3\r\n",
				   service)) ||
		    m.header("Connection") == "close")
			return;
	}
}

static void write_config(Store &store, int version, int service)
{
	std::string names;

	for (const char *name : SERVICES)
		names += std::string(names.empty() ? "" : ",") + "[\"" + name +
			 "\",\"/health\",390,\"h1\",false]";
	store.write("op/config",
		    "{\"version\":" + std::to_string(version) +
			    ",\"routes\":{\"columns\":[\"name\",\"host\","
			    "\"prefix\",\"kind\",\"timeout\",\"targetLatency\","
			    "\"priority\",\"trafficSplit\",\"maxAttempts\","
			    "\"service\"],\"rows\":[[\"r-1\",\"" +
			    HOST +
			    "\",\"/xapu221/\",\"unsafe\",\"3000ms\",\"1000ms\","
			    "1,null,2,\"" +
			    SERVICES[service] +
			    "\"]]},\"services\":{\"columns\":[\"name\","
			    "\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],"
			    "\"rows\":[" +
			    names + "]}," + config_limits() + "}");
}

/* Returns the service that ran the request, or the status as text. */
static std::string post(const std::string &vm)
{
	std::string id = "post-" + std::to_string(++next_id);
	int fd = dial(vm, net.front, 1000);
	std::string rest;
	Message m;

	if (fd < 0)
		return "unreached";
	set_timeout(fd, DEADLINE_MS);
	if (send_all(fd, std::string("POST /xapu221/2f HTTP/1.1\r\nHost: ") +
				 HOST + "\r\nX-Request-Id: " + id +
				 "\r\nX-Deadline-Ms: " +
				 std::to_string(DEADLINE_MS) +
				 "\r\nContent-Length: 2\r\n\r\nhi"))
		m = read_message(fd, rest);
	close(fd);
	if (m.status() == 200)
		return m.body;
	return std::to_string(m.whole ? m.status() : 0);
}

int main(int argc, char **argv)
{
	std::string out = argc > 1 ? argv[1] : ".";
	std::vector<std::string> seeds;
	std::string dir;
	Store store;
	Beats beats(store);
	Listener listeners[SERVERS];
	unsigned stale = 0, asked = 0, stale_cycles = 0;

	signal(SIGPIPE, SIG_IGN);
	if (!record.open(out + "/record.txt") || !make_directory(dir) ||
	    !store.open(net.store(), 8541))
		return NOT_RUN;
	for (int i = 0; i < SERVERS; i++) {
		std::string id = "i-7f3a9" + std::to_string(100 + i);
		std::string service = SERVICES[i % 2];

		if (!listeners[i].open(net.server(i), 8080,
				       [id, service](int fd) {
					       serve(fd, id, service);
				       }))
			return NOT_RUN;
		beats.add(id, service, net.server(i) + ":8080",
			  i % 4 < 2 ? "xela-a" : "xela-b", 3);
	}
	write_config(store, 7, 0);
	store.on_first_read = [](const std::string &ip,
				 const std::string &key) {
		std::lock_guard<std::mutex> lock(mutex);

		if (key != "op/config")
			return;
		reader = ip;
		record.line("%s has read the configuration", ip.c_str());
		was_read.notify_all();
	};
	for (int i = 0; i < 3; i++)
		seeds.push_back(net.vm(i));
	bool ready = true;
	{
		std::vector<std::unique_ptr<Vm>> vms;

		for (int i = 0; i < VMS; i++) {
			vms.push_back(std::make_unique<Vm>(
				net, i, dir, i % 2 ? "xela-a" : "xela-b",
				seeds));
			vms[(size_t)i]->start();
		}
		for (auto &vm : vms)
			ready &= vm->wait_ready(10000);
		record.line(ready ? "all machines are ready" : "not ready");
		sleep_ms(3000);
		for (int cycle = 0; ready && cycle < CYCLES; cycle++) {
			int service = (cycle + 1) % 2;
			Vm *killed = nullptr;
			unsigned stale_before = stale;

			sleep_ms(3700 + cycle * 37);
			{
				std::lock_guard<std::mutex> lock(mutex);
				reader.clear();
			}
			double at = record.now();

			write_config(store, 9 + 2 * cycle, service);
			record.line("version %d acknowledged: route to %s",
				    9 + 2 * cycle, SERVICES[service]);
			{
				std::unique_lock<std::mutex> lock(mutex);

				was_read.wait_for(lock, std::chrono::seconds(1),
						  [] {
							  return !reader.empty();
						  });
			}
			if (with_trouble()) {
				sleep_ms(KILL_AFTER_MS);
				for (auto &vm : vms)
					if (vm->ip == reader)
						killed = vm.get();
				if (killed)
					killed->kill_now();
				record.line("%s killed, %.0f ms after the "
					    "acknowledgement",
					    killed ? killed->ip.c_str()
						   : "nobody",
					    1000 * (record.now() - at));
			}
			for (int round = 0; round < 2; round++) {
				while (record.now() <
				       at + (round ? 5.3 : 2.3))
					sleep_ms(5);
				for (auto &vm : vms) {
					if (vm.get() == killed)
						continue;
					std::string by = post(vm->ip);

					asked++;
					stale += by == SERVICES[!service];
					record.line("%.1f s after: %s: %s%s",
						    record.now() - at,
						    vm->ip.c_str(), by.c_str(),
						    by == SERVICES[!service]
							    ? ", by the old "
							      "version"
							    : "");
				}
				while (!round && record.now() < at + 2.9)
					sleep_ms(5);
				if (!round && killed) {
					killed->start();
					record.line("%s started again",
						    killed->ip.c_str());
				}
			}
			stale_cycles += stale > stale_before;
		}
	}
	remove_directory(dir, net);
	record.line("%u of %u requests, after %u of %d changes, were handled "
		    "by an older version: %s",
		    stale, asked, stale_cycles, CYCLES,
		    stale ? "broken" : "held");
	if (!ready || !asked)
		_exit(NOT_RUN);
	_exit(stale ? BROKEN : HELD);
}
