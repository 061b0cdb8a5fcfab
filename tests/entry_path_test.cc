/*
 * The whole path of an entry VM over loopback: the real program, with a store
 * and a target that the tests provide.
 */
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include "http_fake.h"

extern "C" {
#include <glib.h>
}

namespace
{

std::string base64(const std::string &text)
{
	g_autofree char *out = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());

	return out;
}

std::string http(int status, const std::string &headers,
		 const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

std::string header(const std::string &text, const std::string &name)
{
	size_t at = text.find("\r\n" + name + ": ");

	if (at == std::string::npos)
		return "";
	at += name.size() + 4;
	return text.substr(at, text.find("\r\n", at) - at);
}

int status_of(const std::string &answer)
{
	return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

/*
 * Returns a free port. Ports are chosen below the range that the kernel uses
 * for outgoing connections, and apart for each process: otherwise a connection
 * of another test could take the port before the program binds it.
 */
uint16_t free_port()
{
	static int next = 10000 + getpid() % 4000 * 5;

	for (;;) {
		sockaddr_in addr{};
		int one = 1;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int port = next++;
		bool is_free;

		addr.sin_family = AF_INET;
		addr.sin_port = htons((uint16_t)port);
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		is_free = !bind(fd, (sockaddr *)&addr, sizeof(addr));
		close(fd);
		if (is_free)
			return (uint16_t)port;
	}
}

class Entry : public testing::Test
{
      protected:
	HttpFake::Handler target_handler = [](const std::string &request) {
		return http(200,
			    "X-Request-Id: " + header(request, "X-Request-Id") +
				    "\r\nX-Server-Stamp: s.1\r\n",
			    "fine");
	};
	std::atomic<int> version{ 1 };
	std::atomic<bool> store_down{ false };
	std::atomic<bool> truncate_config{ false };
	/* A line in the heads of the store's answers. */
	std::string store_field;
	std::string header_timeout = "3s", idle_timeout = "9s";
	std::string max_body = "1000", more_settings, grace = "3s";
	/*
	 * Organisations of the configuration, as rows; within which time a VM
	 * must prove that their keys are still valid, and whether it must.
	 */
	std::string organisations, proof = "5s";
	bool fail_closed = false;
	/* Data centre of the target; the VM's is z. Further settings. */
	std::string zone = "z", settings;
	HttpFake target{ [this](const std::string &r) {
		return target_handler(r);
	} };
	HttpFake store{ [this](const std::string &r) {
		return store_handler(r);
	} };
	uint16_t front = free_port(), ready = free_port(),
		 directory = free_port(), peer = free_port(),
		 metrics = free_port();
	std::string path;
	pid_t pid = -1;
	int log_fd = -1;

	std::string config()
	{
		std::string text =
			R"({"version":)" + std::to_string(version.load()) +
			R"(,"routes":{"columns":["name","host","prefix",)"
			R"("kind","timeout","targetLatency","priority",)"
			R"("maxAttempts","service","public"],"rows":[["r1",)"
			R"("h.x","/read/","safe","3s","1s",1,2,"s1",false],)"
			R"(["r2","h.x","/order/","unsafe","9s","1s",1,2,"s1",)"
			R"(false],["r3","h.x","/open/","safe","3s","1s",1,2,)"
			R"("s1",true]]},)"
			R"("services":{"columns":["name","healthPath",)"
			R"("maxConns"],"rows":[["s1","/health",10]]},)"
			R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":)" +
			max_body + R"(,"headerTimeout":")" + header_timeout +
			R"(","idleTimeout":")" + idle_timeout + R"("})" +
			(organisations.empty()
				 ? ""
				 : R"(,"tenants":{"columns":["name",)"
				   R"("apiKeys","ratePerS","burst"],"rows":[)" +
					   organisations + "]}") +
			"}";

		return truncate_config ? text.substr(0, text.size() / 2) : text;
	}

	std::string item(const std::string &key, const std::string &value,
			 int rev)
	{
		return R"({"key":")" + key + R"(","value":")" + base64(value) +
		       R"(","rev":)" + std::to_string(rev) + "}";
	}

	std::string store_handler(const std::string &request)
	{
		std::string entry =
			R"({"address":"127.0.0.1:)" +
			std::to_string(target.port) +
			R"(","info":{"service":"s1","version":"v1",)"
			R"("zone":")" +
			zone +
			R"(","slots":3},"status":{"state":"ready",)"
			R"("sequence":1,"coldLeft":"0ms"}})";
		std::string items = item("op/config", config(), 10 + version) +
				    "," + item("servers/i-1", entry, 5);
		bool watch = request.find("kv-watch") != std::string::npos;

		if (store_down)
			return http(503, "", "");
		if (watch)
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		return http(200, store_field,
			    watch ? R"({"events":[)" + items + R"(],"asOf":)" +
					    std::to_string(10 + version) + "}"
				  : R"({"items":[)" + items +
					    R"(],"hasMore":false,"asOf":)" +
					    std::to_string(10 + version) + "}");
	}

	void write_settings()
	{
		std::string ip = "127.0.0.1";
		std::ofstream out(path);

		out << "name: vm-1\nip: " << ip << "\ndata_centre: z\n"
		    << "front: " << ip << ":" << front << "\n"
		    << "ready: " << ip << ":" << ready << "\n"
		    << "directory: " << ip << ":" << directory << "\n"
		    << "store: " << ip << ":" << store.port << "\n"
		    << "peer_port: " << peer << "\nmetrics_port: " << metrics
		    << "\n"
		    << more_settings << "seeds: []\nbounds:\n"
		    << "  repeat_ratio: 0.2\n  repeat_slack: 50\n"
		    << "  floor_share: 0.7\n  repeat_window: 10s\n"
		    << "  keep_most: 5s\n  grace: " << grace
		    << "\n  drain: 2s\n"
		    << "  fail_closed: " << (fail_closed ? "true" : "false")
		    << "\n  key_proof: " << proof
		    << "\n  limit_over: 0.25\n  limit_slack: 4\n"
		    << settings;
	}

	void start()
	{
		int pipe_fds[2];

		path = testing::TempDir() + "entry-" +
		       std::to_string(getpid()) + "-" + std::to_string(front) +
		       ".yaml";
		write_settings();
		ASSERT_EQ(pipe2(pipe_fds, O_CLOEXEC), 0);
		pid = fork();
		if (!pid) {
			dup2(pipe_fds[1], STDOUT_FILENO);
			execl(ENTRY_PROGRAM, "toucanreel-entry", "--settings",
			      path.c_str(), nullptr);
			_exit(127);
		}
		close(pipe_fds[1]);
		log_fd = pipe_fds[0];
	}

	void start_ready()
	{
		start();
		ASSERT_TRUE(eventually([this] { return readiness() == 200; }));
	}

	void TearDown() override
	{
		if (pid > 0) {
			kill(pid, SIGKILL);
			waitpid(pid, nullptr, 0);
		}
		if (log_fd >= 0)
			close(log_fd);
		unlink(path.c_str());
	}

	/* Waits for a condition, for as long as a slow machine may need. */
	bool eventually(const std::function<bool()> &what)
	{
		for (int i = 0; i < 1000; i++) {
			if (what())
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		}
		return false;
	}

	int readiness()
	{
		return status_of(http_request(ready,
					      "GET /v1/readiness HTTP/1.1"
					      "\r\nHost: x\r\n\r\n"));
	}

	std::string send_request(const std::string &line,
				 const std::string &extra_headers = "",
				 const std::string &body = "")
	{
		return http_request(
			front,
			line +
				" HTTP/1.1\r\nHost: h.x\r\nX-Request-Id: id-7"
				"\r\nX-Deadline-Ms: 2500\r\n" +
				extra_headers +
				(body.empty()
					 ? ""
					 : "Content-Length: " +
						   std::to_string(body.size()) +
						   "\r\n") +
				"\r\n" + body);
	}

	/* Returns what was logged since the last call. */
	std::string log()
	{
		std::string text;
		char buf[4096];
		ssize_t n;

		fcntl(log_fd, F_SETFL, O_NONBLOCK);
		while ((n = read(log_fd, buf, sizeof(buf))) > 0)
			text.append(buf, (size_t)n);
		return text;
	}
};

TEST_F(Entry, ForwardsARequestAndItsResponse)
{
	start_ready();
	std::string answer =
		send_request("GET /read/a?b=c", "X-Other: kept\r\n");

	EXPECT_EQ(status_of(answer), 200) << answer;
	EXPECT_EQ(header(answer, "X-Server-Stamp"), "s.1");
	EXPECT_EQ(header(answer, "X-Request-Id"), "id-7");
	ASSERT_EQ(target.seen().size(), 1u);
	std::string sent = target.seen()[0];
	EXPECT_EQ(sent.substr(0, 24), "GET /read/a?b=c HTTP/1.1");
	EXPECT_EQ(header(sent, "X-Expect-Instance"), "i-1");
	EXPECT_EQ(header(sent, "X-Other"), "kept");
	EXPECT_LE(std::stoi(header(sent, "X-Deadline-Ms")), 2500);
	EXPECT_EQ(status_of(send_request("GET /none/")), 404);
}

TEST_F(Entry, MetricsHaveLatencyByServiceKindOutcomeAndCause)
{
	std::string labels = "{service=\"s1\",kind=\"safe\",outcome="
			     "\"answered\",cause=\"answered\"";

	start_ready();
	send_request("GET /read/a");
	send_request("GET /read/b");
	std::string text = http_request(metrics, "GET /metrics HTTP/1.1\r\n"
						 "Host: x\r\n\r\n");
	EXPECT_NE(text.find("toucanreel_entry_request_seconds_bucket" + labels +
			    ",le=\"+Inf\"} 2\n"),
		  std::string::npos)
		<< text;
	EXPECT_NE(text.find("toucanreel_entry_request_seconds_count" + labels +
			    "} 2\n"),
		  std::string::npos);
	EXPECT_NE(text.find("toucanreel_entry_requests_total 2\n"),
		  std::string::npos);
}

/* Guards against options that start the daemon, or an exit status by which a
 * wrong configuration is sent. */
TEST_F(Entry, AConfigurationIsCheckedWithoutSettings)
{
	std::string file = testing::TempDir() + "entry-routes-" +
			   std::to_string(getpid()) + ".json";
	auto run = [](const std::string &options) {
		std::string command = "env -u TOUCANREEL_CONFIG " ENTRY_PROGRAM
				      " " +
				      options + " >/dev/null 2>&1";

		return WEXITSTATUS(system(command.c_str()));
	};

	std::ofstream(file) << config();
	EXPECT_EQ(run("--check-routes " + file), 0);
	EXPECT_EQ(run("--check-routes " + file + " --in-force " + file), 0);
	EXPECT_EQ(run("--check-routes " + file + ".none"), 2);
	EXPECT_EQ(run("--check-routes"), 2);
	EXPECT_EQ(run("--in-force " + file), 2);
	truncate_config = true;
	std::ofstream(file) << config();
	EXPECT_EQ(run("--check-routes " + file), 1);
	remove(file.c_str());
}

/*
 * Guards against requests that are refused since home has no target and nothing
 * is known of the load elsewhere. What leaves is counted.
 */
TEST_F(Entry, ARequestThatLeavesTheDataCentreIsServedAndCounted)
{
	zone = "y";
	settings = "leave_data_centre: true\n";
	start_ready();
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(status_of(send_request("GET /read/a")), 200);
		std::this_thread::sleep_for(std::chrono::milliseconds(30));
	}
	std::string text = http_request(metrics, "GET /metrics HTTP/1.1\r\n"
						 "Host: x\r\n\r\n");
	EXPECT_NE(text.find("toucanreel_entry_left_data_centre_total 10\n"),
		  std::string::npos)
		<< text;
	EXPECT_EQ(text.find("toucanreel_entry_bytes_left_data_centre_total 0"),
		  std::string::npos);
}

TEST_F(Entry, LookupsNameTheVm)
{
	start_ready();
	std::string answer = http_request(
		directory, "GET /v1/resolve?name=h.x&region=r&zone=z "
			   "HTTP/1.1\r\nHost: x\r\n\r\n");

	EXPECT_NE(answer.find("\"127.0.0.1:" + std::to_string(front) + "\""),
		  std::string::npos)
		<< answer;
	EXPECT_NE(answer.find("\"ttl\":\"5000ms\""), std::string::npos);
}

TEST_F(Entry, WithoutAConfigurationNoRouteIsReportedMissing)
{
	store_down = true;
	start();
	ASSERT_TRUE(eventually([this] { return readiness() == 503; }));
	std::string answer = send_request("GET /read/a");
	EXPECT_EQ(status_of(answer), 503);
	EXPECT_NE(header(answer, "Retry-After"), "");
	store_down = false;
	EXPECT_TRUE(eventually([this] { return readiness() == 200; }));
}

/*
 * Guards against an order that runs twice or is said not to have run: a target
 * reads it and closes the connection without an answer. It was sent again, or
 * refused with a status that promises that nothing ran.
 */
TEST_F(Entry, AnOrderThatMayHaveRunIsNeitherRetriedNorDenied)
{
	target_handler = [](const std::string &) { return std::string(); };
	start_ready();
	EXPECT_EQ(status_of(send_request("POST /order/1", "", "body")), 502);
	EXPECT_EQ(target.seen().size(), 1u);
}

/*
 * Guards against a target that crashes under a body that it can't hold, and
 * with it the reads there: such a body is refused at once, and all else served.
 */
TEST_F(Entry, ABodyThatNoTargetCanHoldIsRefusedAtOnce)
{
	max_body = "1000000";
	more_settings = "bound_target_bytes: true\n";
	start_ready();
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(status_of(send_request("POST /order/1", "",
						 std::string(20000, 'x'))),
			  200);
	size_t before = target.seen().size();
	std::string answer =
		send_request("POST /order/1", "", std::string(200000, 'x'));
	EXPECT_EQ(status_of(answer), 503);
	EXPECT_NE(header(answer, "Retry-After"), "");
	EXPECT_EQ(target.seen().size(), before);
	std::string logged;
	EXPECT_TRUE(eventually([&] {
		logged += log();
		return logged.find("why=body-too-large") != std::string::npos;
	})) << logged;
	EXPECT_EQ(status_of(send_request("GET /read/a")), 200);
	EXPECT_EQ(status_of(send_request("POST /order/1", "",
					 std::string(20000, 'x'))),
		  200);
	std::string text = http_request(metrics, "GET /metrics HTTP/1.1\r\n"
						 "Host: x\r\n\r\n");
	EXPECT_NE(text.find("toucanreel_entry_kept_for_bytes_total 1\n"),
		  std::string::npos);
}

/*
 * Guards against callers that get no reply at all: a target hangs, and the VM
 * gives up so few milliseconds before the caller that its reply is still in
 * transit. The target's own deadline must be early enough as well.
 */
TEST_F(Entry, ALocalReplyLeavesTimeForTransit)
{
	start_ready();
	send_request("GET /read/a");
	ASSERT_EQ(target.seen().size(), 1u);
	EXPECT_LE(std::stoi(header(target.seen()[0], "X-Deadline-Ms")), 2400);
	EXPECT_GT(std::stoi(header(target.seen()[0], "X-Deadline-Ms")), 0);
}

TEST_F(Entry, ReadsShareAConnection)
{
	start_ready();
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	EXPECT_EQ(target.seen().size(), 4u);
	EXPECT_EQ(target.connections(), 1u);
}

/*
 * An idle connection may be dead, and then it is unknown whether the request
 * ran.
 */
TEST_F(Entry, AnOrderNeverReusesAConnection)
{
	start_ready();
	EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(status_of(send_request("POST /order/x", "", "body")),
			  200);
	EXPECT_EQ(target.connections(), 4u);
	EXPECT_EQ(header(target.seen().back(), "Connection"), "close");
}

/*
 * Guards against reads that fail because a target closes an idle connection
 * without notice and the next read is sent on it. The close was taken for the
 * answer to the read.
 */
TEST_F(Entry, ADeadIdleConnectionFailsNoRequest)
{
	std::atomic<int> n{ 0 };
	auto answers = target_handler;

	target_handler = [&](const std::string &r) {
		return ++n == 2 ? "" : answers(r);
	};
	start_ready();
	EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	EXPECT_EQ(n, 3);
	EXPECT_EQ(target.connections(), 2u);
}

/*
 * Guards against more repeats than operators allow: targets got 198 to 211
 * repeats where 196 to 202 were allowed. Targets that leave close idle
 * connections under the requests sent on them and accept new ones, and what was
 * sent again on a new connection was not counted. With that fault, 599 requests
 * arrive here for 300 reads, and the VM counts none as a repeat.
 */
TEST_F(Entry, AResendOnANewConnectionCountsAsARepeat)
{
	const unsigned asked = 300;
	/* repeat_ratio is 0.2 and repeat_slack is 50. */
	const unsigned allowed = asked / 5 + 50;
	std::atomic<unsigned> connection{ 0 };
	auto answers = target_handler;

	target_handler = [&](const std::string &r) {
		/*
		 * Every second request is answered, which keeps the connection,
		 * and the next one ends it.
		 */
		return ++connection % 2 ? answers(r) : "";
	};
	start_ready();
	for (unsigned i = 0; i < asked; i++)
		send_request("GET /read/x");
	EXPECT_LE(target.seen().size(), asked + allowed);
}

/* Bytes after a response belong to no request: the connection is not reused. */
TEST_F(Entry, AConnectionWithSurplusBytesIsNotReused)
{
	target_handler = [](const std::string &r) {
		return http(200,
			    "X-Request-Id: " + header(r, "X-Request-Id") +
				    "\r\nX-Server-Stamp: s.1\r\n",
			    "fine") +
		       "HTTP/1.1 200 X\r\n";
	};
	start_ready();
	EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	EXPECT_EQ(status_of(send_request("GET /read/x")), 200);
	EXPECT_EQ(target.connections(), 2u);
}

TEST_F(Entry, AnUnprovenRefusalIsNoPromise)
{
	target_handler = [](const std::string &) { return http(503, "", ""); };
	start_ready();
	EXPECT_EQ(status_of(send_request("POST /order/1", "", "body")), 502);
}

TEST_F(Entry, AProvenRefusalCarriesRetryAfter)
{
	target_handler = [](const std::string &) {
		return http(503, "X-Not-Executed: 1\r\n", "");
	};
	start_ready();
	std::string answer = send_request("POST /order/1", "", "body");

	EXPECT_EQ(status_of(answer), 503);
	EXPECT_GT(std::stod(header(answer, "Retry-After")), 0);
}

TEST_F(Entry, ATruncatedResponseIsNoSuccess)
{
	target_handler = [](const std::string &) {
		return std::string("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
				   "Connection: close\r\nContent-Length: 90"
				   "\r\n\r\nhalf");
	};
	start_ready();
	EXPECT_EQ(status_of(send_request("POST /order/1", "", "body")), 502);
}

/*
 * Guards against a caller that gets another one's response: a target sends the
 * response to an earlier request first, and the first response on a connection
 * was used without a look at its request id.
 */
TEST_F(Entry, AResponseToAnotherRequestIsDiscarded)
{
	target_handler = [](const std::string &request) {
		return http(200, "X-Request-Id: other\r\nX-Server-Stamp: x\r\n",
			    "not yours") +
		       http(200,
			    "X-Request-Id: " + header(request, "X-Request-Id") +
				    "\r\nX-Server-Stamp: s.1\r\n",
			    "yours");
	};
	start_ready();
	std::string answer = send_request("POST /order/1", "", "body");

	EXPECT_EQ(status_of(answer), 200);
	EXPECT_EQ(answer.substr(answer.size() - 5), "yours");
}

TEST_F(Entry, LimitsOfTheConfigurationHold)
{
	start_ready();
	EXPECT_EQ(status_of(send_request("POST /order/1", "",
					 std::string(1001, 'x'))),
		  413);
	EXPECT_EQ(status_of(send_request("GET /read/",
					 "Big: " + std::string(5000, 'x') +
						 "\r\n")),
		  431);
	EXPECT_EQ(target.seen().size(), 0u);
}

/*
 * Guards against running out of descriptors by callers that open connections
 * and send their request heads byte by byte, or nothing at all. The timer was
 * set for the idle timeout when a connection opened, and was not moved when a
 * head began, whose own timeout is shorter.
 */
TEST_F(Entry, ASlowRequestHeadGets408)
{
	header_timeout = "300ms";
	idle_timeout = "600s";
	start_ready();
	int fd = http_connect(front);
	std::string text;

	ASSERT_GE(fd, 0);
	timeval often = { 0, 50000 };
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &often, sizeof(often));
	ASSERT_GT(send(fd, "GET /read/", 10, MSG_NOSIGNAL), 0);
	/* Each byte is activity, but the head as a whole is too slow. */
	EXPECT_TRUE(eventually([&] {
		char buf[256];
		ssize_t n;

		(void)!send(fd, "a", 1, MSG_NOSIGNAL);
		n = recv(fd, buf, sizeof(buf), 0);
		if (n > 0)
			text.append(buf, (size_t)n);
		return !n;
	}));
	close(fd);
	EXPECT_EQ(status_of(text), 408) << text;
	EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
	EXPECT_EQ(target.seen().size(), 0u);
}

TEST_F(Entry, AnIdleConnectionIsClosedWithoutAReply)
{
	idle_timeout = "300ms";
	start_ready();
	int silent = http_connect(front);
	int used = http_connect(front);
	std::string request = "GET /read/a HTTP/1.1\r\nHost: h.x\r\n"
			      "X-Request-Id: id-8\r\n\r\n";

	ASSERT_GE(silent, 0);
	ASSERT_GE(used, 0);
	ASSERT_GT(send(used, request.data(), request.size(), MSG_NOSIGNAL), 0);
	EXPECT_EQ(status_of(http_read(used)), 200);
	EXPECT_EQ(http_read(silent), "");
	EXPECT_EQ(http_read(used), "");
	char byte;
	EXPECT_EQ(recv(silent, &byte, 1, 0), 0);
	EXPECT_EQ(recv(used, &byte, 1, 0), 0);
	close(silent);
	close(used);
}

/* A configuration that cannot be read is ignored, and a log line says why. */
TEST_F(Entry, ATruncatedConfigurationChangesNothing)
{
	std::string lines;

	start_ready();
	truncate_config = true;
	version = 2;
	ASSERT_TRUE(eventually([&] {
		lines += log();
		return lines.find("event=routes-refused") != std::string::npos;
	}));
	EXPECT_NE(lines.find("key=op/config revision=12"), std::string::npos);
	EXPECT_EQ(status_of(send_request("GET /read/a")), 200);
}

/*
 * Guards against a VM that stops serving because its log is not read: a write
 * to a full pipe blocks. Here nobody reads, and far more is logged than a pipe
 * holds.
 */
/* Guards against a list from a store whose answers are invalid. */
TEST_F(Entry, AnInvalidAnswerOfTheStoreIsNotRead)
{
	store_field = "Store Name: 1\r\n";
	start();
	EXPECT_TRUE(eventually([this] {
		std::string text =
			http_request(metrics, "GET /metrics HTTP/1.1\r\n"
					      "Host: x\r\n\r\n");
		size_t at = text.find("store_failures_total ");

		return at != std::string::npos &&
		       std::stoi(text.substr(at + 21)) > 1;
	}));
	EXPECT_NE(readiness(), 200);
	EXPECT_EQ(status_of(send_request("GET /read/a")), 503);
}

TEST_F(Entry, AnUnreadLogBlocksNothing)
{
	start_ready();
	for (int i = 0; i < 1200; i++)
		ASSERT_EQ(status_of(send_request("GET /read/a")), 200) << i;
}

TEST_F(Entry, SigtermEndsTheProcessAfterItsRequests)
{
	int status = -1;

	start_ready();
	kill(pid, SIGTERM);
	ASSERT_TRUE(eventually([this] { return readiness() != 200; }));
	ASSERT_TRUE(eventually(
		[&] { return waitpid(pid, &status, WNOHANG) == pid; }));
	pid = -1;
	EXPECT_TRUE(WIFEXITED(status));
	EXPECT_EQ(WEXITSTATUS(status), 0);
}

/*
 * Guards against a connection that is closed without a reply during a planned
 * stop: an order waits at a target that hangs for longer than the VM may still
 * run. Unfinished requests were freed with their connections, so that the
 * caller got no byte and the VM logged no line.
 */
TEST_F(Entry, UnfinishedRequestsGetAReplyAtShutdown)
{
	/* The target may read it after this test has ended. */
	auto over = std::make_shared<std::atomic<bool>>(false);
	std::string answer;

	target_handler = [over](const std::string &) {
		while (!*over)
			usleep(1000);
		return std::string();
	};
	start_ready();
	std::thread caller([&] {
		answer = http_request(
			front, "POST /order/1 HTTP/1.1\r\nHost: h.x\r\n"
			       "X-Request-Id: id-9\r\nX-Deadline-Ms: 90000"
			       "\r\nContent-Length: 4\r\n\r\nbody");
	});
	ASSERT_TRUE(eventually([this] { return target.seen().size() == 1; }));
	kill(pid, SIGTERM);
	caller.join();
	*over = true;
	EXPECT_EQ(status_of(answer), 504) << answer;
}

/* Returns what comes until the peer closes. */
std::string read_to_end(int fd)
{
	std::string text;
	char buf[65536];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		text.append(buf, (size_t)n);
	return text;
}

/* Guards against an answer that is cut in a stop while its caller reads it. */
TEST_F(Entry, AReplyThatIsStillReadIsNotCutAtShutdown)
{
	/* More than the buffers of a connection that is not read. */
	const std::string large(12000000, 'x');
	const std::string request = "GET /read/a HTTP/1.1\r\nHost: h.x\r\n"
				    "X-Request-Id: id-1\r\n\r\n";
	int fd, other;

	grace = "8s";
	target_handler = [&](const std::string &got) {
		return http(200,
			    "X-Request-Id: " + header(got, "X-Request-Id") +
				    "\r\nX-Server-Stamp: s.1\r\n",
			    large);
	};
	start_ready();
	fd = http_connect(front);
	ASSERT_GE(fd, 0);
	ASSERT_GT(send(fd, request.data(), request.size(), 0), 0);
	ASSERT_TRUE(eventually([&] {
		char c;

		return recv(fd, &c, 1, MSG_PEEK) == 1;
	}));
	kill(pid, SIGTERM);
	ASSERT_TRUE(eventually([&] {
		other = http_connect(front);
		if (other >= 0)
			close(other);
		return other < 0;
	}));
	std::string answer = read_to_end(fd);
	close(fd);
	EXPECT_EQ(status_of(answer), 200);
	EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, large.size());
}

/* An upload whose body arrives while the VM is being stopped. */
class LateUpload : public Entry
{
      protected:
	static constexpr size_t BODY = 600;

	int fd = -1;

	void TearDown() override
	{
		if (fd >= 0)
			close(fd);
		Entry::TearDown();
	}

	/* Sends the head and a part of the body, on a connection that is kept
	 * open after a read or on a new one. */
	void begin(bool kept, unsigned deadline_ms)
	{
		std::string read = "GET /read/a HTTP/1.1\r\nHost: h.x\r\n"
				   "X-Request-Id: id-1\r\n\r\n";
		std::string head =
			"POST /order/1 HTTP/1.1\r\nHost: h.x\r\n"
			"X-Request-Id: id-2\r\nContent-Length: " +
			std::to_string(BODY) +
			"\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
			"\r\n\r\nbegun";

		fd = http_connect(front);
		ASSERT_GE(fd, 0);
		if (kept) {
			ASSERT_GT(send(fd, read.data(), read.size(), 0), 0);
			ASSERT_EQ(status_of(http_read(fd)), 200);
		}
		ASSERT_GT(send(fd, head.data(), head.size(), 0), 0);
	}

	/* Sends SIGTERM, and waits until the VM takes no connections. */
	void stop_until_refusing()
	{
		kill(pid, SIGTERM);
		ASSERT_TRUE(eventually([this] {
			int other = http_connect(front);

			if (other >= 0)
				close(other);
			return other < 0;
		}));
	}

	/* Sends a part of the head. */
	void begin_head()
	{
		const std::string part = "POST /order/1 HTTP/1.1\r\nHost: ";

		fd = http_connect(front);
		ASSERT_GE(fd, 0);
		ASSERT_GT(send(fd, part.data(), part.size(), 0), 0);
	}

	/* Sends the rest of the request. Returns the answer. */
	std::string finish_head()
	{
		const std::string rest = "h.x\r\nX-Request-Id: id-2\r\n"
					 "Content-Length: 4\r\n\r\nbody";

		send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
		return http_read(fd);
	}

	/* Sends the rest of the body. Returns the answer. */
	std::string finish()
	{
		std::string rest(BODY - strlen("begun"), 'x');

		send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
		return http_read(fd);
	}

	size_t uploads_seen()
	{
		size_t n = 0;

		for (const std::string &request : target.seen())
			n += request.rfind("POST", 0) == 0;
		return n;
	}
};

/* Guards against an upload that is passed on late in a stop and cut at its end,
 * while the target is at work. */
TEST_F(LateUpload, WhatMayNotEndInTimeIsRefused)
{
	auto over = std::make_shared<std::atomic<bool>>(false);

	target_handler = [over](const std::string &request) {
		while (!*over && request.rfind("POST", 0) == 0)
			usleep(1000);
		return http(200,
			    "X-Request-Id: " + header(request, "X-Request-Id") +
				    "\r\nX-Server-Stamp: s.1\r\n",
			    "fine");
	};
	grace = "6s";
	start_ready();
	begin(false, 9000);
	stop_until_refusing();
	std::string answer = finish();
	*over = true;
	EXPECT_EQ(status_of(answer), 503) << answer;
	EXPECT_NE(header(answer, "Retry-After"), "");
	EXPECT_EQ(uploads_seen(), 0u);
}

/* Guards against the same on a connection that was kept open, and against a
 * caller that is told only when it has sent the rest. */
TEST_F(LateUpload, ItIsRefusedBeforeItsBodyIsWhole)
{
	grace = "6s";
	start_ready();
	begin(true, 9000);
	stop_until_refusing();
	std::string answer = http_read(fd);

	EXPECT_EQ(status_of(answer), 503) << answer;
	EXPECT_EQ(header(answer, "Connection"), "close");
	EXPECT_EQ(uploads_seen(), 0u);
}

/* Guards against passing on a request that comes late as a whole. */
TEST_F(LateUpload, ItIsRefusedWhenItsHeadComesLate)
{
	grace = "6s";
	header_timeout = "9s";
	start_ready();
	begin_head();
	stop_until_refusing();
	std::string answer = finish_head();

	EXPECT_EQ(status_of(answer), 503) << answer;
	EXPECT_NE(header(answer, "Retry-After"), "");
	EXPECT_EQ(uploads_seen(), 0u);
}

/* Guards against refusing what ends before the VM does in any case. */
TEST_F(LateUpload, WhatEndsInTimeIsServed)
{
	grace = "10s";
	start_ready();
	begin(false, 8500);
	stop_until_refusing();
	std::string answer = finish();

	EXPECT_EQ(status_of(answer), 200) << answer;
	EXPECT_EQ(uploads_seen(), 1u);
}

/* Guards against a request that is held when the VM ends, whose connection was
 * closed without a reply. */
TEST_F(Entry, ARequestThatIsHeldGetsAReplyAtShutdown)
{
	const std::string request = "GET /read/a HTTP/1.1\r\nHost: h.x\r\n"
				    "X-Request-Id: id-1\r\n\r\n";
	int fd = -1;

	grace = "400ms";
	store_down = true;
	start();
	ASSERT_TRUE(eventually([&] {
		fd = http_connect(front);
		return fd >= 0;
	}));
	ASSERT_GT(send(fd, request.data(), request.size(), 0), 0);
	kill(pid, SIGTERM);
	EXPECT_EQ(status_of(http_read(fd)), 503);
	close(fd);
}

TEST_F(Entry, SighupReloadsAndAnInvalidFileChangesNothing)
{
	std::string lines;

	start_ready();
	kill(pid, SIGHUP);
	ASSERT_TRUE(eventually([&] {
		lines += log();
		return lines.find("event=reload ") != std::string::npos;
	}));
	std::ofstream(path, std::ios::app) << "colour: blue\n";
	ASSERT_TRUE(eventually([&] {
		lines += log();
		return lines.find("event=reload-refused") != std::string::npos;
	}));
	EXPECT_NE(lines.find("colour"), std::string::npos);
	EXPECT_EQ(status_of(send_request("GET /read/a")), 200);
}

struct Keys : Entry {
	std::string seen;

	Keys()
	{
		organisations = R"(["coop",["key-one","key-two"],0,0],)"
				R"(["small",["key-s"],1,1])";
		target_handler = [this](const std::string &r) {
			seen = r;
			return http(
				200,
				"X-Request-Id: " + header(r, "X-Request-Id") +
					"\r\nX-Server-Stamp: s.1\r\n",
				"fine");
		};
	}

	int status_with(const std::string &headers,
			const std::string &line = "GET /read/x")
	{
		return status_of(send_request(line, headers));
	}
};

TEST_F(Keys, TheTargetGetsTheOrganisationAndNotTheKey)
{
	start_ready();
	EXPECT_EQ(status_with("api-KEY: key-two\r\nX-tenant: forged\r\n"), 200);
	EXPECT_EQ(seen.find("key-two"), std::string::npos);
	EXPECT_EQ(seen.find("forged"), std::string::npos);
	EXPECT_EQ(header(seen, "X-Tenant"), "coop");
	EXPECT_EQ(log().find("key-two"), std::string::npos);
}

TEST_F(Keys, WithoutAValidKeyNothingRuns)
{
	start_ready();
	EXPECT_EQ(status_with(""), 401);
	EXPECT_EQ(status_with("Api-Key: \r\n"), 401);
	EXPECT_EQ(status_with("Api-Key: key-on\r\n"), 401);
	EXPECT_EQ(status_with("Api-Key: KEY-ONE\r\n"), 401);
	EXPECT_EQ(status_with("Api-Key: " + std::string(3000, 'k') + "\r\n"),
		  401);
	EXPECT_EQ(status_with("Api-Key: " + std::string(60000, 'k') + "\r\n"),
		  431);
	EXPECT_EQ(status_with("Api-Key: key-one\r\nApi-Key: key-one\r\n"), 400);
	EXPECT_EQ(seen, "");
}

TEST_F(Keys, AnOpenRouteNeedsNoKey)
{
	start_ready();
	EXPECT_EQ(status_with("X-Tenant: forged\r\n", "GET /open/x"), 200);
	EXPECT_EQ(header(seen, "X-Tenant"), "");
	EXPECT_EQ(status_with("Api-Key: key-one\r\n", "GET /open/x"), 200);
	EXPECT_EQ(header(seen, "X-Tenant"), "coop");
	EXPECT_EQ(seen.find("key-one"), std::string::npos);
}

/* Requests beyond a limit are refused at once, with Retry-After. */
TEST_F(Keys, RequestsBeyondTheLimitAreRefused)
{
	unsigned served = 0, refused = 0;

	start_ready();
	for (int i = 0; i < 60; i++) {
		std::string answer =
			send_request("GET /read/x", "Api-Key: key-s\r\n");

		served += status_of(answer) == 200;
		refused += status_of(answer) == 429 &&
			   !header(answer, "Retry-After").empty();
	}
	EXPECT_EQ(served + refused, 60u);
	EXPECT_GT(refused, 30u);
	EXPECT_EQ(status_with("Api-Key: key-one\r\n"), 200);
}

TEST_F(Keys, ARevokedKeyIsRefused)
{
	start_ready();
	EXPECT_EQ(status_with("Api-Key: key-two\r\n"), 200);
	organisations = R"(["coop",["key-one"],0,0])";
	version++;
	EXPECT_TRUE(eventually(
		[this] { return status_with("Api-Key: key-two\r\n") == 401; }));
	EXPECT_EQ(status_with("Api-Key: key-one\r\n"), 200);
}

/*
 * Guards against a VM that accepts revoked keys while the store has been
 * unreachable for longer than the bound: nothing told it that its configuration
 * was out of date.
 */
TEST_F(Keys, AVmWithoutAProofRefusesKeysAndIsNotReady)
{
	fail_closed = true;
	proof = "1s";
	start_ready();
	EXPECT_EQ(status_with("Api-Key: key-one\r\n"), 200);
	store_down = true;
	EXPECT_TRUE(eventually(
		[this] { return status_with("Api-Key: key-one\r\n") == 503; }));
	EXPECT_EQ(status_with("", "GET /open/x"), 200);
	EXPECT_TRUE(eventually([this] { return readiness() == 503; }));
	store_down = false;
	EXPECT_TRUE(eventually(
		[this] { return status_with("Api-Key: key-one\r\n") == 200; }));
}

TEST_F(Keys, WithoutFailClosedItServesOn)
{
	proof = "1s";
	start_ready();
	store_down = true;
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	EXPECT_EQ(status_with("Api-Key: key-one\r\n"), 200);
}

/*
 * Guards against a VM that accepts a revoked key after a pause: the process is
 * stopped past the end of its proof, and a request waits in its socket when it
 * resumes. The pause was not counted in the age of the proof.
 */
TEST_F(Keys, APauseCountsTowardTheAgeOfTheProof)
{
	fail_closed = true;
	proof = "1s";
	start_ready();
	EXPECT_EQ(status_with("Api-Key: key-one\r\n"), 200);
	store_down = true;
	kill(pid, SIGSTOP);
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	kill(pid, SIGCONT);
	EXPECT_EQ(status_with("Api-Key: key-one\r\n", "GET /read/y"), 503);
	EXPECT_EQ(seen.find("/read/y"), std::string::npos);
}

TEST_F(Entry, ATooShortLimitWindowIsRejected)
{
	std::string text;
	std::ifstream in;

	path = testing::TempDir() + "entry-window-" + std::to_string(getpid());
	write_settings();
	in.open(path);
	text.assign(std::istreambuf_iterator<char>(in), {});
	std::ofstream(path) << text << "  limit_window: 10ms\n";
	std::string command = std::string(ENTRY_PROGRAM) +
			      " --check --settings " + path + " 2>&1";
	FILE *run = popen(command.c_str(), "r");
	char line[512] = "";

	ASSERT_NE(run, nullptr);
	EXPECT_NE(fgets(line, sizeof(line), run), nullptr);
	EXPECT_EQ(WEXITSTATUS(pclose(run)), 2);
	EXPECT_NE(strstr(line, "bounds.limit_window"), nullptr) << line;
	EXPECT_NE(strstr(line, "100ms"), nullptr) << line;
}

TEST(EntrySettings, AMissingFieldIsNamed)
{
	std::string path = testing::TempDir() + "entry-wrong.yaml";
	std::string command = std::string(ENTRY_PROGRAM) +
			      " --check --settings " + path + " 2>&1";
	char text[512] = "";

	std::ofstream(path) << "name: vm\nip: 1.2.3.4\n";
	FILE *out = popen(command.c_str(), "r");
	ASSERT_NE(out, nullptr);
	EXPECT_NE(fgets(text, sizeof(text), out), nullptr);
	EXPECT_NE(pclose(out), 0);
	EXPECT_NE(strstr(text, "entry-wrong.yaml"), nullptr) << text;
	EXPECT_NE(strstr(text, "data_centre"), nullptr) << text;
}

} // namespace
