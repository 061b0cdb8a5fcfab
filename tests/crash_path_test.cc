/*
 * Requests that crash targets, over loopback: several real entry VMs, and
 * targets that end under a given path and come back after a while.
 */
#include <gtest/gtest.h>
#include <memory>

#include "soak/store.h"
#include "soak/vm.h"

using namespace soak;

namespace
{

constexpr unsigned VMS = 4, TARGETS = 6;
constexpr auto BEAT = std::chrono::milliseconds(300);
/* An entry that is not renewed for so long is removed. */
constexpr auto LEASE = std::chrono::milliseconds(1500);
constexpr auto BACK_AFTER = std::chrono::milliseconds(800);
/* When every VM in touch must know of the third target that ended. */
constexpr auto BOUND = std::chrono::seconds(3);
constexpr unsigned MOST_AFTER_BOUND = 3;
constexpr int DEADLINE_MS = 2500;

/* One start of a target. A request whose path names "fall" ends it. */
class Start
{
      public:
	Start(std::string id_, const Address &at, Store &store_,
	      std::atomic<unsigned> &falls_)
	    : id(std::move(id_)), store(store_), falls(falls_),
	      listener(at, [this](int fd, const std::string &) { serve(fd); })
	{
	}

	bool open()
	{
		if (!listener.open())
			return false;
		beat();
		return true;
	}

	void beat()
	{
		beat_at = Clock::now();
		store.write("servers/" + id,
			    R"({"address":")" + listener.address.text() +
				    R"(","info":{"service":"s1","version":"v",)"
				    R"("zone":"z0","slots":3},"status":{)"
				    R"("state":"ready","coldLeft":"0ms",)"
				    R"("sequence":)" +
				    std::to_string(++sequence) + "}}");
	}

	/* Everything that it had in flight breaks off. */
	void end()
	{
		ended = true;
		ended_at = Clock::now();
		listener.shut();
	}

	const std::string id;
	std::atomic<bool> fallen{ false };
	std::atomic<bool> ended{ false };
	Time beat_at{}, ended_at{};

      private:
	void serve(int fd)
	{
		std::string rest;

		for (;;) {
			std::string request = read_message(fd, rest);

			if (request.empty() || !handle(fd, request))
				return;
		}
	}

	bool handle(int fd, const std::string &request)
	{
		std::string line = request.substr(0, request.find("\r\n"));

		if (header(request, "X-Expect-Instance") != id)
			return send_all(fd,
					http(421, "X-Not-Executed: 1\r\n", ""));
		if (line.find("fall") != std::string::npos) {
			falls++;
			usleep(20000);
			fallen = true;
			while (!ended)
				usleep(1000);
			return false;
		}
		if (line.find("reset") != std::string::npos)
			return false;
		usleep(5000);
		return !ended &&
		       send_all(fd,
				http(200,
				     "X-Request-Id: " +
					     header(request, "X-Request-Id") +
					     "\r\nX-Server-Stamp: s\r\n",
				     "fine"));
	}

	Store &store;
	std::atomic<unsigned> &falls;
	unsigned sequence = 0;
	Listener listener;
};

class CrashPath : public testing::Test
{
      protected:
	std::string net, dir;
	std::unique_ptr<Store> store;
	std::vector<std::unique_ptr<Vm>> vms;
	/* Runs under which a target ended. */
	std::atomic<unsigned> falls{ 0 };
	std::thread keeper;
	std::atomic<bool> over{ false };
	std::mutex mutex;
	std::vector<std::unique_ptr<Start>> starts;
	unsigned started = 0;
	std::atomic<unsigned> asked{ 0 };

	void SetUp() override
	{
		char made[] = "/tmp/crash-path-XXXXXX";

		signal(SIGPIPE, SIG_IGN);
		ASSERT_NE(mkdtemp(made), nullptr);
		dir = made;
		net = "127." + std::to_string(128 + getpid() % 64) + "." +
		      std::to_string(getpid() / 64 % 250) + ".";
		store = std::make_unique<Store>(Address{ net + "250", 8500 });
		ASSERT_TRUE(store->open());
		write_config();
		for (unsigned i = 0; i < TARGETS; i++)
			ASSERT_TRUE(start_target(i));
		keeper = std::thread([this] { keep(); });
		for (unsigned i = 0; i < VMS; i++)
			start_vm(i);
		for (unsigned i = 0; i < VMS; i++)
			ASSERT_TRUE(becomes(
				[&] { return ask(i, "/read/warm") == 200; }));
		/* So that each VM keeps connections to most targets. */
		for (unsigned n = 0; n < 20 * VMS; n++)
			ask(n % VMS, "/read/warm");
	}

	void TearDown() override
	{
		for (unsigned i = 0; HasFailure() && i < vms.size(); i++)
			print_log(i);
		over = true;
		if (keeper.joinable())
			keeper.join();
		vms.clear();
		starts.clear();
		store.reset();
		std::string command = "rm -rf " + dir;
		EXPECT_EQ(system(command.c_str()), 0);
	}

	void print_log(unsigned i)
	{
		std::ifstream in(dir + "/" + vms[i]->ip + ".log");
		std::string line;

		while (std::getline(in, line))
			if (line.find("fall") != std::string::npos ||
			    line.find("status=5") != std::string::npos ||
			    line.find("crash") != std::string::npos)
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

	bool start_target(unsigned place)
	{
		auto start = std::make_unique<Start>(
			"i-" + std::to_string(++started),
			Address{ net + std::to_string(100 + place), 9000 },
			*store, falls);

		if (!start->open())
			return false;
		if (starts.size() <= place)
			starts.resize(place + 1);
		starts[place] = std::move(start);
		return true;
	}

	void start_vm(unsigned i)
	{
		std::string ip = net + std::to_string(1 + i);

		if (vms.size() <= i) {
			vms.push_back(std::make_unique<Vm>(
				ENTRY_PROGRAM, dir, ip,
				"z" + std::to_string(i % 2),
				store->address().text()));
			vms[i]->write_settings({ net + "1", net + "2" });
		}
		vms[i]->start();
	}

	/* Ends targets that have fallen, starts them again under a new id, and
	 * removes entries that nobody renews, as the platform does. */
	void keep()
	{
		std::map<std::string, Clock::time_point> leases;

		while (!over) {
			std::this_thread::sleep_for(
				std::chrono::milliseconds(2));
			std::lock_guard<std::mutex> lock(mutex);
			auto now = Clock::now();

			for (unsigned i = 0; i < starts.size(); i++) {
				Start &s = *starts[i];

				if (s.fallen && !s.ended)
					s.end();
				if (s.ended && now - s.ended_at > BACK_AFTER) {
					leases[s.id] = s.beat_at + LEASE;
					start_target(i);
				} else if (!s.ended && now - s.beat_at > BEAT) {
					s.beat();
				}
			}
			for (auto it = leases.begin(); it != leases.end();) {
				auto next = std::next(it);

				if (it->second < now) {
					store->remove("servers/" + it->first);
					leases.erase(it);
				}
				it = next;
			}
		}
	}

	bool becomes(const std::function<bool()> &what)
	{
		for (int i = 0; i < 1000; i++) {
			if (what())
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		}
		return false;
	}

	std::string answer_to(unsigned vm, const std::string &path,
			      const std::string &body = "")
	{
		int fd = dial({ vms[vm]->ip, FRONT_PORT }, DEADLINE_MS);
		std::string rest, answer;
		std::string text =
			(body.empty() ? "GET " : "POST ") + path +
			" HTTP/1.1\r\nHost: h.x\r\nX-Request-Id: id-" +
			std::to_string(++asked) +
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

	int ask(unsigned vm, const std::string &path,
		const std::string &body = "")
	{
		std::string answer = answer_to(vm, path, body);

		return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
	}

	/* Until the third target has ended, at one VM after the other. */
	void end_three(const std::string &path, const std::string &body = "")
	{
		for (unsigned n = 0; falls < 3; n++)
			ask(n % VMS, path, body);
		std::this_thread::sleep_for(BOUND);
	}

	/* Sent on at all VMs; how many targets end under it. */
	unsigned fall_under(unsigned times, const std::string &path,
			    const std::string &body = "")
	{
		unsigned before = falls;

		for (unsigned n = 0; n < times; n++) {
			ask(n % VMS, path, body);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
		return falls - before;
	}
};

/*
 * Symptom: a request under which three targets had ended was sent to targets
 * 12 and 15 times more, and most reads of the service failed meanwhile.
 * Sequence: a read ends each target that runs it; it comes again and again,
 * under a new id, at any VM. Cause: nothing was kept of a request but its id,
 * so each VM took each one for new. Evidence: the lines of the requests that
 * broke off bear one identity, and each names a target that ended as it did.
 */
TEST_F(CrashPath, AReadThatEndsTargetsIsSoonSentNoMore)
{
	end_three("/read/fall");
	EXPECT_LE(fall_under(24, "/read/fall"), MOST_AFTER_BOUND);
	for (unsigned i = 0; i < VMS; i++)
		EXPECT_EQ(ask(i, "/read/other"), 200);
	/* Nothing has run, and coming back soon is of no use. */
	std::string answer = answer_to(0, "/read/fall");

	EXPECT_EQ(answer.substr(9, 3), "503");
	EXPECT_GT(std::stod(header(answer, "Retry-After")), 10);
}

/* Targets that live and break off what they get are no proof. */
TEST_F(CrashPath, AReadThatLivingTargetsBreakOffIsStillSent)
{
	for (unsigned n = 0; n < 24; n++)
		EXPECT_EQ(ask(n % VMS, "/read/reset"), 502);
	EXPECT_EQ(falls, 0u);
}

TEST_F(CrashPath, AnOrderThatEndsTargetsIsSoonSentNoMore)
{
	end_three("/order/fall", "body");
	EXPECT_LE(fall_under(24, "/order/fall", "body"), MOST_AFTER_BOUND);
	for (unsigned i = 0; i < VMS; i++)
		EXPECT_EQ(ask(i, "/order/other", "body"), 200);
}

/* A VM that has just started must know as well. */
TEST_F(CrashPath, AVmThatStartsAnewSendsItNoMore)
{
	end_three("/read/fall");
	for (unsigned i = 0; i < VMS; i++) {
		vms[i]->kill_now();
		vms[i]->start();
		ASSERT_TRUE(
			becomes([&] { return ask(i, "/read/warm") == 200; }));
	}
	EXPECT_LE(fall_under(24, "/read/fall"), MOST_AFTER_BOUND);
}

/*
 * Symptom: after a quick restart of one VM after the other three more targets
 * end. Sequence: each new VM serves as soon as it has a configuration, which
 * the others answer its first call with; the next one is stopped. Cause: that
 * answer did not tell what is refused; only routine messages did, twice a
 * second. Evidence: with that in the answer no target ends in any of six runs,
 * without it three end in three of four.
 */
TEST_F(CrashPath, ARollingRestartForgetsNothing)
{
	end_three("/read/fall");
	for (unsigned i = 0; i < VMS; i++) {
		vms[i]->kill_now();
		vms[i]->start();
		ASSERT_TRUE(
			becomes([&] { return ask(i, "/read/warm") == 200; }));
	}
	EXPECT_EQ(fall_under(24, "/read/fall"), 0u);
}

/*
 * Symptom: one read was sent to four targets, which ended one after the other,
 * on a route of two attempts. Sequence: an attempt goes on a kept connection;
 * the target ends and closes it; the attempt begins again on a new connection,
 * which is refused. Cause: that was taken for a request that never reached a
 * target, which is no attempt and no repeat. Evidence: the line of the read's
 * end says runs=2 begun_again=1 and names three targets.
 */
TEST_F(CrashPath, OneReadEndsNoMoreTargetsThanItsRouteAllows)
{
	ask(0, "/read/fall");
	EXPECT_LE(falls, 2u);
}

/* Guards against requests that end targets and are sent on for ever, since the
 * end of a target under a kept connection is seen only where a repeat is left.
 */
TEST_F(CrashPath, AnEndUnderAKeptConnectionIsSeenWhereNoRepeatIsLeft)
{
	for (auto &vm : vms) {
		vm->repeats = false;
		vm->kill_now();
		vm->start();
	}
	for (unsigned i = 0; i < VMS; i++)
		ASSERT_TRUE(
			becomes([&] { return ask(i, "/read/warm") == 200; }));
	for (unsigned n = 0; n < 20 * VMS; n++)
		ask(n % VMS, "/read/warm");
	EXPECT_LE(fall_under(24, "/read/fall"), 3u);
}

/*
 * Beside it: targets that end for other reasons, two at a time, under a read
 * that four callers ask for all the time. It is never refused for that.
 */
TEST_F(CrashPath, AReadThatOnlySuffersIsServedOn)
{
	std::atomic<unsigned> refused{ 0 };
	std::atomic<bool> done{ false };
	std::vector<std::thread> callers;

	for (unsigned i = 0; i < VMS; i++)
		callers.emplace_back([&, i] {
			while (!done) {
				refused += ask(i, "/read/popular") == 503;
				usleep(2000);
			}
		});
	for (unsigned n = 0; n < 6; n++) {
		{
			std::lock_guard<std::mutex> lock(mutex);

			starts[n % TARGETS]->fallen = true;
			starts[(n + 1) % TARGETS]->fallen = true;
		}
		std::this_thread::sleep_for(BACK_AFTER * 2);
	}
	done = true;
	for (auto &caller : callers)
		caller.join();
	EXPECT_EQ(refused, 0u);
	for (unsigned i = 0; i < VMS; i++)
		EXPECT_EQ(ask(i, "/read/popular"), 200);
}

} // namespace
