/*
 * Targets whose answers break off or are no answers, and entries of the store
 * that can't be read, over loopback: real entry VMs, which reach the targets by
 * themselves or through another VM.
 */
#include "vm_fleet.h"

#include <set>

using namespace soak;

namespace
{

constexpr unsigned VMS = 2, TARGETS = 4;
constexpr uint16_t PORT = 9000, FULL_PORT = 9002;
constexpr unsigned WARM_UP_READS = 200;
/* More than the buffers of a connection whose receiver does not read. */
constexpr size_t LARGE_BODY = 6000000;
constexpr int NARROW_BUFFER_BYTES = 8192;
/* How an answer that ends with its connection begins, and what follows. */
constexpr size_t FIRST_PART = 1000, REST = 1400;
/* For the VM to have read the first part and to wait for the target. */
constexpr useconds_t SHORT_PAUSE = 100000;

/* A request as a target gets it. Its body may still be on the way. */
struct Arrival {
	int fd;
	std::string id, head;
	std::string body_begun;

	std::string head_lines() const
	{
		return "X-Request-Id: " + id + "\r\nX-Server-Stamp: s\r\n";
	}

	size_t body_left() const
	{
		std::string len = header(head, "Content-Length");

		return (len.empty() ? 0 : std::stoul(len)) - body_begun.size();
	}

	/* Returns false if the connection ends first. */
	bool read_body() const
	{
		char buf[65536];

		for (size_t left = body_left(); left;) {
			ssize_t n =
				recv(fd, buf, std::min(left, sizeof(buf)), 0);

			if (n <= 0)
				return false;
			left -= (size_t)n;
		}
		return true;
	}
};

class BrokenAnswer : public VmFleet
{
      protected:
	/* Answers a request. Returns false to close the connection. */
	using Act = std::function<bool(const Arrival &)>;

	std::vector<std::unique_ptr<Listener>> targets;
	std::vector<std::unique_ptr<FullListener>> full;
	std::mutex mutex;
	/* What targets do with the first attempt of requests to /.../odd, and
	 * with each of those to /.../always. */
	Act act;
	std::map<std::string, unsigned> attempts;

	void SetUp() override
	{
		ASSERT_NO_FATAL_FAILURE(open_store("broken-answer"));
		ASSERT_EQ(setenv("CUT_PATH_DIR", dir.c_str(), 1), 0);
		write_store();
		for (unsigned i = 0; i < TARGETS; i++) {
			targets.push_back(std::make_unique<Listener>(
				address(i, PORT),
				[this](int fd, const std::string &) {
					serve(fd);
				}));
			targets.back()->receive_bytes = NARROW_BUFFER_BYTES;
			ASSERT_TRUE(targets.back()->open());
			full.push_back(std::make_unique<FullListener>(
				address(i, FULL_PORT)));
		}
		start_vms(VMS);
		for (unsigned i = 0; i < VMS; i++)
			ASSERT_TRUE(eventually([&] {
				return status(i, "/read/warm") == 200;
			}));
		/* The VMs earn the repeats that the tests spend. */
		for (unsigned i = 0; i < WARM_UP_READS; i++)
			status(i % VMS, "/read/warm");
	}

	void TearDown() override
	{
		close_all();
		targets.clear();
		full.clear();
	}

	void write_config(unsigned version, const std::string &more_routes)
	{
		store->write(
			"op/config",
			R"({"version":)" + std::to_string(version) +
				R"(,"routes":{"columns":["name","host",)"
				R"("prefix","kind","timeout","targetLatency",)"
				R"("priority","maxAttempts","service"],"rows":[["r1",)"
				R"("h.x","/read/","safe","3s","1s",1,3,"s1"],["r2",)"
				R"("h.x","/order/","unsafe","3s","1s",1,3,"s1"])" +
				more_routes +
				R"(]},)"
				R"("services":{"columns":["name","healthPath",)"
				R"("maxConns"],"rows":[["s1","/health",90]]},)"
				R"("limits":{"maxHeaderBytes":4096,)"
				R"("maxBodyBytes":9000000,"headerTimeout":"3s",)"
				R"("idleTimeout":"9s"}})");
	}

	void write_store()
	{
		write_config(1, "");
		for (unsigned i = 0; i < TARGETS; i++)
			store->write(
				"servers/i-" + std::to_string(i),
				R"({"address":")" + address(i, PORT).text() +
					R"(","info":{"service":"s1",)"
					R"("version":"v","zone":"z0","slots":)"
					R"(30},"status":{"state":"ready",)"
					R"("coldLeft":"0ms","sequence":1}})");
	}

	Address address(unsigned target, uint16_t port)
	{
		return { net + std::to_string(100 + target), port };
	}

	void serve(int fd)
	{
		std::string rest;
		char buf[4096];

		for (;;) {
			size_t end = rest.find("\r\n\r\n");

			if (end == std::string::npos) {
				ssize_t n = recv(fd, buf, sizeof(buf), 0);

				if (n <= 0)
					return;
				rest.append(buf, (size_t)n);
				continue;
			}
			std::string head = rest.substr(0, end + 4);
			Arrival arrival{ fd, header(head, "X-Request-Id"), head,
					 rest.substr(end + 4) };

			rest.clear();
			if (!act_on(arrival)(arrival))
				return;
		}
	}

	/* Returns what the target does with the request. */
	Act act_on(const Arrival &arrival)
	{
		std::lock_guard<std::mutex> lock(mutex);
		bool is_first = !attempts[arrival.id]++;

		if (arrival.head.find("/always") != std::string::npos)
			return act;
		return is_first && arrival.head.find("/odd") !=
					       std::string::npos
			       ? act
			       : answer;
	}

	void set_act(Act with)
	{
		std::lock_guard<std::mutex> lock(mutex);

		act = std::move(with);
	}

	static bool answer(const Arrival &arrival)
	{
		return arrival.read_body() &&
		       send_all(arrival.fd,
				http(200, arrival.head_lines(), "whole"));
	}

	/* Lets the first VM reach the targets through the other one only. */
	void leave_by_other_vm()
	{
		vms[0]->set_path("refused");
		ASSERT_TRUE(eventually([&] {
			return status(0, "/order/warm", "order") == 200 &&
			       log_of(0).find("event=path cut=1") !=
				       std::string::npos;
		}));
	}

	/* Answers the first attempt of each request with the bytes, in which ID
	 * stands for the fields of a sound answer. Then the target closes the
	 * connection, or waits for another request. */
	void act_with(const std::string &bytes, bool closes = true)
	{
		set_act([bytes, closes](const Arrival &arrival) {
			arrival.read_body();
			return send_all(arrival.fd,
					with_id(bytes, arrival.id)) &&
			       !closes;
		});
	}

	unsigned attempts_of_last_request()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return attempts["id-" + std::to_string(asked)];
	}

	/* Checks that an order gets a 502, after one attempt, and a read is
	 * served by another target. */
	void expect_not_passed_on(const std::string &body,
				  const std::string &what)
	{
		std::string read = send_request(0, "/read/odd", body);

		EXPECT_EQ(status(0, "/order/odd", body.empty() ? "x" : body),
			  502)
			<< what;
		EXPECT_EQ(attempts_of_last_request(), 1u) << what;
		EXPECT_EQ(read.substr(0, 12), "HTTP/1.1 200") << what;
		EXPECT_EQ(body_of(read), "whole") << what;
	}
};

std::string begin_without_length(const Arrival &arrival)
{
	return "HTTP/1.1 200 OK\r\n" + arrival.head_lines() + "\r\n" +
	       std::string(FIRST_PART, 'a');
}

/* Begins an answer without a length, and resets the connection while the VM
 * still writes the request. */
bool cut_by_reset(const Arrival &arrival)
{
	send_all(arrival.fd, begin_without_length(arrival));
	usleep(SHORT_PAUSE);
	set_reset_on_close(arrival.fd);
	return false;
}

/* Guards against a write that takes the report of a reset, after which the next
 * read looks like an orderly end. */
TEST_F(BrokenAnswer, AResetWhileTheRequestIsWrittenCutsTheAnswer)
{
	const std::string body(LARGE_BODY, 'u');

	set_act(cut_by_reset);
	for (int i = 0; i < 3; i++)
		expect_not_passed_on(body, "reset");
}

/* Guards against the same where the request is written before. */
TEST_F(BrokenAnswer, AResetAfterTheRequestIsWrittenCutsTheAnswer)
{
	set_act(cut_by_reset);
	for (int i = 0; i < 3; i++)
		expect_not_passed_on("", "reset");
}

/* Guards against the same on kept connections and in repeated attempts. */
TEST_F(BrokenAnswer, AReadThatIsCutAtEachTargetIsNotServed)
{
	const std::string body(LARGE_BODY, 'u');

	for (int i = 0; i < 3; i++) {
		/* The connections are kept then. */
		for (unsigned n = 0; n < 2 * TARGETS; n++)
			EXPECT_EQ(status(0, "/read/warm"), 200);
		set_act(cut_by_reset);
		EXPECT_EQ(status(0, "/read/always", body), 502);
		EXPECT_GT(attempts_of_last_request(), 1u);
	}
}

/* Guards against the same at the other VM, which would report an orderly end.
 */
TEST_F(BrokenAnswer, AResetThatAnotherVmSeesCutsTheAnswer)
{
	const std::string body(LARGE_BODY, 'u');

	ASSERT_NO_FATAL_FAILURE(leave_by_other_vm());
	set_act(cut_by_reset);
	for (int i = 0; i < 3; i++)
		expect_not_passed_on(body, "reset");
}

/* Guards against an answer that is refused although its target has ended it in
 * order, while the request is still written. */
TEST_F(BrokenAnswer, AnEarlyAnswerThatEndsInOrderIsWhole)
{
	set_act([](const Arrival &arrival) {
		send_all(arrival.fd, begin_without_length(arrival));
		usleep(SHORT_PAUSE);
		send_all(arrival.fd, std::string(REST, 'a'));
		shutdown(arrival.fd, SHUT_WR);
		arrival.read_body();
		return false;
	});
	std::string found =
		send_request(0, "/order/odd", std::string(LARGE_BODY, 'u'));

	EXPECT_EQ(found.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(body_of(found).size(), FIRST_PART + REST);
}

/* Guards against the same where the rest of the request is reset after that end
 * and the VM notices both at once. */
TEST_F(BrokenAnswer, AResetAfterTheOrderlyEndCutsNothing)
{
	set_act([this](const Arrival &arrival) {
		send_all(arrival.fd, begin_without_length(arrival));
		usleep(SHORT_PAUSE);
		vms[0]->send(SIGSTOP);
		send_all(arrival.fd, std::string(REST, 'a'));
		shutdown(arrival.fd, SHUT_WR);
		usleep(SHORT_PAUSE);
		reset(arrival.fd);
		vms[0]->send(SIGCONT);
		return false;
	});
	std::string found =
		send_request(0, "/order/odd", std::string(LARGE_BODY, 'u'));

	EXPECT_EQ(found.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(body_of(found).size(), FIRST_PART + REST);
}

/* Guards against an answer with its length that is refused because of a reset
 * after it. */
TEST_F(BrokenAnswer, AnAnswerWithItsLengthIsWholeBeforeAReset)
{
	set_act([](const Arrival &arrival) {
		send_all(arrival.fd, http(200, arrival.head_lines(), "early"));
		usleep(SHORT_PAUSE);
		set_reset_on_close(arrival.fd);
		return false;
	});
	std::string found =
		send_request(0, "/order/odd", std::string(LARGE_BODY, 'u'));

	EXPECT_EQ(found.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(body_of(found), "early");
}

struct Odd {
	const char *bytes;
	/* Whether the target closes the connection after them. */
	bool closes;
};

/* Guards against an invalid status that is passed on, or taken for an interim
 * one after which the VM waits for another. */
TEST_F(BrokenAnswer, AnInvalidStatusIsNotPassedOn)
{
	const Odd odd[] = {
		{ "HTTP/1.1 000 X\r\nID\r\n\r\nnot", true },
		{ "HTTP/1.1 000 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 0 X\r\nID\r\n\r\nnot", true },
		{ "HTTP/1.1 20 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 99 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 0200 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 600 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 999 X\r\nID\r\n\r\nnot", true },
		{ "HTTP/2.0 200 X\r\nID\r\nContent-Length: 3\r\n\r\nnot",
		  false },
	};

	for (const Odd &each : odd) {
		act_with(each.bytes, each.closes);
		expect_not_passed_on("", each.bytes);
	}
}

/* Guards against waiting for an answer in a protocol that was not asked for. */
TEST_F(BrokenAnswer, AnotherProtocolIsNotAwaited)
{
	act_with("HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: odd\r\n"
		 "ID\r\n\r\n",
		 false);
	expect_not_passed_on("", "101");
}

const Odd odd_fields[] = {
	{ "HTTP/1.1 200 X\r\nID\r\nX Y: 1\r\n\r\nnot", true },
	{ "HTTP/1.1 200 X\r\nID\r\nX-Y : 1\r\nContent-Length: 3\r\n\r\nnot",
	  false },
	{ "HTTP/1.1 200 X\r\n X-Y: 1\r\nID\r\nContent-Length: 3\r\n\r\nnot",
	  false },
	{ "HTTP/1.1 200 X\r\nID\r\nX\x01Y: 1\r\n\r\nnot", true },
	{ "HTTP/1.1 200 X\r\nID\r\nX-Y: 1\x7f\r\nContent-Length: 3\r\n\r\nnot",
	  false },
	{ "HTTP/1.1 200 X\r\nID\r\nConnection: \x01\r\n\r\nnot", true },
	{ "HTTP/1.1 200 X\r\nID\r\nContent-Length : 3\r\n\r\nnot this", true },
	{ "HTTP/1.1 200 X\r\n Content-Length: 3\r\nID\r\n\r\nnot this", true },
	{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding : chunked\r\n\r\n"
	  "3\r\nnot\r\n0\r\n\r\n",
	  true },
	{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\nnot\r\n0\r\nX Y: 1\r\n\r\n",
	  false },
	{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\nnot\r\n0\r\nX-Y\x02: 1\r\n\r\n",
	  false },
	{ "HTTP/1.1 200 O\x01K\r\nID\r\nContent-Length: 3\r\n\r\nnot", false },
	{ "HTTP/1.1 200 OK\rXID\r\nContent-Length: 3\r\n\r\nnot", false },
	{ "HTTP/1.1 200 X\r\nID\r\nno field\r\n\r\nnot", true },
	{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\nnotXX0\r\n\r\n",
	  false },
	{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3 4\r\nnot\r\n0\r\n\r\n",
	  false },
};

/* Guards against an invalid field whose line is passed on, or that changes
 * where the body ends. */
TEST_F(BrokenAnswer, AnInvalidFieldIsNotPassedOn)
{
	for (const Odd &each : odd_fields) {
		act_with(each.bytes, each.closes);
		expect_not_passed_on("", each.bytes);
	}
}

/* Guards against the same in answers that come through another VM. */
TEST_F(BrokenAnswer, AnInvalidHeadIsNotPassedOnThroughAnotherVm)
{
	ASSERT_NO_FATAL_FAILURE(leave_by_other_vm());
	for (const Odd &each : odd_fields) {
		act_with(each.bytes, each.closes);
		expect_not_passed_on("", each.bytes);
	}
	act_with("HTTP/1.1 000 X\r\nID\r\n\r\nnot");
	expect_not_passed_on("", "000");
}

/* Guards against a body that ends elsewhere than the target's. */
TEST_F(BrokenAnswer, ABodyWithoutOneLengthIsNotPassedOn)
{
	const Odd odd[] = {
		{ "HTTP/1.1 200 X\r\nID\r\nContent-Length:\r\n\r\nnot", true },
		{ "HTTP/1.1 200 X\r\nID\r\nContent-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\nnot",
		  false },
		{ "HTTP/1.1 200 X\r\nID\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n3\r\nnot\r\n0\r\n\r\n",
		  false },
		{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
		  "3\r\nnot\r\n0\r\n\r\n",
		  false },
		{ "HTTP/1.1 200 X\r\nID\r\nTransfer-Encoding: gzip\r\n\r\nnot",
		  true },
	};

	for (const Odd &each : odd) {
		act_with(each.bytes, each.closes);
		expect_not_passed_on("", each.bytes);
	}
}

/* Guards against refusing sound answers that are unusual. */
TEST_F(BrokenAnswer, UnusualAnswersArePassedOn)
{
	const Odd odd[] = {
		{ "HTTP/1.1 200 X\r\nID\r\n\r\nfine", true },
		{ "HTTP/1.1 200 \r\nID\r\nContent-Length: 4\r\n\r\nfine",
		  false },
		{ "HTTP/1.1 200\r\nID\r\nContent-Length: 4\r\n\r\nfine",
		  false },
		{ "HTTP/1.0 200 OK\r\nID\r\n\r\nfine", true },
		{ "HTTP/1.1 200 OK\r\nID\r\nX-Y: \xe9\xff\tz \r\n"
		  "Content-Length: 4 \r\n\r\nfine",
		  false },
		{ "HTTP/1.1 200 OK\r\nID\r\nx!#$%&'*+.^_`|~-9:\r\n"
		  "Content-Length: 4\r\n\r\nfine",
		  false },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
		  "Link: </a>\r\n\r\nHTTP/1.1 200 OK\r\nID\r\n"
		  "Content-Length: 4\r\n\r\nfine",
		  false },
		{ "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "3;a=\"b c\"\r\nfin\r\n1\r\ne\r\n0\r\nX-After: 1\r\n\r\n",
		  false },
		{ "HTTP/1.1 200 OK\nID\r\nContent-Length: 4\n\nfine", false },
	};

	for (const Odd &each : odd) {
		act_with(each.bytes, each.closes);
		for (const char *path : { "/read/odd", "/order/odd" }) {
			std::string found = send_request(
				0, path, path[1] == 'o' ? "order" : "");

			EXPECT_EQ(found.substr(0, 12), "HTTP/1.1 200")
				<< each.bytes;
			EXPECT_EQ(body_of(found), "fine") << each.bytes;
		}
	}
}

/* Guards against an entry of the store, by another writer, that ends the VMs
 * that read the list, or keeps them from following it. */
TEST_F(BrokenAnswer, OddEntriesOfTheStoreStopNobody)
{
	const std::string sound = R"({"address":")" + address(0, PORT).text() +
				  R"(","info":{"service":"s1","version":"v",)"
				  R"("zone":"z0","slots":30},"status":{)"
				  R"("state":"ready","coldLeft":"0ms",)"
				  R"("sequence":1},"odd":)";
	std::string open_objects;
	std::vector<std::string> values;

	for (int i = 0; i < 20000; i++)
		open_objects += R"({"a":)";
	for (const std::string &odd :
	     { std::string(200000, '['),
	       std::string(100000, '[') + std::string(100000, ']'),
	       open_objects + "1" + std::string(20000, '}'),
	       "1" + std::string(30, '0'), "-1" + std::string(400, '0'),
	       std::string("1e999"), std::string("\"\\ud800\""),
	       std::string("\"\0\"", 3), std::string("nul") }) {
		values.push_back(odd);
		values.push_back(sound + odd + "}");
	}
	for (const char *port : { "0", "70000", "-1", "65536", "99999999999" })
		values.push_back(R"({"address":")" + net + "100:" + port +
				 sound.substr(sound.find(R"(","info")")) +
				 "1}");
	vms[1]->kill_now();
	for (size_t i = 0; i < values.size(); i++)
		store->write("servers/odd-" + std::to_string(i), values[i]);
	for (const char *key : { "servers/", "servers/a b", "servers/a/b",
				 R"(servers/\n)", R"(servers/i-0\u0000x)" })
		store->write(key, sound + "1}");
	vms[1]->start();
	write_config(2, R"(,["r3","h.x","/new/","safe","3s","1s",1,3,"s1"])");
	for (unsigned i = 0; i < VMS; i++) {
		EXPECT_TRUE(eventually([&] {
			return status(i, "/new/a") == 200;
		})) << i;
		EXPECT_FALSE(vms[i]->has_exited()) << i;
	}
	EXPECT_NE((log_of(0) + log_of(1)).find("event=target-refused"),
		  std::string::npos);
}

/* Guards against waiting for a body that the status excludes. */
TEST_F(BrokenAnswer, AnAnswerWithoutABodyMayTellALength)
{
	act_with("HTTP/1.1 304 X\r\nID\r\nContent-Length: 9\r\n\r\n", false);
	EXPECT_EQ(status(0, "/read/odd"), 304);
	EXPECT_EQ(status(0, "/order/odd", "order"), 304);
	act_with("HTTP/1.1 204 X\r\nID\r\nContent-Length: 9\r\n\r\n", false);
	EXPECT_EQ(status(0, "/order/odd", "order"), 204);
}

} // namespace
