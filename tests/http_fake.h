#ifndef HTTP_FAKE_H
#define HTTP_FAKE_H

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

/*
 * Reads one message, as long as its Content-Length says. Returns what came if
 * the peer closes before its end.
 */
inline std::string http_read(int fd)
{
	std::string text;
	char buf[4096];

	for (;;) {
		size_t head = text.find("\r\n\r\n");
		size_t at = text.find("Content-Length: ");
		ssize_t n;

		if (head != std::string::npos) {
			size_t body = 0;

			if (at != std::string::npos && at < head)
				body = std::stoul(text.substr(at + 16));
			if (text.size() >= head + 4 + body)
				return text;
		}
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return text;
		text.append(buf, (size_t)n);
	}
}

/*
 * Connects to a port on loopback, with a receive timeout of 10 s. Returns -1 on
 * error.
 */
inline int http_connect(uint16_t port)
{
	sockaddr_in addr{};
	timeval limit = { 10, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

/* Sends one request on a connection of its own. Returns the response, or "". */
inline std::string http_request(uint16_t port, const std::string &request)
{
	int fd = http_connect(port);
	std::string answer;

	if (fd < 0)
		return "";
	if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0)
		answer = http_read(fd);
	close(fd);
	return answer;
}

/*
 * A server on loopback whose responses come from a handler of the test. An
 * empty response closes the connection.
 */
class HttpFake
{
      public:
	using Handler = std::function<std::string(const std::string &)>;

	explicit HttpFake(Handler h) : handler(std::move(h))
	{
		sockaddr_in addr{};
		socklen_t len = sizeof(addr);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(listener, (sockaddr *)&addr, sizeof(addr)) ||
		    listen(listener, 64))
			abort();
		getsockname(listener, (sockaddr *)&addr, &len);
		port = ntohs(addr.sin_port);
		acceptor = std::thread([this] { accept_all(); });
	}

	~HttpFake()
	{
		stopped = true;
		shutdown(listener, SHUT_RDWR);
		acceptor.join();
		close(listener);
		std::unique_lock<std::mutex> lock(mutex);
		for (int fd : open)
			shutdown(fd, SHUT_RDWR);
		lock.unlock();
		for (auto &t : threads)
			t.join();
	}

	/* The requests received so far. */
	std::vector<std::string> seen()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return requests;
	}

	/* How many connections were ever accepted. */
	size_t connections()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return accepted;
	}

	uint16_t port = 0;

      private:
	void accept_all()
	{
		while (!stopped) {
			int fd = accept(listener, nullptr, nullptr);

			if (fd < 0)
				return;
			std::lock_guard<std::mutex> lock(mutex);
			open.push_back(fd);
			accepted++;
			threads.emplace_back([this, fd] { serve(fd); });
		}
	}

	void serve(int fd)
	{
		for (;;) {
			std::string request = http_read(fd);
			std::string answer;

			if (request.empty() || stopped)
				break;
			{
				std::lock_guard<std::mutex> lock(mutex);

				requests.push_back(request);
			}
			answer = handler(request);
			if (answer.empty() ||
			    send(fd, answer.data(), answer.size(),
				 MSG_NOSIGNAL) < 0 ||
			    answer.find("Connection: close") !=
				    std::string::npos)
				break;
		}
		std::lock_guard<std::mutex> lock(mutex);

		for (size_t i = 0; i < open.size(); i++)
			if (open[i] == fd)
				open.erase(open.begin() + (long)i--);
		shutdown(fd, SHUT_RDWR);
		close(fd);
	}

	Handler handler;
	int listener = -1;
	std::atomic<bool> stopped{ false };
	std::mutex mutex;
	std::vector<std::string> requests;
	std::vector<int> open;
	size_t accepted = 0;
	std::vector<std::thread> threads;
	std::thread acceptor;
};

#endif
