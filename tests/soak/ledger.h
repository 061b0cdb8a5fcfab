#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace soak
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline double seconds(Clock::duration d)
{
	return std::chrono::duration<double>(d).count();
}

enum class Kind { Safe, Unsafe };

/* How many arrivals beyond the first of their request a service may get in a
 * window: a part of its requests, and some beside. The VMs' settings say the
 * same. */
constexpr double REPEAT_RATIO = 0.2;
constexpr unsigned REPEAT_SLACK = 50;
constexpr auto REPEAT_WINDOW = std::chrono::seconds(10);

/* What a caller sent, and what it got. */
struct Sent {
	Kind kind = Kind::Safe;
	std::string route;
	std::string body;
	Time at;
};

/* One run of a request at a target. */
struct Run {
	std::string service;
	std::string instance;
	std::string stamp;
};

/*
 * What callers and targets saw, and every promise that does not hold by it.
 * Nothing here asks the system what it thinks.
 */
class Ledger
{
      public:
	/* A caller is about to send; to be said before the first byte. */
	void sending(const std::string &id, const Sent &sent);
	/* A request reaches a target, which may turn it away. */
	void arrives(const std::string &id, const std::string &service);
	/* A target begins to work on a request. */
	void runs(const std::string &id, const Run &run,
		  const std::string &body);
	/* A caller got a whole answer. */
	void answered(const std::string &id, int status,
		      const std::string &stamp, const std::string &body);
	/* An answer came that bears another id. */
	void foreign(const std::string &id, const std::string &got);
	/* From now on the configuration lets the route go to the service. */
	void allow(const std::string &route, const std::string &service);
	void broken(const std::string &what);

	/* Look for windows in which a service got more arrivals beyond the
	 * first of their request than operators allow. */
	void check_repeats();

	std::vector<std::string> failures();
	std::map<int, unsigned> statuses();
	/* Of what was sent after the time, how much was answered with success,
	 * from 0 to 1; -1 when nothing was. */
	double served_since(Time at);

      private:
	void fail(const std::string &what);

	struct Fate {
		Sent sent;
		/* Where it arrived first; empty until then. */
		std::string service;
		std::vector<Run> runs;
		int status = 0;
	};

	std::map<std::string, std::vector<Time>> requests_by_service();

	std::mutex mutex;
	std::map<std::string, Fate> fates;
	std::set<std::pair<std::string, std::string>> allowed;
	std::map<int, unsigned> counts;
	std::map<std::string, std::vector<Time>> repeats;
	std::vector<std::string> found;
};

/* The body that a target answers with: it names the request and the run. */
std::string body_for(const std::string &id, const std::string &stamp);

} // namespace soak

#endif
