/* Tests of the proxy's request path with real sockets on both sides. */
#include <gtest/gtest.h>

#include "stack.h"

static std::string body_part(const std::string &answer)
{
	size_t at = answer.find("\r\n\r\n");

	return at == std::string::npos ? "" : answer.substr(at + 4);
}

TEST(Path, AnswerIsPassedOnUnchanged)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::ok(fd, "the answer");
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a?b=%20c");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(body_part(answer), "the answer");
	EXPECT_EQ(outcome(answer), "answered");
	EXPECT_EQ(code(answer), TR_ANSWERED);
}

TEST(Path, TargetGetsPathAndDeadlineButNoProxyHeaders)
{
	std::string seen;
	std::mutex lock;
	RawTarget target([&](int fd, const std::string &head) {
		std::lock_guard<std::mutex> guard(lock);

		seen = head;
		RawTarget::ok(fd);
	});
	Stack vm({ target.address });

	vm.get("/a%2Fb/../c?d=1",
	       "X-Own: 1\r\nToucanreel-Deadline-Ms: 900\r\n");
	std::lock_guard<std::mutex> guard(lock);
	EXPECT_EQ(seen.substr(0, 20), "GET /a%2Fb/../c?d=1 ");
	EXPECT_NE(seen.find("X-Own: 1"), std::string::npos);
	EXPECT_NE(seen.find("X-Deadline-Ms: "), std::string::npos);
	EXPECT_EQ(seen.find("Toucanreel-"), std::string::npos);
	EXPECT_EQ(seen.find("Expect"), std::string::npos);
}

/*
 * Guards against a purchase that runs twice though it was sent once: a target
 * reads a request on a reused connection and closes it before it answers;
 * libcurl takes the connection for stale and resends even a POST by itself.
 */
TEST(Path, LibcurlDoesNotResend)
{
	std::atomic<int> posts{ 0 };
	RawTarget target([&](int fd, const std::string &head) {
		if (head.compare(0, 4, "POST") != 0) {
			RawTarget::ok(fd);
			return;
		}
		posts++;
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });

	vm.get("/warm");
	std::string key = header_value(vm.post_once("", "x"), "Toucanreel-Key");
	std::string answer = vm.post_once(key, "x");
	EXPECT_EQ(posts, 1);
	EXPECT_EQ(outcome(answer), "unknown");
	EXPECT_EQ(code(answer), TR_BROKEN);
	answer = vm.post_once(key, "x");
	EXPECT_EQ(posts, 1)
		<< "and not when the caller retries with the same key";
	EXPECT_EQ(code(answer), TR_KEY_SPENT);
}

TEST(Path, KeyIsRequiredAndAnswersAreReplayed)
{
	std::atomic<int> posts{ 0 };
	RawTarget target([&](int fd, const std::string &) {
		RawTarget::ok(fd, "run " + std::to_string(++posts));
	});
	Stack vm({ target.address });
	std::string first = vm.post_once("", "buy");

	EXPECT_EQ(first.substr(0, 12), "HTTP/1.1 428");
	EXPECT_EQ(outcome(first), "not-run");
	std::string key = header_value(first, "Toucanreel-Key");
	EXPECT_EQ(body_part(vm.post_once(key, "buy")), "run 1");
	std::string again = vm.post_once(key, "buy");
	EXPECT_EQ(body_part(again), "run 1");
	EXPECT_EQ(header_value(again, "Toucanreel-Replayed"), "1");
	EXPECT_EQ(code(vm.post_once(key, "other")), TR_KEY_OTHER_BODY);
	EXPECT_EQ(code(vm.post_once("no-key", "buy")), TR_KEY_MALFORMED);
	EXPECT_EQ(posts, 1);
}

/*
 * Guards against half a timetable that is taken for a whole one: the target
 * closes the connection within its answer, and the part received so far is
 * passed on with a Content-Length that matches it.
 */
TEST(Path, TruncatedAnswerNeverLooksComplete)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
					 "100\r\n\r\nonly a part");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 502");
	EXPECT_EQ(code(answer), TR_CUT_SHORT);
	EXPECT_EQ(answer.find("only a part"), std::string::npos);
}

TEST(Path, ChunkedAnswerWithoutLastChunkNeverLooksComplete)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd,
				     "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				     "chunked\r\n\r\n5\r\nhello\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	int c = code(vm.get("/a"));

	EXPECT_TRUE(c == TR_CUT_SHORT || c == TR_BROKEN) << c;
}

/*
 * Guards against a package of 10 MB that arrives as 3 MB with status 200: the
 * answer is too large to buffer, the target closes while it is streamed, and
 * the caller's connection is closed as if it were complete.
 */
TEST(Path, TruncatedLargeAnswerResetsTheCallersConnection)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
					 "10000000\r\n\r\n");
		for (int i = 0; i < 30; i++)
			RawTarget::send_text(fd, std::string(100000, 'x'));
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(header_value(answer, "Content-Length"), "10000000");
	EXPECT_LT(body_part(answer).size(), 10000000u);
}

TEST(Path, LargeAnswerIsStreamedCompletely)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
					 "3000000\r\n\r\n");
		for (int i = 0; i < 30; i++)
			RawTarget::send_text(fd, std::string(100000, 'x'));
	});
	Stack vm({ target.address });

	EXPECT_EQ(body_part(vm.get("/a")).size(), 3000000u);
}

TEST(Path, AnswerWithoutLengthCountsAsTruncated)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd, "HTTP/1.1 200 OK\r\n\r\nmaybe all");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });

	EXPECT_EQ(code(vm.get("/a")), TR_CUT_SHORT);
}

TEST(Path, AnswerThatIsNotHttpIsReportedAsGarbage)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::send_text(fd, "\x01\x02 no http at all\r\n\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(code(answer), TR_GARBAGE);
	EXPECT_EQ(outcome(answer), "unknown");
}

/* Guards against an answer with an invalid status or field that is passed on.
 */
TEST(Path, AnswerWithAnInvalidHeadIsReportedAsGarbage)
{
	const char *const heads[] = {
		"HTTP/1.1 000 X\r\n",
		"HTTP/1.1 0 X\r\n",
		"HTTP/1.1 99 X\r\n",
		"HTTP/1.1 0200 X\r\n",
		"HTTP/1.1 2000 X\r\n",
		"HTTP/1.1 600 X\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Y : 1\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Y: \x01\r\n",
		"HTTP/1.1 200 OK\r\nX-Y: \x7f\r\n",
		"HTTP/1.1 200 OK\r\n: 1\r\n",
		"HTTP/1.1 200 OK\r\nno field\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	};
	for (const char *head : heads) {
		RawTarget target([&](int fd, const std::string &) {
			RawTarget::send_text(
				fd,
				head + std::string("Content-Length: 3\r\n\r\n"
						   "not"));
			shutdown(fd, SHUT_RDWR);
		});
		Stack vm({ target.address });
		std::string answer = vm.get("/a");

		EXPECT_EQ(code(answer), TR_GARBAGE) << head << answer;
		EXPECT_EQ(outcome(answer), "unknown") << head;
	}
}

/* Fetches from the address, and returns the status, or 0 without an answer. */
static long fetch_status(const std::string &address)
{
	struct Fetched {
		struct loop *loop;
		long status;
	} fetched{};
	std::string url = "http://" + address + "/";
	apr_pool_t *pool = nullptr;
	struct client *client;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&pool, nullptr);
	fetched.loop = loop_new(pool);
	client = client_new(fetched.loop, nullptr);
	client_fetch(
		client, url.c_str(), nullptr, TR_SEC(5),
		[](void *ctx, const struct fetch_response *response) {
			auto *to = static_cast<Fetched *>(ctx);

			to->status = response->status;
			loop_stop(to->loop);
		},
		&fetched);
	loop_run(fetched.loop);
	client_destroy(client);
	loop_destroy(fetched.loop);
	apr_pool_destroy(pool);
	return fetched.status;
}

/* Guards against a probe, or an answer of the platform, that counts although
 * its head is invalid. */
TEST(Path, FetchedAnswerWithAnInvalidHeadDoesNotCount)
{
	const std::pair<const char *, long> lines[] = {
		{ "X-Y: 1", 200 },
		{ "X Y: 1", 0 },
		{ "X-Y : 1", 0 },
		{ "X\x01Y: 1", 0 },
		{ "X-Y: \x01", 0 },
		{ "no field", 0 },
		{ "Content-Length : 3", 0 },
	};

	for (const auto &[line, status] : lines) {
		RawTarget target([line = line](int fd, const std::string &) {
			RawTarget::send_text(fd, "HTTP/1.1 200 OK\r\n" +
							 std::string(line) +
							 "\r\nContent-Length: "
							 "3\r\n\r\nyes");
			shutdown(fd, SHUT_RDWR);
		});

		EXPECT_EQ(fetch_status(target.address), status) << line;
	}
}

TEST(Path, OversizedHeadersOfATargetAreRejected)
{
	RawTarget target([](int fd, const std::string &) {
		std::string text = "HTTP/1.1 200 OK\r\n";

		for (int i = 0; i < 2000; i++)
			text += "X-Many: " + std::string(50, 'x') + "\r\n";
		RawTarget::send_text(fd, text + "Content-Length: 0\r\n\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });

	EXPECT_EQ(outcome(vm.get("/a")), "unknown");
}

TEST(Path, RequestRefusedByOneTargetIsRetriedAtAnother)
{
	std::atomic<int> ran{ 0 };
	RawTarget shedding([](int fd, const std::string &) {
		RawTarget::send_text(fd,
				     "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n"
				     "Content-Length: 0\r\n\r\n");
	});
	RawTarget running([&](int fd, const std::string &) {
		ran++;
		RawTarget::ok(fd, "ran");
	});
	Stack vm({ shedding.address, running.address });

	for (int i = 1; i <= 5; i++) {
		std::string key =
			header_value(vm.post_once("", "x"), "Toucanreel-Key");

		EXPECT_EQ(body_part(vm.post_once(key, "x")), "ran");
		EXPECT_EQ(ran, i);
	}
}

TEST(Path, RefusedConnectionIsProvablyNotRun)
{
	Stack vm({ "127.0.0.1:9" });
	std::string answer = vm.get("/a");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
	EXPECT_EQ(outcome(answer), "not-run");
	EXPECT_NE(header_value(answer, "Retry-After"), "");
}

/*
 * Guards against the outcome "not-run" for a request that a target ran: the
 * first target accepts the request and hangs, the request is sent to others,
 * which refuse it, and the last refusal is taken as proof for all attempts.
 */
TEST(Path, RefusalAfterAnUnknownAttemptLeavesOutcomeUnknown)
{
	RawTarget hanging([](int fd, const std::string &) {
		char c;

		while (recv(fd, &c, 1, 0) < 0)
			;
	});
	RawTarget shedding([](int fd, const std::string &) {
		RawTarget::send_text(fd,
				     "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n"
				     "Content-Length: 0\r\n\r\n");
	});
	Stack vm({ hanging.address, shedding.address }, 400);
	int unknown = 0;

	for (int i = 0; i < 4; i++) {
		int before = hanging.requests;
		std::string answer = vm.get("/a");

		if (hanging.requests > before) {
			EXPECT_EQ(outcome(answer), "unknown") << answer;
			unknown++;
		}
	}
	EXPECT_GT(unknown, 0) << "the hanging target was never tried";
}

TEST(Path, OutcomeAfterTheDeadlineIsUnknown)
{
	RawTarget target([](int fd, const std::string &) {
		char c;

		while (recv(fd, &c, 1, 0) < 0)
			;
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a", "Toucanreel-Deadline-Ms: 100\r\n");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 504");
	EXPECT_EQ(outcome(answer), "unknown");
}

/*
 * Guards against slots that stay busy with requests of callers that have left:
 * a caller closes its connection, but a suspended connection is not polled
 * until there is an answer.
 */
TEST(Path, DisconnectedCallerCancelsTheRequestAtTheTarget)
{
	std::atomic<bool> cancelled{ false };
	RawTarget target([&](int fd, const std::string &) {
		char c;

		while (recv(fd, &c, 1, 0) < 0)
			;
		cancelled = true;
	});
	Stack vm({ target.address }, 60000);
	int fd = vm.connect_to_proxy();

	RawTarget::send_text(fd, "GET /s/svc/a HTTP/1.1\r\nHost: x\r\n\r\n");
	while (target.requests == 0)
		usleep(1000);
	close(fd);
	for (int i = 0; i < 5000 && !cancelled; i++)
		usleep(1000);
	EXPECT_TRUE(cancelled);
}

struct MalformedRequest {
	const char *name;
	const char *bytes;
};

struct BadRequest : testing::TestWithParam<MalformedRequest> {
};

/*
 * Guards against request smuggling, by which a request runs without a route, a
 * key or a ledger entry: the bytes have two length headers, the proxy goes by
 * one of them and the target by the other.
 */
TEST_P(BadRequest, IsNeverSentToATarget)
{
	RawTarget target(
		[](int fd, const std::string &) { RawTarget::ok(fd); });
	Stack vm({ target.address });
	std::string answer = vm.send_raw(GetParam().bytes);

	EXPECT_EQ(target.requests, 0) << answer;
	EXPECT_TRUE(answer.empty() || answer.compare(9, 1, "4") == 0) << answer;
}

static const MalformedRequest malformed_requests[] = {
	{ "ContentLengthAndTransferEncoding",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\n\r\n" },
	{ "TwoContentLengths",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" },
	{ "NegativeLength",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Content-Length: -1\r\n\r\n" },
	{ "HexLength",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Content-Length: 0x4\r\n\r\nabcd" },
	{ "UnknownTransferEncoding",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
	{ "BadChunkSize",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" },
	{ "NoVersion", "GET /s/svc/a\r\nConnection: close\r\n\r\n" },
	{ "NoHost", "GET /s/svc/a HTTP/1.1\r\nConnection: close\r\n\r\n" },
	{ "NotHttp", "\x16\x03\x01 hello\r\n\r\n\r\n" },
	{ "UpperCaseService",
	  "GET /s/SVC/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
	{ "UnknownApiCall",
	  "GET /v1/keyss HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
};

INSTANTIATE_TEST_SUITE_P(All, BadRequest, testing::ValuesIn(malformed_requests),
			 [](const testing::TestParamInfo<MalformedRequest> &p) {
				 return std::string(p.param.name);
			 });

TEST(Path, TooLargeBodyIsRefusedBeforeItIsRead)
{
	RawTarget target(
		[](int fd, const std::string &) { RawTarget::ok(fd); });
	Stack vm({ target.address });
	std::string answer = vm.send_raw("PUT /s/svc/a HTTP/1.1\r\nHost: x\r\n"
					 "Content-Length: 99000000\r\n\r\n");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 413");
	EXPECT_EQ(code(answer), TR_TOO_LARGE);
	EXPECT_EQ(outcome(answer), "not-run");
}

TEST(Path, OversizedHeadersAreRefused)
{
	RawTarget target(
		[](int fd, const std::string &) { RawTarget::ok(fd); });
	Stack vm({ target.address });
	std::string answer =
		vm.get("/a", "X-Long: " + std::string(100000, 'x') + "\r\n");

	EXPECT_EQ(target.requests, 0);
	EXPECT_TRUE(answer.empty() || answer.compare(9, 1, "4") == 0);
}

TEST(Path, UnknownServiceIsNotReadyWhileThePlatformIsDown)
{
	Stack vm({ "127.0.0.1:9" });
	std::string answer =
		vm.send_raw("GET /s/other/a HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
	EXPECT_EQ(code(answer), TR_NOT_READY);
	EXPECT_EQ(outcome(answer), "not-run");
}

/*
 * Guards against requests that fail at full load long before their deadline
 * (one purchase in sixteen): all targets shed load, and eight refusals use up
 * the limit of attempts, as failures do.
 */
TEST(Path, RefusedRequestsAreRetriedUntilTheDeadline)
{
	std::atomic<int> seen{ 0 };
	RawTarget target([&](int fd, const std::string &) {
		if (++seen <= 12)
			RawTarget::send_text(fd, "HTTP/1.1 503 Busy\r\n"
						 "X-Not-Run: shed\r\n"
						 "Content-Length: 0\r\n\r\n");
		else
			RawTarget::ok(fd, "ran");
	});
	Stack vm({ target.address }, 20000);
	std::string key = header_value(vm.post_once("", "x"), "Toucanreel-Key");

	EXPECT_EQ(body_part(vm.post_once(key, "x")), "ran");
	EXPECT_EQ(seen, 13);
}
