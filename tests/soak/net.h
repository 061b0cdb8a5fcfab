#ifndef SOAK_NET_H
#define SOAK_NET_H

/*
 * Blocking sockets with a thread per connection for the simulated peers of
 * the soak test. A few hundred threads cost little here, and the code stays
 * simple.
 */
#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace soak
{

struct Address {
	std::string ip;
	uint16_t port = 0;

	std::string text() const
	{
		return ip + ":" + std::to_string(port);
	}
};

inline sockaddr_in to_sockaddr(const Address &a)
{
	sockaddr_in addr{};

	addr.sin_family = AF_INET;
	addr.sin_port = htons(a.port);
	inet_pton(AF_INET, a.ip.c_str(), &addr.sin_addr);
	return addr;
}

inline void set_timeout(int fd, int ms)
{
	timeval tv{ ms / 1000, ms % 1000 * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

/* Connects to the address, from the source address if one is given; -1 on
 * failure. ms is the timeout of the connect and of each later call. */
inline int dial(const Address &a, int ms, const std::string &from = "")
{
	sockaddr_in addr = to_sockaddr(a);
	sockaddr_in own = to_sockaddr({ from.empty() ? "0.0.0.0" : from, 0 });
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	set_timeout(fd, ms);
	if (!from.empty())
		bind(fd, (sockaddr *)&own, sizeof(own));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

inline bool send_all(int fd, const std::string &text)
{
	for (size_t at = 0; at < text.size();) {
		ssize_t n = send(fd, text.data() + at, text.size() - at,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

/* Makes the following close() send a reset, so that the peer sees a broken
 * connection. */
inline void set_reset_on_close(int fd)
{
	linger now{ 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Resets the connection at once, while another thread may wait for data on it:
 * after shutdown() the peer would see an orderly end. */
inline void reset(int fd)
{
	sockaddr none{};

	none.sa_family = AF_UNSPEC;
	set_reset_on_close(fd);
	connect(fd, &none, sizeof(none));
}

inline std::string header(const std::string &text, const std::string &name)
{
	size_t end = text.find("\r\n\r\n");
	size_t at = text.find("\r\n" + name + ": ");

	if (at == std::string::npos || at > end)
		return "";
	at += name.size() + 4;
	return text.substr(at, text.find("\r\n", at) - at);
}

/*
 * Sends the head, and then the piece again and again with a pause in us, until
 * the peer closes or stop is due. Returns how many bytes were sent.
 */
inline size_t send_without_end(int fd, const std::string &head,
			       const std::string &piece, useconds_t pause,
			       const std::function<bool()> &go_on)
{
	int bytes = 16384;
	size_t sent = 0;

	/* So that little waits in the socket when the peer closes. */
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	for (bool open = send_all(fd, head); open && go_on();) {
		open = send_all(fd, piece);
		sent += open ? piece.size() : 0;
		if (pause)
			usleep(pause);
	}
	return sent;
}

/*
 * Reads the next complete HTTP message; bytes after it stay in rest. Returns
 * "" if the peer closes or breaks the connection first, as an incomplete
 * message does not count.
 */
inline std::string read_message(int fd, std::string &rest)
{
	char buf[16384];

	for (;;) {
		size_t head = rest.find("\r\n\r\n");

		if (head != std::string::npos) {
			std::string len = header(rest, "Content-Length");
			size_t all =
				head + 4 + (len.empty() ? 0 : std::stoul(len));

			if (rest.size() >= all) {
				std::string message = rest.substr(0, all);

				rest.erase(0, all);
				return message;
			}
		}
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return "";
		rest.append(buf, (size_t)n);
	}
}

inline std::string body_of(const std::string &message)
{
	size_t head = message.find("\r\n\r\n");

	return head == std::string::npos ? "" : message.substr(head + 4);
}

inline std::string http(int status, const std::string &headers,
			const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

/* Accepts connections and serves each on its own thread until shut down. */
class Listener
{
      public:
	using Serve = std::function<void(int fd, const std::string &peer_ip)>;

	Listener(Address a, Serve s)
	    : address(std::move(a)), serve(std::move(s))
	{
	}

	~Listener()
	{
		shut();
	}

	bool open()
	{
		sockaddr_in addr = to_sockaddr(address);
		int one = 1;

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (receive_bytes)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
				   sizeof(receive_bytes));
		if (bind(fd, (sockaddr *)&addr, sizeof(addr)) ||
		    listen(fd, 256)) {
			close(fd);
			fd = -1;
			return false;
		}
		acceptor = std::thread([this] { accept_all(); });
		return true;
	}

	/* Stops accepting, shuts down all open connections and joins their
	 * threads. */
	void shut()
	{
		if (fd < 0)
			return;
		shutdown(fd, SHUT_RDWR);
		acceptor.join();
		close(fd);
		fd = -1;
		{
			std::lock_guard<std::mutex> lock(mutex);

			for (auto &c : connections)
				if (c.fd >= 0)
					shutdown(c.fd, SHUT_RDWR);
		}
		for (auto &c : connections)
			c.thread.join();
		connections.clear();
	}

	const Address address;
	/* Size of the connections' receive buffers; 0: the default. */
	int receive_bytes = 0;

      private:
	struct Connection {
		int fd;
		std::thread thread;
	};

	/* Joins the threads of closed connections, which are not released
	 * before. */
	void reap()
	{
		std::list<Connection> ended;
		{
			std::lock_guard<std::mutex> lock(mutex);

			for (auto it = connections.begin();
			     it != connections.end();) {
				auto next = std::next(it);

				if (it->fd < 0)
					ended.splice(ended.end(), connections,
						     it);
				it = next;
			}
		}
		for (auto &c : ended)
			c.thread.join();
	}

	void accept_all()
	{
		for (;;) {
			sockaddr_in peer{};
			socklen_t len = sizeof(peer);
			int conn = accept4(fd, (sockaddr *)&peer, &len,
					   SOCK_CLOEXEC);
			char ip[INET_ADDRSTRLEN] = "";
			int one = 1;

			if (conn < 0)
				return;
			setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
			reap();
			std::lock_guard<std::mutex> lock(mutex);
			Connection &c = connections.emplace_back();
			c.fd = conn;
			c.thread = std::thread(
				[this, &c, conn, from = std::string(ip)] {
					serve(conn, from);
					std::lock_guard<std::mutex> l(mutex);
					c.fd = -1;
					close(conn);
				});
		}
	}

	Serve serve;
	int fd = -1;
	std::mutex mutex;
	std::list<Connection> connections;
	std::thread acceptor;
};

/* Accepts nothing: its queue of new connections is full. */
class FullListener
{
      public:
	explicit FullListener(const Address &at)
	{
		sockaddr_in addr = to_sockaddr(at);

		fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
		if (bind(fds[0], (sockaddr *)&addr, sizeof(addr)) ||
		    listen(fds[0], 0))
			abort();
		for (int i = 0; i < 3; i++) {
			fds.push_back(socket(
				AF_INET,
				SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
			connect(fds.back(), (sockaddr *)&addr, sizeof(addr));
		}
	}

	~FullListener()
	{
		for (int fd : fds)
			close(fd);
	}

      private:
	std::vector<int> fds;
};

} // namespace soak

#endif
