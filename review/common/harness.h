/*
 * Stand-ins for the cases of the review: the platform's store, servers,
 * clients and the start of the entry daemon, by the pages of the platform.
 * Blocking sockets with a thread per connection.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;

inline void sleep_ms(long ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Exit codes of a case. */
enum { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

/* record.txt: what was sent, answered and run, with seconds from the start. */
class Record
{
      public:
	bool open(const std::string &path)
	{
		out = fopen(path.c_str(), "w");
		return out;
	}
	void line(const char *fmt, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> lock(mutex);
		va_list ap;

		if (!out)
			return;
		fprintf(out, "%8.3f ", now());
		va_start(ap, fmt);
		vfprintf(out, fmt, ap);
		va_end(ap);
		fputc('\n', out);
		fflush(out);
	}
	double now() const
	{
		return std::chrono::duration<double>(Clock::now() - began)
			.count();
	}

      private:
	Clock::time_point began = Clock::now();
	std::mutex mutex;
	FILE *out = nullptr;
};

inline Record record;

inline sockaddr_in address_of(const std::string &ip, int port)
{
	sockaddr_in a{};

	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
	return a;
}

inline void set_timeout(int fd, long ms)
{
	timeval tv{ ms / 1000, ms % 1000 * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

inline int dial(const std::string &ip, int port, long ms)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in a = address_of(ip, port);
	int one = 1;

	set_timeout(fd, ms);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (sockaddr *)&a, sizeof(a)))
		return fd;
	close(fd);
	return -1;
}

inline int listen_at(const std::string &ip, int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in a = address_of(ip, port);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (sockaddr *)&a, sizeof(a)) && !listen(fd, 512))
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

/* An HTTP message. head includes the blank line. */
struct Message {
	std::string head, body;
	bool whole = false;

	std::string header(const std::string &name) const
	{
		size_t at = head.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return head.substr(at, head.find("\r\n", at) - at);
	}
	int status() const
	{
		return head.size() > 12 ? atoi(head.c_str() + 9) : 0;
	}
	/* Second word of the first line. */
	std::string target() const
	{
		size_t a = head.find(' ');

		return head.substr(a + 1, head.find(' ', a + 1) - a - 1);
	}
};

/* Reads the next message with a length; bytes after it stay in rest. */
inline Message read_message(int fd, std::string &rest)
{
	Message m;
	char buf[65536];

	for (;;) {
		size_t end = rest.find("\r\n\r\n");

		if (end != std::string::npos) {
			m.head = rest.substr(0, end + 4);
			size_t len = strtoul(
				m.header("Content-Length").c_str(), nullptr, 10);

			if (rest.size() >= end + 4 + len) {
				m.body = rest.substr(end + 4, len);
				rest.erase(0, end + 4 + len);
				m.whole = true;
				return m;
			}
		}
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return m;
		rest.append(buf, (size_t)n);
	}
}

inline std::string http(int status, const std::string &headers,
			const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

/* Accepts connections and serves each on a thread. The threads live until the
 * process ends. */
class Listener
{
      public:
	using Serve = std::function<void(int fd)>;

	/* The address of the other end. */
	static std::string peer_of(int fd)
	{
		sockaddr_in a{};
		socklen_t len = sizeof(a);
		char text[INET_ADDRSTRLEN] = "";

		if (!getpeername(fd, (sockaddr *)&a, &len))
			inet_ntop(AF_INET, &a.sin_addr, text, sizeof(text));
		return text;
	}

	bool open(const std::string &ip, int port, Serve serve)
	{
		fd = listen_at(ip, port);
		if (fd < 0)
			return false;
		std::thread([this, serve] {
			for (;;) {
				int conn = accept4(fd, nullptr, nullptr,
						   SOCK_CLOEXEC);
				int one = 1;

				if (conn < 0)
					return;
				setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one,
					   sizeof(one));
				std::thread([serve, conn] {
					serve(conn);
					close(conn);
				}).detach();
			}
		}).detach();
		return true;
	}

      private:
	int fd = -1;
};

inline std::string base64(const std::string &in)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	std::string out;

	for (size_t i = 0; i < in.size(); i += 3) {
		unsigned v = (unsigned char)in[i] << 16;
		size_t left = in.size() - i;

		if (left > 1)
			v |= (unsigned)(unsigned char)in[i + 1] << 8;
		if (left > 2)
			v |= (unsigned char)in[i + 2];
		out += set[v >> 18];
		out += set[v >> 12 & 63];
		out += left > 1 ? set[v >> 6 & 63] : '=';
		out += left > 2 ? set[v & 63] : '=';
	}
	return out;
}

/* The platform's store: range reads in pages, and watches. */
class Store
{
      public:
	bool open(const std::string &ip, int port)
	{
		return listener.open(ip, port, [this](int fd) { serve(fd); });
	}
	/* Acknowledged on return. */
	void write(const std::string &key, const std::string &value)
	{
		std::lock_guard<std::mutex> lock(mutex);

		items[key] = { value, ++rev, false };
		events.push_back({ key, rev });
		changed.notify_all();
	}
	void remove(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex);

		if (!items.erase(key))
			return;
		events.push_back({ key, ++rev });
		changed.notify_all();
	}

	/* Partitions a machine from the store, or ends that: what it sends
	 * gets no answer. */
	void cut(const std::string &ip, bool on)
	{
		std::lock_guard<std::mutex> lock(mutex);

		if (on)
			cut_off[ip] = true;
		else
			cut_off.erase(ip);
	}
	/* When each machine last got an answer. */
	std::map<std::string, double> last_answers()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return answered;
	}
	/* Called with the caller's address and the key when an item is handed
	 * over for the first time after its last write. */
	std::function<void(const std::string &ip, const std::string &key)>
		on_first_read;

      private:
	struct Item {
		std::string value;
		uint64_t rev;
		bool read = false;
	};
	struct Event {
		std::string key;
		uint64_t rev;
	};

	static std::string query(const std::string &target,
				 const std::string &name)
	{
		size_t at = target.find(name + "=");
		std::string out;

		if (at == std::string::npos)
			return "";
		for (at += name.size() + 1;
		     at < target.size() && target[at] != '&'; at++) {
			if (target[at] == '%' && at + 2 < target.size()) {
				out += (char)strtol(
					target.substr(at + 1, 2).c_str(),
					nullptr, 16);
				at += 2;
			} else {
				out += target[at];
			}
		}
		return out;
	}
	static std::string item_json(const std::string &key, const Item &item)
	{
		return "{\"key\":\"" + key + "\",\"value\":\"" +
		       base64(item.value) +
		       "\",\"rev\":" + std::to_string(item.rev) +
		       ",\"createRevision\":1,\"lease\":0}";
	}
	static std::string json(const std::string &text)
	{
		return http(200, "Content-Type: application/json\r\n", text);
	}
	std::string range(const std::string &target)
	{
		std::string prefix = query(target, "prefix");
		std::string after = query(target, "after");
		std::lock_guard<std::mutex> lock(mutex);
		std::string rows;
		bool more = false;
		int n = 0;

		for (const auto &[key, item] : items) {
			if (key.compare(0, prefix.size(), prefix) ||
			    key <= after)
				continue;
			if (n == 500) {
				more = true;
				break;
			}
			rows += (n++ ? "," : "") + item_json(key, item);
		}
		return json("{\"items\":[" + rows + "],\"hasMore\":" +
			    (more ? "true" : "false") +
			    ",\"asOf\":" + std::to_string(rev) + "}");
	}
	std::string watch(const std::string &target)
	{
		std::string prefix = query(target, "prefix");
		uint64_t after = strtoull(query(target, "after").c_str(),
					  nullptr, 10);
		long wait = atol(query(target, "waitMs").c_str());
		std::unique_lock<std::mutex> lock(mutex);
		std::string rows;

		changed.wait_for(lock, std::chrono::milliseconds(wait),
				 [&] { return rev > after; });
		for (const Event &e : events) {
			auto it = items.find(e.key);

			if (e.rev <= after ||
			    e.key.compare(0, prefix.size(), prefix))
				continue;
			/* Of several changes of a key the last one is told. */
			if (it != items.end() && it->second.rev != e.rev)
				continue;
			rows += rows.empty() ? "" : ",";
			rows += it != items.end()
					? item_json(e.key, it->second)
					: "{\"key\":\"" + e.key +
						  "\",\"rev\":" +
						  std::to_string(e.rev) +
						  ",\"removed\":true}";
		}
		return json("{\"events\":[" + rows +
			    "],\"asOf\":" + std::to_string(rev) + "}");
	}
	void serve(int fd)
	{
		std::string rest;
		bool lost = false;

		for (;;) {
			Message m = read_message(fd, rest);
			std::string target = m.target();
			std::string answer;

			if (!m.whole)
				return;
			if (target.rfind("/v1/kv-range?", 0) == 0)
				answer = range(target);
			else if (target.rfind("/v1/kv-watch?", 0) == 0)
				answer = watch(target);
			else
				answer = http(404, "", "");
			std::string ip = Listener::peer_of(fd);
			{
				std::lock_guard<std::mutex> lock(mutex);

				if (cut_off.count(ip))
					lost = true;
				if (!lost)
					answered[ip] = record.now();
			}
			/* A connection on which an answer was lost returns
			 * nothing further. */
			if (lost)
				continue;
			if (!send_all(fd, answer))
				return;
			note_read(ip, answer);
		}
	}
	void note_read(const std::string &ip, const std::string &answer)
	{
		std::vector<std::string> keys;
		{
			std::lock_guard<std::mutex> lock(mutex);

			for (auto &[key, item] : items) {
				if (item.read ||
				    answer.find("\"" + key + "\"") ==
					    std::string::npos ||
				    answer.find("\"rev\":" +
						std::to_string(item.rev)) ==
					    std::string::npos)
					continue;
				item.read = true;
				keys.push_back(key);
			}
		}
		for (const std::string &key : keys)
			if (on_first_read)
				on_first_read(ip, key);
	}

	std::mutex mutex;
	std::condition_variable changed;
	std::map<std::string, Item> items;
	std::map<std::string, bool> cut_off;
	std::map<std::string, double> answered;
	std::deque<Event> events;
	uint64_t rev = 100;
	Listener listener;
};

/* An entry in the store as a server writes it. */
inline std::string server_entry(const std::string &service,
				const std::string &address,
				const std::string &zone, int slots,
				const std::string &state, unsigned sequence)
{
	return "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" +
	       service + "\",\"version\":\"v1\",\"zone\":\"" + zone +
	       "\",\"slots\":" + std::to_string(slots) +
	       "},\"status\":{\"state\":\"" + state +
	       "\",\"sequence\":" + std::to_string(sequence) +
	       ",\"coldLeft\":\"0ms\"}}";
}

/*
 * The servers' entries. A server writes every heartbeat, but its entry changes
 * only when more than the sequence changes, so the store sees no event of the
 * rest.
 */
class Beats
{
      public:
	explicit Beats(Store &s) : store(s)
	{
	}
	void add(const std::string &id, const std::string &service,
		 const std::string &address, const std::string &zone, int slots)
	{
		std::lock_guard<std::mutex> lock(mutex);

		rows.push_back({ id, service, address, zone, slots, "ready" });
		write(rows.back());
	}
	void set_state(const std::string &id, const std::string &state)
	{
		std::lock_guard<std::mutex> lock(mutex);

		for (Row &r : rows)
			if (r.id == id) {
				r.state = state;
				write(r);
			}
	}
	/* The server beats no longer; its entry stays. */
	void stop(const std::string &id)
	{
		std::lock_guard<std::mutex> lock(mutex);

		for (size_t i = 0; i < rows.size(); i++)
			if (rows[i].id == id)
				rows.erase(rows.begin() + (long)i--);
	}

      private:
	struct Row {
		std::string id, service, address, zone;
		int slots;
		std::string state;
		unsigned sequence = 0;
	};

	void write(Row &r)
	{
		store.write("servers/" + r.id,
			    server_entry(r.service, r.address, r.zone, r.slots,
					 r.state, ++r.sequence));
	}

	Store &store;
	std::mutex mutex;
	std::vector<Row> rows;
};

/* Addresses of a deployment: a loopback subnet of this process. */
struct Net {
	std::string base;
	int front = 8548, ready = 8542, control = 8544, directory = 8546;
	int internal_first = 7540, internal_last = 7555;

	Net()
	{
		int pid = (int)getpid();

		base = "127." + std::to_string(40 + pid % 80) + "." +
		       std::to_string(pid / 80 % 250) + ".";
	}
	std::string vm(int i) const
	{
		return base + std::to_string(10 + i);
	}
	std::string server(int i) const
	{
		return base + std::to_string(60 + i);
	}
	std::string store() const
	{
		return base + "250";
	}
};

/* One machine: the entry daemon as the deploy file starts it, with the
 * settings that the template gives for a small deployment. */
class Vm
{
      public:
	Vm(const Net &n, int number, std::string d, std::string z,
	   std::vector<std::string> s)
	    : ip(n.vm(number)), net(n), dir(std::move(d)), zone(std::move(z)),
	      seeds(std::move(s))
	{
	}
	~Vm()
	{
		kill_now();
	}
	void start()
	{
		std::string path = dir + "/" + ip + ".yaml";
		std::string config = "TOUCANREEL_CONFIG=" + path;
		std::string log = dir + "/" + ip + ".log";

		write_settings(path);
		starts++;
		pid = fork();
		if (!pid) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			char path_variable[] = "PATH=/usr/bin:/bin";
			char program[] = "target/toucanreel-entry";
			char *args[] = { program, nullptr };
			char *env[] = { path_variable, config.data(), nullptr };
			int fd = open(log.c_str(),
				      O_WRONLY | O_CREAT | O_APPEND, 0644);

			signal(SIGPIPE, SIG_DFL);
			dup2(fd, 1);
			dup2(fd, 2);
			execve(program, args, env);
			_exit(127);
		}
	}
	void kill_now()
	{
		if (pid <= 0)
			return;
		kill(pid, SIGKILL);
		waitpid(pid, nullptr, 0);
		pid = -1;
	}
	void send_signal(int number) const
	{
		if (pid > 0)
			kill(pid, number);
	}
	bool has_ended()
	{
		int status;

		if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid)
			pid = -1;
		return pid <= 0;
	}
	bool is_ready() const
	{
		int fd = dial(ip, net.ready, 1000);
		std::string rest;
		int status = 0;

		if (fd < 0)
			return false;
		if (send_all(fd,
			     "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
			status = read_message(fd, rest).status();
		close(fd);
		return status == 200;
	}
	bool wait_ready(long ms) const
	{
		for (long i = 0; i < ms / 20; i++) {
			if (is_ready())
				return true;
			sleep_ms(20);
		}
		return false;
	}

	const std::string ip;

      private:
	void write_settings(const std::string &path) const
	{
		std::ofstream out(path);

		out << "name: \"front-" << ip << "\"\nip: \"" << ip
		    << "\"\ndata_centre: \"" << zone
		    << "\"\nregion: \"altiplano\"\nfront: \"" << ip << ":"
		    << net.front << "\"\nready: \"" << ip << ":" << net.ready
		    << "\"\ndirectory: \"" << ip << ":" << net.directory
		    << "\"\nstore: \"" << net.store() << ":8541\"\npeer_port: "
		    << net.internal_first
		    << "\nmetrics_port: " << net.internal_last
		    << "\nlink_mbps: 1000.0\nmemory_mb: 260\n";
		if (!starts)
			out << "first_start: true\n";
		out << "seeds: [";
		for (size_t i = 0; i < seeds.size(); i++)
			out << (i ? "," : "") << "\"" << seeds[i] << ":"
			    << net.control << "\"";
		out << "]\nterms: [\"base\",\"drain\",\"config\",\"cost\","
		       "\"retry\",\"recover\",\"health\",\"platform\"]\n"
		       "cpu_share: 0.2\nbounds:\n  repeat_ratio: 0.2\n"
		       "  repeat_slack: 62\n  floor_share: 0.7\n"
		       "  repeat_window: \"10s\"\n  keep_most: \"5s\"\n"
		       "  grace: \"6s\"\n  drain: \"2000ms\"\n";
	}

	const Net &net;
	std::string dir, zone;
	std::vector<std::string> seeds;
	pid_t pid = -1;
	int starts = 0;
};

inline bool make_directory(std::string &dir)
{
	char text[] = "/tmp/review-XXXXXX";

	if (!mkdtemp(text))
		return false;
	dir = text;
	return true;
}

inline void remove_directory(const std::string &dir, const Net &net)
{
	for (int i = 0; i < 16; i++) {
		unlink((dir + "/" + net.vm(i) + ".yaml").c_str());
		unlink((dir + "/" + net.vm(i) + ".log").c_str());
	}
	rmdir(dir.c_str());
}

/* Whether the case is to be run with its disruption. */
inline bool with_trouble()
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

inline const char *config_limits()
{
	return "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	       "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}";
}

#endif
