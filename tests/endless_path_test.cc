/*
 * Targets whose bytes have no end, in a head or in a body: real entry VMs over
 * loopback.
 */
#include "vm_fleet.h"

using namespace soak;

namespace
{

constexpr unsigned VMS = 4;
/* The targets of the service s1 come first; the others are of s2. */
constexpr unsigned TARGETS = 6, OF_S1 = 4;
constexpr unsigned WARM_UP_READS = 400;
constexpr uint16_t PORT = 9000, FULL_PORT = 9002;
/* What a VM reads at most before it gives up endless interim responses: the
 * limit of a head, and what sockets hold. */
constexpr size_t INTERIM_MAX = 1024 * 1024;

const char OVERSIZED[] = "event=response-oversized";

enum class Answer { Sound, Interim };

class EndlessPath : public VmFleet
{
      protected:
	std::vector<std::unique_ptr<Listener>> targets;
	std::vector<std::unique_ptr<FullListener>> full;
	std::atomic<Answer> answers[TARGETS] = {};
	/* The most bytes sent on one connection without an end. */
	std::atomic<size_t> most_sent{ 0 };
	std::atomic<unsigned> endless_count{ 0 };
	std::mutex mutex;
	std::map<std::string, unsigned> runs;

	void SetUp() override
	{
		ASSERT_NO_FATAL_FAILURE(open_store("endless-path"));
		ASSERT_EQ(setenv("CUT_PATH_DIR", dir.c_str(), 1), 0);
		write_store();
		for (unsigned i = 0; i < TARGETS; i++) {
			targets.push_back(std::make_unique<Listener>(
				address(i, PORT),
				[this, i](int fd, const std::string &) {
					serve(fd, i);
				}));
			ASSERT_TRUE(targets[i]->open());
			full.push_back(std::make_unique<FullListener>(
				address(i, FULL_PORT)));
		}
		start_vms(VMS);
		for (unsigned i = 0; i < VMS; i++)
			ASSERT_TRUE(eventually([&] {
				return status(i, "/read/warm") == 200 &&
				       status(i, "/other/warm") == 200;
			}));
		/* The VMs earn the repeats that the tests spend. */
		ASSERT_EQ(failed_reads(WARM_UP_READS), 0u);
	}

	void TearDown() override
	{
		for (auto &answer : answers)
			answer = Answer::Sound;
		close_all();
		targets.clear();
		full.clear();
	}

	void write_store()
	{
		store->write(
			"op/config",
			R"({"version":1,"routes":{"columns":["name","host",)"
			R"("prefix","kind","timeout","targetLatency",)"
			R"("priority","maxAttempts","service"],"rows":[["r1",)"
			R"("h.x","/read/","safe","3s","1s",1,3,"s1"],["r2",)"
			R"("h.x","/order/","unsafe","3s","1s",1,2,"s1"],["r3",)"
			R"("h.x","/other/","safe","3s","1s",1,3,"s2"]]},)"
			R"("services":{"columns":["name","healthPath",)"
			R"("maxConns"],"rows":[["s1","/health",90],["s2",)"
			R"("/health",90]]},"limits":{"maxHeaderBytes":4096,)"
			R"("maxBodyBytes":900000,"headerTimeout":"3s",)"
			R"("idleTimeout":"9s"}})");
		for (unsigned i = 0; i < TARGETS; i++)
			store->write(
				"servers/i-" + std::to_string(i),
				R"({"address":")" + address(i, PORT).text() +
					R"(","info":{"service":")" +
					(i < OF_S1 ? "s1" : "s2") +
					R"(","version":"v","zone":"z0","slots":)"
					R"(30},"status":{"state":"ready",)"
					R"("coldLeft":"0ms","sequence":1}})");
	}

	Address address(unsigned target, uint16_t port)
	{
		return { net + std::to_string(100 + target), port };
	}

	void serve(int fd, unsigned target)
	{
		std::string rest;

		for (;;) {
			std::string request = read_message(fd, rest);

			if (request.empty() || !respond(fd, target, request))
				return;
		}
	}

	/* Returns false when the connection has to be closed. */
	bool respond(int fd, unsigned target, const std::string &request)
	{
		std::string id = header(request, "X-Request-Id");

		{
			std::lock_guard<std::mutex> lock(mutex);

			runs[id]++;
		}
		usleep(2000);
		if (answers[target] == Answer::Interim)
			return send_without_end(
				fd, target, "",
				"HTTP/1.1 100 Continue\r\n\r\n", 0);
		return send_all(fd, http(200,
					 "X-Request-Id: " + id +
						 "\r\nX-Server-Stamp: s\r\n",
					 "whole"));
	}

	/* Sends the head and then the piece again and again, until the VM
	 * closes or the target is sound again. */
	bool send_without_end(int fd, unsigned target, const std::string &head,
			      const std::string &piece, useconds_t pause)
	{
		Answer as = answers[target];
		std::string many;
		size_t sent = head.size();
		int bytes = 16384;

		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
		set_timeout(fd, 10000);
		while (many.size() < 4096)
			many += piece;
		endless_count++;
		for (bool open = send_all(fd, head);
		     open && answers[target] == as;) {
			open = send_all(fd, many);
			sent += open ? many.size() : 0;
			if (pause)
				usleep(pause);
		}
		for (size_t most = most_sent;
		     sent > most &&
		     !most_sent.compare_exchange_weak(most, sent);)
			;
		return false;
	}

	bool any_log_has(const std::string &text)
	{
		for (unsigned i = 0; i < VMS; i++)
			if (log_of(i).find(text) != std::string::npos)
				return true;
		return false;
	}

	/* Sends reads of s1 to all VMs. Returns how many weren't served. */
	unsigned failed_reads(unsigned requests)
	{
		unsigned failed = 0;

		for (unsigned i = 0; i < requests; i++)
			failed += status(i % VMS, "/read/a") != 200;
		return failed;
	}
};

/* Guards against reading interim responses until the deadline while other
 * targets could serve. */
TEST_F(EndlessPath, InterimResponsesWithoutEndAreGivenUp)
{
	answers[0] = answers[1] = Answer::Interim;
	EXPECT_EQ(failed_reads(40), 0u);
	EXPECT_GT(endless_count, 0u);
	EXPECT_LT(most_sent, INTERIM_MAX);
	EXPECT_TRUE(eventually([&] { return any_log_has(OVERSIZED); }));
}

/* Guards against telling an order as not run whose target never ends its head.
 */
TEST_F(EndlessPath, AnOrderWithoutAnEndOfItsHeadMayHaveRun)
{
	for (unsigned i = 0; i < OF_S1; i++)
		answers[i] = Answer::Interim;
	for (unsigned i = 0; i < 8; i++)
		EXPECT_EQ(status(i % VMS, "/order/a", "order"), 502);
	for (const auto &run : runs)
		EXPECT_EQ(run.second, 1u) << run.first;
}

} // namespace
