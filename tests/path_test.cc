#include <gtest/gtest.h>

#include "stack.h"

static std::string body_of(const std::string &answer)
{
	size_t at = answer.find("\r\n\r\n");

	return at == std::string::npos ? "" : answer.substr(at + 4);
}

TEST(Path, AnswerIsPassedOnWhole)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::ok(fd, "the answer");
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a?b=%20c");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(body_of(answer), "the answer");
	EXPECT_EQ(outcome(answer), "answered");
	EXPECT_EQ(code(answer), TR_ANSWERED);
}

TEST(Path, TargetSeesThePathAndTheDeadlineButNotOurHeaders)
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
 * Symptom: a purchase runs twice though it was sent once.
 * Sequence: a connection is kept; the target reads the request that comes on
 * it and closes before it answers.
 * Cause: the HTTP library takes it for a stale connection and sends the request
 * again by itself, POST too.
 */
TEST(Path, LibraryDoesNotSendAgainByItself)
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
	std::string key = header_of(vm.post_once("", "x"), "Toucanreel-Key");
	std::string answer = vm.post_once(key, "x");
	EXPECT_EQ(posts, 1);
	EXPECT_EQ(outcome(answer), "unknown");
	EXPECT_EQ(code(answer), TR_BROKEN);
	answer = vm.post_once(key, "x");
	EXPECT_EQ(posts, 1) << "nor when the caller asks again";
	EXPECT_EQ(code(answer), TR_KEY_SPENT);
}

TEST(Path, KeyIsNeededAndAnswersAreRemembered)
{
	std::atomic<int> posts{ 0 };
	RawTarget target([&](int fd, const std::string &) {
		RawTarget::ok(fd, "run " + std::to_string(++posts));
	});
	Stack vm({ target.address });
	std::string first = vm.post_once("", "buy");

	EXPECT_EQ(first.substr(0, 12), "HTTP/1.1 428");
	EXPECT_EQ(outcome(first), "not-run");
	std::string key = header_of(first, "Toucanreel-Key");
	EXPECT_EQ(body_of(vm.post_once(key, "buy")), "run 1");
	std::string again = vm.post_once(key, "buy");
	EXPECT_EQ(body_of(again), "run 1");
	EXPECT_EQ(header_of(again, "Toucanreel-Replayed"), "1");
	EXPECT_EQ(code(vm.post_once(key, "other")), TR_KEY_OTHER_BODY);
	EXPECT_EQ(code(vm.post_once("no-key", "buy")), TR_KEY_MALFORMED);
	EXPECT_EQ(posts, 1);
}

/*
 * Symptom: half a timetable is taken for a whole one.
 * Sequence: the target breaks off within its answer.
 * Cause: what came so far is passed on with a length that fits.
 */
TEST(Path, AnswerCutShortNeverLooksWhole)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
				   "100\r\n\r\nonly a part");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 502");
	EXPECT_EQ(code(answer), TR_CUT_SHORT);
	EXPECT_EQ(answer.find("only a part"), std::string::npos);
}

TEST(Path, ChunkedAnswerWithoutItsEndNeverLooksWhole)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				   "chunked\r\n\r\n5\r\nhello\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	int c = code(vm.get("/a"));

	EXPECT_TRUE(c == TR_CUT_SHORT || c == TR_BROKEN) << c;
}

/*
 * Symptom: a package of 10 MB arrives as 3 MB, with a 200 status.
 * Sequence: the answer is too large to be held; it is streamed; it breaks off.
 * Cause: the caller's connection is ended in order.
 */
TEST(Path, LargeAnswerThatBreaksOffBreaksTheCallersConnection)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
				   "10000000\r\n\r\n");
		for (int i = 0; i < 30; i++)
			RawTarget::say(fd, std::string(100000, 'x'));
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(header_of(answer, "Content-Length"), "10000000");
	EXPECT_LT(body_of(answer).size(), 10000000u);
}

TEST(Path, LargeAnswerIsStreamedWhole)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 200 OK\r\nContent-Length: "
				   "3000000\r\n\r\n");
		for (int i = 0; i < 30; i++)
			RawTarget::say(fd, std::string(100000, 'x'));
	});
	Stack vm({ target.address });

	EXPECT_EQ(body_of(vm.get("/a")).size(), 3000000u);
}

TEST(Path, AnswerWithoutALengthIsNotTrusted)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 200 OK\r\n\r\nmaybe all");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });

	EXPECT_EQ(code(vm.get("/a")), TR_CUT_SHORT);
}

TEST(Path, GarbageIsNamedAsSuch)
{
	RawTarget target([](int fd, const std::string &) {
		RawTarget::say(fd, "\x01\x02 no http at all\r\n\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });
	std::string answer = vm.get("/a");

	EXPECT_EQ(code(answer), TR_GARBAGE);
	EXPECT_EQ(outcome(answer), "unknown");
}

TEST(Path, EndlessHeadersOfATargetAreNotKept)
{
	RawTarget target([](int fd, const std::string &) {
		std::string text = "HTTP/1.1 200 OK\r\n";

		for (int i = 0; i < 2000; i++)
			text += "X-Many: " + std::string(50, 'x') + "\r\n";
		RawTarget::say(fd, text + "Content-Length: 0\r\n\r\n");
		shutdown(fd, SHUT_RDWR);
	});
	Stack vm({ target.address });

	EXPECT_EQ(outcome(vm.get("/a")), "unknown");
}

TEST(Path, TargetThatDidNotRunItIsFollowedByAnother)
{
	std::atomic<int> ran{ 0 };
	RawTarget shedding([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n"
				   "Content-Length: 0\r\n\r\n");
	});
	RawTarget running([&](int fd, const std::string &) {
		ran++;
		RawTarget::ok(fd, "ran");
	});
	Stack vm({ shedding.address, running.address });

	for (int i = 1; i <= 5; i++) {
		std::string key =
			header_of(vm.post_once("", "x"), "Toucanreel-Key");

		EXPECT_EQ(body_of(vm.post_once(key, "x")), "ran");
		EXPECT_EQ(ran, i);
	}
}

TEST(Path, NobodyListeningIsProvablyNotRun)
{
	Stack vm({ "127.0.0.1:9" });
	std::string answer = vm.get("/a");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
	EXPECT_EQ(outcome(answer), "not-run");
	EXPECT_NE(header_of(answer, "Retry-After"), "");
}

/*
 * Symptom: a caller is told "not-run" of a request that a target ran.
 * Sequence: a first target takes the request and hangs; the request is moved;
 * every other target refuses it.
 * Cause: the last attempt's proof is taken for the whole request's.
 */
TEST(Path, RefusalAfterAnUnknownAttemptIsNotNotRun)
{
	RawTarget hanging([](int fd, const std::string &) {
		char c;

		while (recv(fd, &c, 1, 0) < 0)
			;
	});
	RawTarget shedding([](int fd, const std::string &) {
		RawTarget::say(fd, "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n"
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

TEST(Path, DeadlinePassedIsUnknown)
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
 * Symptom: slots stay busy with work that nobody waits for.
 * Sequence: a caller gives up and closes its connection.
 * Cause: a suspended connection is not looked at until there is an answer.
 */
TEST(Path, CallerThatGoesAwayCancelsAtTheTarget)
{
	std::atomic<bool> cancelled{ false };
	RawTarget target([&](int fd, const std::string &) {
		char c;

		while (recv(fd, &c, 1, 0) < 0)
			;
		cancelled = true;
	});
	Stack vm({ target.address }, 60000);
	int fd = vm.dial();

	RawTarget::say(fd, "GET /s/svc/a HTTP/1.1\r\nHost: x\r\n\r\n");
	while (target.requests == 0)
		usleep(1000);
	close(fd);
	for (int i = 0; i < 5000 && !cancelled; i++)
		usleep(1000);
	EXPECT_TRUE(cancelled);
}

struct Shape {
	const char *name;
	const char *bytes;
};

struct BadRequest : testing::TestWithParam<Shape> {
};

/*
 * Symptom: a request runs that no route, key or ledger has seen.
 * Sequence: a caller sends bytes that two readers split at different places.
 * Cause: one believes the one length header, the next the other.
 */
TEST_P(BadRequest, NeverReachesATarget)
{
	RawTarget target(
		[](int fd, const std::string &) { RawTarget::ok(fd); });
	Stack vm({ target.address });
	std::string answer = vm.raw(GetParam().bytes);

	EXPECT_EQ(target.requests, 0) << answer;
	EXPECT_TRUE(answer.empty() || answer.compare(9, 1, "4") == 0) << answer;
}

static const Shape shapes[] = {
	{ "BothLengthHeaders",
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
	{ "OddEncoding",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
	{ "BadChunkSize",
	  "POST /s/svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	  "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" },
	{ "NoVersion", "GET /s/svc/a\r\nConnection: close\r\n\r\n" },
	{ "NoHost", "GET /s/svc/a HTTP/1.1\r\nConnection: close\r\n\r\n" },
	{ "Nonsense", "\x16\x03\x01 hello\r\n\r\n\r\n" },
	{ "UpperCaseService",
	  "GET /s/SVC/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
	{ "NoSuchApiCall",
	  "GET /v1/keyss HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
};

INSTANTIATE_TEST_SUITE_P(All, BadRequest, testing::ValuesIn(shapes),
			 [](const testing::TestParamInfo<Shape> &p) {
				 return std::string(p.param.name);
			 });

TEST(Path, TooLargeIsSaidBeforeTheBodyIsRead)
{
	RawTarget target(
		[](int fd, const std::string &) { RawTarget::ok(fd); });
	Stack vm({ target.address });
	std::string answer = vm.raw("PUT /s/svc/a HTTP/1.1\r\nHost: x\r\n"
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

TEST(Path, UnknownServiceIsNotReadyWhileThePlatformIsAway)
{
	Stack vm({ "127.0.0.1:9" });
	std::string answer = vm.raw("GET /s/other/a HTTP/1.1\r\nHost: x\r\n"
				    "Connection: close\r\n\r\n");

	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
	EXPECT_EQ(code(answer), TR_NOT_READY);
	EXPECT_EQ(outcome(answer), "not-run");
}

/*
 * Symptom: at full load one purchase in sixteen is refused though its deadline
 * is seconds away.
 * Sequence: targets shed; the request goes from one to the next, eight times.
 * Cause: a refusal counts like a failure.
 */
TEST(Path, RefusalsAreTriedUntilTheDeadline)
{
	std::atomic<int> seen{ 0 };
	RawTarget target([&](int fd, const std::string &) {
		if (++seen <= 12)
			RawTarget::say(fd, "HTTP/1.1 503 Busy\r\n"
					   "X-Not-Run: shed\r\n"
					   "Content-Length: 0\r\n\r\n");
		else
			RawTarget::ok(fd, "ran");
	});
	Stack vm({ target.address }, 20000);
	std::string key = header_of(vm.post_once("", "x"), "Toucanreel-Key");

	EXPECT_EQ(body_of(vm.post_once(key, "x")), "ran");
	EXPECT_EQ(seen, 13);
}
