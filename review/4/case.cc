/*
 * One machine, of the two that read the store, is partitioned from it for 5.5 s
 * (core_cut). More than 4 s after it reaches the store again, the two machines
 * that read it now are killed for 2 s (herd_kill, two of five), and a server's
 * entry is removed at the same time: the server never says that it drains, and
 * serves on for some seconds. The store itself is up all the while. Counted are
 * requests that the server gets later than 2 s after that, from machines that
 * have been in touch for the last stableWindow.
 */
#include "../common/harness.h"

static const char HOST[] = "jepu9.example";
static const char SERVICE[] = "xano55b";
static const int VMS = 5, SERVERS = 12, CLIENTS = 40, CYCLES = 6;
static const double DARK_S = 2;
static const long DEADLINE_MS = 6000;
static const double CUT_S = 5.5, DRAIN_S = 2, STABLE_S = 3;

struct Arrival {
	std::string vm, request;
	double at;
};

static Net net;
static std::mutex mutex;
static std::map<std::string, std::vector<Arrival>> arrivals;
/* When a machine was last disturbed; far in the future while it is. */
static std::map<std::string, double> cut_until;
static std::map<int, unsigned> statuses;
static std::atomic<unsigned> next_id{ 0 };
static std::atomic<bool> stopping{ false };

static void serve(int fd, const std::string &id)
{
	std::string rest, vm = Listener::peer_of(fd);

	for (;;) {
		Message m = read_message(fd, rest);
		std::string request = m.header("X-Request-Id");

		if (!m.whole)
			return;
		if (m.header("X-Expect-Instance") != id) {
			if (!send_all(fd, http(421, "X-Not-Executed: 1\r\n",
					       "")))
				return;
			continue;
		}
		{
			std::lock_guard<std::mutex> lock(mutex);

			arrivals[id].push_back({ vm, request, record.now() });
		}
		sleep_ms(40);
		if (!send_all(fd, http(200,
				       "X-Request-Id: " + request +
					       "\r\nX-Server-Stamp: " + id +
					       ".1\r\nX-Server-Load: 1,0,3\r\n",
				       "done")) ||
		    m.header("Connection") == "close")
			return;
	}
}

static void run_client(int number)
{
	for (int i = 0; !stopping; i++) {
		std::string id = "post-" + std::to_string(++next_id);
		std::string rest;
		Message m;
		int fd = dial(net.vm((number + i) % VMS), net.front, 1000);

		if (fd < 0)
			continue;
		set_timeout(fd, DEADLINE_MS);
		if (send_all(fd,
			     std::string("POST /xapu221/2f HTTP/1.1\r\nHost: ") +
				     HOST + "\r\nX-Request-Id: " + id +
				     "\r\nX-Deadline-Ms: " +
				     std::to_string(DEADLINE_MS) +
				     "\r\nContent-Length: 2\r\n\r\nhi"))
			m = read_message(fd, rest);
		close(fd);
		{
			std::lock_guard<std::mutex> lock(mutex);

			statuses[m.whole ? m.status() : 0]++;
		}
		sleep_ms(60);
	}
}

/* The machines that the store has answered in the last 1.5 s. */
static std::vector<std::string> readers(Store &store)
{
	std::vector<std::string> found;

	for (auto &[ip, at] : store.last_answers())
		if (record.now() - at < 1.5)
			found.push_back(ip);
	return found;
}

/* Waits until a machine has just been answered by the store. */
static void wait_for_read(Store &store)
{
	auto before = store.last_answers();

	for (int i = 0; i < 1000 && store.last_answers() == before; i++)
		sleep_ms(1);
}

static void disturb(const std::string &ip, bool begins)
{
	std::lock_guard<std::mutex> lock(mutex);

	cut_until[ip] = begins ? 1e9 : record.now();
}

/* Partitions the machine from the store, or ends that for all. */
static void cut_off(Store &store, const std::string &ip, bool on)
{
	static std::string cut;

	if (on)
		cut = ip;
	store.cut(cut, on);
	disturb(cut, on);
	record.line("%s %s the store", cut.c_str(),
		    on ? "is partitioned from" : "reaches");
}

static std::string server_id(int i)
{
	return "i-7f3a9" + std::to_string(100 + i);
}

/* Returns how many requests reached the server too late. */
static unsigned count_late(const std::string &id, double removed_at)
{
	std::lock_guard<std::mutex> lock(mutex);
	unsigned late = 0;

	for (const Arrival &a : arrivals[id]) {
		auto cut = cut_until.find(a.vm);

		if (a.at < removed_at + DRAIN_S)
			continue;
		if (cut != cut_until.end() && a.at < cut->second + STABLE_S)
			continue;
		late++;
		record.line("%s reached %s from %s, %.0f ms after its entry was "
			    "removed",
			    a.request.c_str(), id.c_str(), a.vm.c_str(),
			    1000 * (a.at - removed_at));
	}
	return late;
}

int main(int argc, char **argv)
{
	std::string out = argc > 1 ? argv[1] : ".";
	std::vector<std::string> seeds;
	std::vector<std::thread> clients;
	std::string dir;
	Store store;
	Beats beats(store);
	Listener listeners[SERVERS];
	unsigned late = 0, cycles = 0;
	bool trouble = with_trouble();
	bool ready = true;

	signal(SIGPIPE, SIG_IGN);
	if (!record.open(out + "/record.txt") || !make_directory(dir) ||
	    !store.open(net.store(), 8541))
		return NOT_RUN;
	for (int i = 0; i < SERVERS; i++) {
		std::string id = server_id(i);

		if (!listeners[i].open(net.server(i), 8080,
				       [id](int fd) { serve(fd, id); }))
			return NOT_RUN;
		beats.add(id, SERVICE, net.server(i) + ":8080",
			  i % 2 ? "xela-a" : "xela-b", 3);
	}
	store.write("op/config",
		    std::string("{\"version\":7,\"routes\":{\"columns\":"
				"[\"name\",\"host\",\"prefix\",\"kind\","
				"\"timeout\",\"targetLatency\",\"priority\","
				"\"trafficSplit\",\"maxAttempts\",\"service\"],"
				"\"rows\":[[\"r-1\",\"") +
			    HOST +
			    "\",\"/xapu221/\",\"unsafe\",\"6000ms\","
			    "\"1000ms\",1,null,2,\"" +
			    SERVICE +
			    "\"]]},\"services\":{\"columns\":[\"name\","
			    "\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],"
			    "\"rows\":[[\"" +
			    SERVICE + "\",\"/health\",390,\"h1\",false]]}," +
			    config_limits() + "}");
	for (int i = 0; i < 3; i++)
		seeds.push_back(net.vm(i));
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
		for (int i = 0; ready && i < CLIENTS; i++)
			clients.emplace_back(run_client, i);
		sleep_ms(4000);
		for (int cycle = 0; ready && cycle < CYCLES; cycle++) {
			std::string id = server_id(cycle);
			std::vector<Vm *> killed;

			if (trouble) {
				std::vector<std::string> now = readers(store);

				if (now.empty())
					continue;
				cut_off(store, now[cycle % now.size()], true);
			}
			sleep_ms((long)(CUT_S * 1000));
			if (trouble)
				cut_off(store, "", false);
			sleep_ms(4200);
			if (trouble) {
				wait_for_read(store);
				for (const std::string &ip : readers(store))
					for (auto &vm : vms)
						if (vm->ip == ip &&
						    killed.size() < 2)
							killed.push_back(
								vm.get());
				for (Vm *vm : killed) {
					vm->kill_now();
					disturb(vm->ip, true);
					record.line("%s is killed",
						    vm->ip.c_str());
				}
			}
			sleep_ms(20);
			beats.stop(id);
			store.remove("servers/" + id);
			double removed_at = record.now();

			record.line("the entry of %s is removed", id.c_str());
			sleep_ms((long)(DARK_S * 1000) - 20);
			for (Vm *vm : killed) {
				vm->start();
				disturb(vm->ip, false);
				record.line("%s starts again", vm->ip.c_str());
			}
			sleep_ms(3000);
			late += count_late(id, removed_at);
			cycles++;
		}
		stopping = true;
		for (auto &t : clients)
			t.join();
	}
	remove_directory(dir, net);
	for (auto &[status, n] : statuses)
		record.line("answers with status %d: %u", status, n);
	record.line("%u requests reached one of %u servers too late: %s", late,
		    cycles, late ? "broken" : "held");
	if (!ready || !cycles)
		_exit(NOT_RUN);
	_exit(late ? BROKEN : HELD);
}
