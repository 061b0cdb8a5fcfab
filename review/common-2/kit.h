#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

/*
 * Stand-ins for the cases 6 to 10 of the review: the platform's store, the
 * start of the daemon as the platform starts it, and the record of a run.
 */
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <memory>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "../../tests/soak/net.h"

namespace kit
{

using soak::Address;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

constexpr int HELD = 0, BROKEN = 1, NOT_RUN = 2;
constexpr uint16_t FRONT = 8548, READY = 8542, CONTROL = 8544, LOOKUP = 8546,
		   PEER = 7540, METRICS = 7555, STORE = 8541, SERVER = 8185;

inline double seconds(Clock::duration d)
{
	return std::chrono::duration<double>(d).count();
}

inline void sleep_s(double s)
{
	std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/* Ends this program, and with it those that it has started, before the 120 s
 * that a script may take. */
inline void limit_run_time()
{
	alarm(100);
}

/* Whether the disruption is to happen. */
inline bool trouble()
{
	const char *text = getenv("TROUBLE");

	return !text || std::string(text) != "0";
}

/* What was sent, answered and run, with the time since the start in s. */
class Record
{
      public:
	explicit Record(const std::string &path) : out(fopen(path.c_str(), "w"))
	{
	}

	~Record()
	{
		fclose(out);
	}

	void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> lock(mutex);
		va_list args;

		fprintf(out, "%8.3f ", seconds(Clock::now() - began));
		va_start(args, format);
		vfprintf(out, format, args);
		va_end(args);
		fputc('\n', out);
		fflush(out);
	}

      private:
	Time began = Clock::now();
	FILE *out;
	std::mutex mutex;
};

/* A loopback network that no other run uses: "127.A.B.". */
inline std::string free_network()
{
	for (unsigned i = 0; i < 500; i++) {
		unsigned n = ((unsigned)getpid() + i * 37) % 25000;
		std::string net = "127." + std::to_string(100 + n / 250) + "." +
				  std::to_string(1 + n % 250) + ".";
		sockaddr_in addr = soak::to_sockaddr({ net + "250", STORE });
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool is_free = !bind(fd, (sockaddr *)&addr, sizeof(addr));

		close(fd);
		if (is_free)
			return net;
	}
	return "";
}

inline std::string base64(const std::string &text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789+/";
	std::string out;

	for (size_t i = 0; i < text.size(); i += 3) {
		unsigned n = (unsigned char)text[i] << 16;

		if (i + 1 < text.size())
			n |= (unsigned char)text[i + 1] << 8;
		if (i + 2 < text.size())
			n |= (unsigned char)text[i + 2];
		out += digits[n >> 18];
		out += digits[n >> 12 & 63];
		out += i + 1 < text.size() ? digits[n >> 6 & 63] : '=';
		out += i + 2 < text.size() ? digits[n & 63] : '=';
	}
	return out;
}

/*
 * The platform's store, by the users' page: range reads, watches by revision,
 * and a history of HISTORY. A write is acknowledged when write() returns.
 */
class Store
{
      public:
	explicit Store(const Address &at)
	    : listener(at, [this](int fd, const std::string &) { serve(fd); })
	{
	}

	~Store()
	{
		{
			std::lock_guard<std::mutex> lock(mutex);

			stopping = true;
		}
		changed.notify_all();
		listener.shut();
	}

	bool open()
	{
		return listener.open();
	}

	void write(const std::string &key, const std::string &value)
	{
		std::string encoded = base64(value);
		std::lock_guard<std::mutex> lock(mutex);

		put({ key,
		      R"({"key":")" + key + R"(","value":")" + encoded +
			      R"(","rev":)" + std::to_string(rev + 1) +
			      R"(,"createRevision":1,"lease":0})",
		      0, Clock::now() });
	}

	void remove(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex);

		put({ key,
		      R"({"key":")" + key + R"(","rev":)" +
			      std::to_string(rev + 1) + R"(,"removed":true})",
		      0, Clock::now() });
		items.erase(key);
	}

	/* The largest answer that was sent to a watch, in bytes. */
	std::atomic<size_t> largest_watch{ 0 };
	std::atomic<unsigned> calls{ 0 };

      private:
	static constexpr auto HISTORY = std::chrono::seconds(20);
	static constexpr size_t PAGE_ITEMS = 500;
	static constexpr size_t PAGE_BYTES = 1000000;

	struct Event {
		std::string key;
		std::string json;
		uint64_t rev;
		Time at;
	};

	void put(Event event)
	{
		event.rev = ++rev;
		items[event.key] = event.json;
		history.push_back(std::move(event));
		changed.notify_all();
	}

	static std::string query(const std::string &request,
				 const std::string &name)
	{
		size_t end = request.find(" HTTP/");
		size_t at = request.find(name + "=");

		if (at == std::string::npos || at > end)
			return "";
		at += name.size() + 1;
		return request.substr(at, request.find_first_of("& ", at) - at);
	}

	std::string range(const std::string &request)
	{
		std::string after = query(request, "after"), rows;
		std::lock_guard<std::mutex> lock(mutex);
		bool more = false;
		size_t n = 0;

		for (size_t at; (at = after.find("%2F")) != std::string::npos;)
			after.replace(at, 3, "/");
		for (const auto &[key, json] : items) {
			if (key <= after)
				continue;
			if (n == PAGE_ITEMS || rows.size() > PAGE_BYTES) {
				more = true;
				break;
			}
			rows += (n++ ? "," : "") + json;
		}
		return soak::http(200, "Content-Type: application/json\r\n",
				  R"({"items":[)" + rows + R"(],"hasMore":)" +
					  (more ? "true" : "false") +
					  R"(,"asOf":)" + std::to_string(rev) +
					  "}");
	}

	std::string watch(const std::string &request)
	{
		uint64_t after = std::stoull("0" + query(request, "after"));
		std::chrono::milliseconds wait(
			std::stoull("0" + query(request, "waitMs")));
		std::unique_lock<std::mutex> lock(mutex);
		std::string rows;

		changed.wait_for(lock, wait,
				 [&] { return stopping || rev > after; });
		while (!history.empty() &&
		       Clock::now() - history.front().at > HISTORY) {
			dropped = history.front().rev;
			history.pop_front();
		}
		if (after < dropped)
			return soak::http(410, "", "");
		for (const Event &e : history)
			if (e.rev > after)
				rows += (rows.empty() ? "" : ",") + e.json;
		if (rows.size() > largest_watch)
			largest_watch = rows.size();
		return soak::http(200, "Content-Type: application/json\r\n",
				  R"({"events":[)" + rows + R"(],"asOf":)" +
					  std::to_string(rev) + "}");
	}

	void serve(int fd)
	{
		std::string rest;

		for (;;) {
			std::string request = soak::read_message(fd, rest);
			std::string text;

			if (request.empty())
				return;
			calls++;
			if (request.rfind("GET /v1/kv-range?", 0) == 0)
				text = range(request);
			else if (request.rfind("GET /v1/kv-watch?", 0) == 0)
				text = watch(request);
			else
				text = soak::http(404, "", "");
			if (!soak::send_all(fd, text))
				return;
		}
	}

	std::mutex mutex;
	std::condition_variable changed;
	std::map<std::string, std::string> items;
	std::deque<Event> history;
	uint64_t rev = 7;
	uint64_t dropped = 0;
	bool stopping = false;
	soak::Listener listener;
};

/* An entry of the store for a server that is ready. */
inline std::string server_entry(const Address &at, const std::string &service,
				const std::string &zone)
{
	return R"({"address":")" + at.text() + R"(","info":{"service":")" +
	       service + R"(","zone":")" + zone +
	       R"(","version":"v1","slots":3},"status":{"state":"ready",)"
	       R"("coldLeft":"0ms","sequence":1}})";
}

struct Route {
	std::string name, prefix, kind, timeout, service;
};

/* A configuration, as the operator writes it below op/config. */
inline std::string config(unsigned version, const std::vector<Route> &routes,
			  const std::vector<std::string> &services)
{
	std::string rows, names;

	for (const Route &r : routes)
		rows += (rows.empty() ? "" : ",") +
			(R"([")" + r.name + R"(","h.example",")" + r.prefix +
			 R"(",")" + r.kind + R"(",")" + r.timeout +
			 R"(","1000ms",1,2,")" + r.service + R"("])");
	for (const std::string &s : services)
		names += (names.empty() ? "" : ",") +
			 (R"([")" + s + R"(","/health",390])");
	return R"({"version":)" + std::to_string(version) +
	       R"(,"routes":{"columns":["name","host","prefix","kind",)"
	       R"("timeout","targetLatency","priority","maxAttempts",)"
	       R"("service"],"rows":[)" +
	       rows +
	       R"(]},"services":{"columns":["name","healthPath","maxConns"],)"
	       R"("rows":[)" +
	       names +
	       R"(]},"limits":{"maxHeaderBytes":16384,)"
	       R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
	       R"("idleTimeout":"15000ms"}})";
}

/* Starts a program that ends with this one; its output goes to log. */
inline pid_t start_program(const std::vector<std::string> &args,
			   const std::string &log, const std::string &settings)
{
	int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		       0644);
	std::vector<char *> argv;
	pid_t parent = getpid();
	pid_t pid;

	for (const std::string &a : args)
		argv.push_back(const_cast<char *>(a.c_str()));
	argv.push_back(nullptr);
	pid = fork();
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(127);
		dup2(out, STDOUT_FILENO);
		dup2(out, STDERR_FILENO);
		if (!settings.empty())
			setenv("TOUCANREEL_CONFIG", settings.c_str(), 1);
		execv(argv[0], argv.data());
		_exit(127);
	}
	close(out);
	return pid;
}

/* One entry VM with the settings of a small deployment, as the platform fills
 * in deploy/entry.yaml.template. */
class Vm
{
      public:
	Vm(const std::string &net, unsigned n, std::string zone,
	   std::string dir_)
	    : ip(net + std::to_string(n)), centre(std::move(zone)),
	      dir(std::move(dir_))
	{
		std::ofstream out(settings());

		out << "name: \"front-" << centre << "-" << n << "\"\nip: \""
		    << ip << "\"\ndata_centre: \"" << centre
		    << "\"\nregion: \"altiplano\"\nfront: \"" << ip << ":"
		    << FRONT << "\"\nready: \"" << ip << ":" << READY
		    << "\"\ndirectory: \"" << ip << ":" << LOOKUP
		    << "\"\nstore: \"" << net << "250:" << STORE
		    << "\"\npeer_port: " << PEER
		    << "\nmetrics_port: " << METRICS
		    << "\nlink_mbps: 1000.0\nmemory_mb: 260\n"
		       "first_start: true\nseeds: [\""
		    << net << "1:" << CONTROL << "\",\"" << net
		    << "2:" << CONTROL << "\",\"" << net << "3:" << CONTROL
		    << "\"]\nterms: [\"base\",\"drain\",\"config\",\"cost\","
		       "\"retry\",\"recover\",\"health\",\"platform\"]\n"
		       "cpu_share: 0.2\nbounds:\n  repeat_ratio: 0.2\n"
		       "  repeat_slack: 62\n  floor_share: 0.7\n"
		       "  repeat_window: \"10s\"\n  keep_most: \"5s\"\n"
		       "  grace: \"6s\"\n  drain: \"2000ms\"\n";
	}

	~Vm()
	{
		signal_and_reap(SIGKILL);
	}

	void start()
	{
		pid = start_program({ "target/toucanreel-entry" },
				    dir + "/" + ip + ".log", settings());
	}

	void send(int signal_number) const
	{
		if (pid > 0)
			kill(pid, signal_number);
	}

	/* Whether the process has ended; reaps it. */
	bool has_ended()
	{
		if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
			pid = -1;
		return pid <= 0;
	}

	/* Asks the VM as the platform does. */
	bool is_ready() const
	{
		int fd = soak::dial({ ip, READY }, 1000);
		std::string rest, text;

		if (fd < 0)
			return false;
		if (soak::send_all(fd, "GET /v1/readiness HTTP/1.1\r\n"
				       "Host: x\r\n\r\n"))
			text = soak::read_message(fd, rest);
		close(fd);
		return text.rfind("HTTP/1.1 200", 0) == 0;
	}

	bool wait_until_ready() const
	{
		for (int i = 0; i < 100; i++, sleep_s(0.1))
			if (is_ready())
				return true;
		return false;
	}

	const std::string ip, centre;

      private:
	void signal_and_reap(int signal_number)
	{
		if (pid <= 0)
			return;
		kill(pid, signal_number);
		waitpid(pid, nullptr, 0);
		pid = -1;
	}

	std::string settings() const
	{
		return dir + "/" + ip + ".yaml";
	}

	std::string dir;
	pid_t pid = -1;
};

/* The head of a request; the body has len bytes. */
inline std::string request_head(const std::string &method,
				const std::string &path, const std::string &id,
				unsigned deadline_ms, size_t len)
{
	return method + " " + path +
	       " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
	       "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
	       (len ? "Content-Length: " + std::to_string(len) + "\r\n" : "") +
	       "\r\n";
}

/* Reads the head of a message; what was read after it stays in rest. */
inline std::string read_head(int fd, std::string &rest)
{
	char buf[4096];
	size_t end;

	while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return "";
		rest.append(buf, (size_t)n);
	}
	std::string head = rest.substr(0, end + 4);

	rest.erase(0, end + 4);
	return head;
}

/* Makes loopback connections hold no more bytes than those of an Ethernet
 * link: the usual segment size, and a small receive buffer. */
inline void set_small_buffers(int fd, int receive_bytes)
{
	int segment = 1460;

	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
}

} // namespace kit

#endif
