/* Fixtures for tests of the proxy over real sockets: a target and one VM. */
#ifndef STACK_H
#define STACK_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>

#include "fake.h"

extern "C" {
#include "client.h"
#include "config.h"
#include "error.h"
#include "loop.h"
#include "proxy.h"
}

inline int tcp_socket(const char *ip, uint16_t port, sockaddr_in *addr)
{
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons(port);
	inet_pton(AF_INET, ip, &addr->sin_addr);
	return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

/*
 * A target on plain sockets, whose bytes are under the control of the test. The
 * script is called with the headers of each request.
 */
struct RawTarget {
	using Script = std::function<void(int fd, const std::string &head)>;

	int listener;
	std::string address;
	Script script;
	std::thread thread;
	std::atomic<bool> stopping{ false };
	std::atomic<int> requests{ 0 };
	std::atomic<int> closed_by_peer{ 0 };
	std::vector<std::thread> connection_threads;

	explicit RawTarget(Script s) : script(std::move(s))
	{
		sockaddr_in addr;
		socklen_t len = sizeof(addr);

		listener = tcp_socket("127.0.0.1", 0, &addr);
		bind(listener, (sockaddr *)&addr, sizeof(addr));
		listen(listener, 64);
		getsockname(listener, (sockaddr *)&addr, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(addr.sin_port));
		thread = std::thread([this] { serve(); });
	}

	~RawTarget()
	{
		stopping = true;
		shutdown(listener, SHUT_RDWR);
		thread.join();
		for (auto &t : connection_threads)
			t.join();
		close(listener);
	}

	void serve()
	{
		for (;;) {
			int fd = accept(listener, nullptr, nullptr);

			if (fd < 0)
				return;
			connection_threads.emplace_back(
				[this, fd] { serve_connection(fd); });
		}
	}

	/* Serves the requests of one connection until either side closes it. */
	void serve_connection(int fd)
	{
		timeval wait = { 0, 50000 };

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
		while (!stopping) {
			std::string head = read_head(fd);

			if (head.empty())
				break;
			requests++;
			script(fd, head);
		}
		close(fd);
	}

	/* Reads up to the end of the headers; "" on a close or at the end. */
	std::string read_head(int fd)
	{
		std::string head;
		char c;

		while (!stopping &&
		       head.find("\r\n\r\n") == std::string::npos) {
			ssize_t n = recv(fd, &c, 1, 0);

			if (n == 0) {
				closed_by_peer++;
				return "";
			}
			if (n < 0 && errno != EAGAIN)
				return "";
			if (n == 1)
				head += c;
		}
		return stopping ? "" : head;
	}

	/* Waits until the peer closes the connection or the test ends. */
	void wait_close(int fd)
	{
		char c;

		while (!stopping) {
			ssize_t n = recv(fd, &c, 1, 0);

			if (n == 0) {
				closed_by_peer++;
				return;
			}
		}
	}

	static void send_text(int fd, const std::string &text)
	{
		(void)!send(fd, text.data(), text.size(), MSG_NOSIGNAL);
	}

	static void ok(int fd, const std::string &body = "hello")
	{
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
			      "Content-Length: " +
				      std::to_string(body.size()) + "\r\n\r\n" +
				      body);
	}
};

/*
 * One VM with the proxy and its HTTP client, on an event loop in a thread of
 * its own. Route /once is not idempotent; all other paths are.
 */
struct Stack {
	apr_pool_t *pool = nullptr;
	struct loop *loop;
	struct client *client;
	struct config *config;
	struct proxy *proxy;
	tr_secret secret{};
	std::unique_ptr<tr_board> board{ new tr_board() };
	FakeDocument doc{ 1, 1 };
	std::vector<tr_vm> vms = fake_vms(1, 1);
	tr_service *svc;
	std::thread thread;
	int stop_pipe[2];
	uint16_t port = 0;
	char once[6] = "/once";
	char post[5] = "POST";
	char *methods[1] = { post };

	explicit Stack(const std::vector<std::string> &targets,
		       uint32_t deadline_ms = 2000)
	{
		std::vector<tr_target_entry> entries;
		config_options options{};

		EXPECT_GE(sodium_init(), 0);
		apr_initialize();
		curl_global_init(CURL_GLOBAL_DEFAULT);
		apr_pool_create(&pool, nullptr);
		loop = loop_new(pool);
		client = client_new(loop, nullptr);
		board->clock = *loop_clock(loop);
		board->vm_id = vms[0].id;
		snprintf(board->data_centre, sizeof(board->data_centre),
			 "dc-1");
		randombytes_buf(&board->boot, sizeof(board->boot));
		tr_dispatcher_init(&board->dispatcher, &board->boot, &secret,
				   64, 60, 100000);
		options.platform = "http://127.0.0.1:9";
		options.secret = &secret;
		config = config_new(loop, client, board.get(), &options);
		board->fleet.vms = (tr_vm *)calloc(1, sizeof(tr_vm));
		board->fleet.vms[0] = vms[0];
		board->fleet.count = 1;
		doc.routes.push_back({ once, methods, 1, TR_REPEAT_NEVER,
				       TR_PRIORITY_MUST, 0 });
		doc.doc.routes = doc.routes.data();
		doc.doc.routes_count = 2;
		doc.doc.deadline_ms = deadline_ms;
		svc = tr_board_add_service(board.get(), "svc");
		tr_service_set_document(board.get(), svc, &doc.doc, 1);
		for (size_t i = 0; i < targets.size(); i++) {
			tr_target_entry e{};

			snprintf(e.name, sizeof(e.name), "t-%zu", i);
			snprintf(e.address, sizeof(e.address), "%s",
				 targets[i].c_str());
			snprintf(e.data_centre, sizeof(e.data_centre), "dc-1");
			entries.push_back(e);
		}
		tr_service_set_targets(board.get(), svc, entries.data(),
				       (unsigned)entries.size(), 1);
		svc->confirmed = true;
		svc->needed_until = board->clock.now(nullptr) + TR_SEC(600);
		open_proxy();
		EXPECT_EQ(pipe(stop_pipe), 0);
		loop_watch(loop, stop_pipe[0], LOOP_READ, stop, loop);
		sweep(this);
		thread = std::thread([this] { loop_run(loop); });
	}

	void open_proxy()
	{
		tr_error err{};
		proxy_options options{};

		options.ip = "127.0.0.1";
		options.connections = 100;
		options.body_buffer = 64 * 1024;
		proxy = nullptr;
		for (uint16_t p = 21000; !proxy && p < 21400; p++) {
			options.port = (uint16_t)(p + getpid() % 200 * 10);
			proxy = proxy_new(loop, client, board.get(), config,
					  &secret, &options, &err);
			port = options.port;
		}
		board->dispatcher.port = port;
		board->dispatcher.address = 0x7f000001;
	}

	~Stack()
	{
		(void)!write(stop_pipe[1], "x", 1);
		thread.join();
		svc->document = nullptr;
		proxy_destroy(proxy);
		config_destroy(config);
		client_destroy(client);
		tr_dispatcher_release(&board->dispatcher);
		loop_destroy(loop);
		close(stop_pipe[0]);
		close(stop_pipe[1]);
		apr_pool_destroy(pool);
	}

	static void stop(void *ctx, int, int)
	{
		loop_stop(static_cast<struct loop *>(ctx));
	}

	static void sweep(void *ctx)
	{
		Stack *s = static_cast<Stack *>(ctx);

		proxy_sweep(s->proxy);
		loop_add_timer(s->loop, TR_MSEC(5), sweep, s);
	}

	int connect_to_proxy()
	{
		sockaddr_in addr;
		int fd = tcp_socket("127.0.0.1", port, &addr);

		EXPECT_EQ(connect(fd, (sockaddr *)&addr, sizeof(addr)), 0);
		return fd;
	}

	/* Sends the bytes unchanged. Returns what arrives until the close. */
	std::string send_raw(const std::string &bytes)
	{
		int fd = connect_to_proxy();
		std::string answer;
		char buf[4096];
		timeval wait = { 10, 0 };
		ssize_t n;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
		RawTarget::send_text(fd, bytes);
		while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
			answer.append(buf, (size_t)n);
		close(fd);
		return answer;
	}

	std::string get(const std::string &path,
			const std::string &headers = "")
	{
		return send_raw(
			"GET /s/svc" + path +
			" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
			headers + "\r\n");
	}

	std::string post_once(const std::string &key, const std::string &body)
	{
		return send_raw(
			"POST /s/svc/once HTTP/1.1\r\nHost: x\r\n"
			"Connection: close\r\n" +
			(key.empty() ? "" : "Toucanreel-Key: " + key + "\r\n") +
			"Content-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body);
	}
};

inline std::string header_value(const std::string &answer,
				const std::string &name)
{
	size_t at = answer.find(name + ": ");

	if (at == std::string::npos)
		return "";
	at += name.size() + 2;
	return answer.substr(at, answer.find("\r\n", at) - at);
}

inline std::string outcome(const std::string &answer)
{
	return header_value(answer, "Toucanreel-Outcome");
}

inline int code(const std::string &answer)
{
	return atoi(header_value(answer, "Toucanreel-Code").c_str());
}

#endif
