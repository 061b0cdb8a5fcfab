/*
 * Announcements of targets in their responses, over loopback: several real
 * entry VMs, and targets that announce a limit, that they are leaving, or a
 * time to back off.
 */
#include <gtest/gtest.h>
#include <deque>
#include <memory>

#include "soak/store.h"
#include "soak/vm.h"

using namespace soak;

namespace
{

constexpr unsigned VMS = 4, TARGETS = 4, CALLERS_A_VM = 2;
constexpr int DEADLINE_MS = 2500;
/* Time after which all VMs must respect a limit, and the window in which
 * requests are counted. */
constexpr auto STABLE = std::chrono::seconds(3);
constexpr auto WINDOW = std::chrono::seconds(4);
/* How long a leaving target goes on serving. */
constexpr auto DRAIN_TIME = std::chrono::seconds(2);
/* Back-off time that a target asks a VM for, and the time after which requests
 * in it are counted as violations. */
constexpr auto BACK_OFF = std::chrono::seconds(3);
constexpr auto BACK_OFF_SLACK = std::chrono::milliseconds(500);

/* A target whose responses carry the headers that a test sets. */
class Target
{
      public:
	struct Arrival {
		Time at;
		std::string vm;
	};

	Target(std::string id_, const Address &at)
	    : id(std::move(id_)),
	      listener(at, [this](int fd, const std::string &from) {
		      serve(fd, from);
	      })
	{
	}

	void set_answers(const std::string &headers, bool refuse = false)
	{
		std::lock_guard<std::mutex> lock(mutex);

		extra_headers = headers;
		refuses = refuse;
	}

	std::vector<Arrival> arrivals()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return received;
	}

	void clear_arrivals()
	{
		std::lock_guard<std::mutex> lock(mutex);

		received.clear();
	}

	/* The largest number of requests that arrived within any window of this
	 * length. */
	unsigned max_within(Clock::duration window)
	{
		std::deque<Time> in;
		size_t largest = 0;

		for (const Arrival &a : arrivals()) {
			in.push_back(a.at);
			while (a.at - in.front() > window)
				in.pop_front();
			largest = std::max(largest, in.size());
		}
		return (unsigned)largest;
	}

	/* The largest number of requests that one VM sent during a back-off,
	 * where the target answers each request by asking for one. */
	unsigned max_in_back_off(Clock::duration rest)
	{
		unsigned largest = 0;
		auto all = arrivals();

		for (const Arrival &sent : all) {
			unsigned n = 0;

			for (const Arrival &a : all)
				n += a.vm == sent.vm &&
				     a.at > sent.at + BACK_OFF_SLACK &&
				     a.at < sent.at + rest;
			largest = std::max(largest, n);
		}
		return largest;
	}

	const std::string id;
	Listener listener;

      private:
	void serve(int fd, const std::string &from)
	{
		std::string rest;

		for (;;) {
			std::string request = read_message(fd, rest);

			if (request.empty() || !handle(fd, request, from))
				return;
		}
	}

	bool handle(int fd, const std::string &request, const std::string &from)
	{
		std::string headers =
			"X-Request-Id: " + header(request, "X-Request-Id") +
			"\r\n";
		bool refuse_this;

		if (header(request, "X-Expect-Instance") != id)
			return send_all(fd,
					http(421, "X-Not-Executed: 1\r\n", ""));
		{
			std::lock_guard<std::mutex> lock(mutex);

			received.push_back({ Clock::now(), from });
			headers += extra_headers;
			refuse_this = refuses;
		}
		if (refuse_this)
			return send_all(
				fd, http(503, headers + "X-Not-Executed: 1\r\n",
					 ""));
		usleep(5000);
		return send_all(fd, http(200, headers + "X-Server-Stamp: s\r\n",
					 "fine"));
	}

	std::mutex mutex;
	std::vector<Arrival> received;
	std::string extra_headers;
	bool refuses = false;
};

class NoticePath : public testing::Test
{
      protected:
	std::string net, dir;
	std::unique_ptr<Store> store;
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<std::unique_ptr<Target>> targets;
	std::vector<std::thread> callers;
	std::atomic<bool> stopping{ false };
	std::atomic<unsigned> sent{ 0 }, not_served{ 0 };

	void SetUp() override
	{
		char made[] = "/tmp/notice-path-XXXXXX";

		signal(SIGPIPE, SIG_IGN);
		ASSERT_NE(mkdtemp(made), nullptr);
		dir = made;
		net = "127." + std::to_string(64 + getpid() % 64) + "." +
		      std::to_string(getpid() / 64 % 250) + ".";
		store = std::make_unique<Store>(Address{ net + "250", 8500 });
		ASSERT_TRUE(store->open());
		write_config();
		for (unsigned i = 0; i < TARGETS; i++)
			ASSERT_TRUE(start_target(i));
		for (unsigned i = 0; i < VMS; i++)
			start_vm(i);
		for (unsigned i = 0; i < VMS; i++)
			ASSERT_TRUE(wait_until([&] {
				return request_status(i, "/read/warm") == 200;
			}));
	}

	void TearDown() override
	{
		stop_callers();
		for (unsigned i = 0; HasFailure() && i < vms.size(); i++)
			print_log(i);
		vms.clear();
		targets.clear();
		store.reset();
		std::string command = "rm -rf " + dir;
		EXPECT_EQ(system(command.c_str()), 0);
	}

	void print_log(unsigned i)
	{
		std::ifstream in(dir + "/" + vms[i]->ip + ".log");
		std::string line;

		while (std::getline(in, line))
			if (line.find("event=target") != std::string::npos ||
			    line.find("status=5") != std::string::npos)
				printf("%s\n", line.c_str());
	}

	void write_config()
	{
		store->write(
			"op/config",
			R"({"version":1,"routes":{"columns":["name","host",)"
			R"("prefix","kind","timeout","targetLatency",)"
			R"("priority","maxAttempts","service"],"rows":[["r1",)"
			R"("h.x","/read/","safe","3s","1s",1,2,"s1"],["r2",)"
			R"("h.x","/order/","unsafe","3s","1s",1,2,"s1"]]},)"
			R"("services":{"columns":["name","healthPath",)"
			R"("maxConns"],"rows":[["s1","/health",90]]},"limits":)"
			R"({"maxHeaderBytes":4096,"maxBodyBytes":100000,)"
			R"("headerTimeout":"3s","idleTimeout":"9s"}})");
	}

	bool start_target(unsigned i)
	{
		auto target = std::make_unique<Target>(
			"i-" + std::to_string(i),
			Address{ net + std::to_string(100 + i), 9000 });

		if (!target->listener.open())
			return false;
		store->write(
			"servers/" + target->id,
			R"({"address":")" + target->listener.address.text() +
				R"(","info":{"service":"s1","version":"v",)"
				R"("zone":"z0","slots":3},"status":{)"
				R"("state":"ready","coldLeft":"0ms",)"
				R"("sequence":1}})");
		targets.push_back(std::move(target));
		return true;
	}

	void start_vm(unsigned i)
	{
		std::string ip = net + std::to_string(1 + i);

		vms.push_back(std::make_unique<Vm>(ENTRY_PROGRAM, dir, ip,
						   "z" + std::to_string(i % 2),
						   store->address().text()));
		vms[i]->write_settings({ net + "1", net + "2" });
		vms[i]->start();
	}

	bool wait_until(const std::function<bool()> &what)
	{
		for (int i = 0; i < 1000; i++) {
			if (what())
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		}
		return false;
	}

	std::string send_request(unsigned vm, const std::string &path,
				 const std::string &body = "")
	{
		int fd = dial({ vms[vm]->ip, FRONT_PORT }, DEADLINE_MS);
		std::string rest, answer;
		std::string text =
			(body.empty() ? "GET " : "POST ") + path +
			" HTTP/1.1\r\nHost: h.x\r\nX-Request-Id: id-" +
			std::to_string(++sent) +
			"\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS) +
			"\r\nContent-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body;

		if (fd < 0)
			return "";
		if (send_all(fd, text))
			answer = read_message(fd, rest);
		close(fd);
		return answer;
	}

	int request_status(unsigned vm, const std::string &path,
			   const std::string &body = "")
	{
		std::string answer = send_request(vm, path, body);

		return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
	}

	/* Callers that send each VM requests all the time, both safe and unsafe
	 * ones. */
	void start_callers()
	{
		for (unsigned i = 0; i < VMS * CALLERS_A_VM; i++)
			callers.emplace_back([this, i] {
				for (unsigned n = i; !stopping; n++) {
					int status = n % 2 ? request_status(
								     i % VMS,
								     "/read/a")
							   : request_status(
								     i % VMS,
								     "/order/a",
								     "body");

					not_served += status != 200;
					usleep(20000);
				}
			});
	}

	void stop_callers()
	{
		stopping = true;
		for (auto &caller : callers)
			caller.join();
		callers.clear();
	}
};

/* Guards against VMs that respect a target's limit each on its own, or not at
 * all, and exceed it together. */
TEST_F(NoticePath, ALimitThatATargetNamesHoldsOverAllVms)
{
	start_callers();
	targets[0]->set_answers("Server-Limit: 1\r\n");
	std::this_thread::sleep_for(STABLE);
	targets[0]->clear_arrivals();
	std::this_thread::sleep_for(2 * WINDOW);
	EXPECT_LE(targets[0]->max_within(WINDOW), 1.5 * 1 * 4 + 5);
	EXPECT_GE(targets[0]->arrivals().size(), 1u);
	EXPECT_EQ(not_served, 0u);
	/* Without a limit the target is used like the others. */
	targets[0]->set_answers("");
	EXPECT_TRUE(wait_until([&] {
		return targets[0]->max_within(std::chrono::seconds(1)) > 8;
	}));
}

/* Guards against VMs that keep using a target that has announced that it is
 * leaving, for as long as the store, which is down or behind, calls it ready.
 */
TEST_F(NoticePath, ALeavingTargetGetsNoMoreRequestsFromAnyVm)
{
	start_callers();
	ASSERT_TRUE(
		wait_until([&] { return targets[0]->arrivals().size() > 99; }));
	targets[0]->set_answers("Server-Leaving: 1\r\n");
	std::this_thread::sleep_for(DRAIN_TIME);
	targets[0]->clear_arrivals();
	std::this_thread::sleep_for(DRAIN_TIME);
	EXPECT_EQ(targets[0]->arrivals().size(), 0u);
	EXPECT_EQ(not_served, 0u);
}

/* Guards against a VM that keeps sending requests to a target that asked it to
 * back off, and spends the fleet's retry budget on refusals. */
TEST_F(NoticePath, ATargetGetsNoRequestsFromTheVmThatItAskedToBackOff)
{
	start_callers();
	ASSERT_TRUE(
		wait_until([&] { return targets[0]->arrivals().size() > 99; }));
	targets[0]->set_answers("Retry-After: 3\r\n", true);
	targets[0]->clear_arrivals();
	std::this_thread::sleep_for(3 * BACK_OFF);
	EXPECT_LE(targets[0]->max_in_back_off(BACK_OFF), 2u);
	EXPECT_GE(targets[0]->arrivals().size(), VMS);
	EXPECT_EQ(not_served, 0u);
	targets[0]->set_answers("");
	EXPECT_TRUE(wait_until([&] {
		return targets[0]->max_within(std::chrono::seconds(1)) > 8;
	}));
}

} // namespace
