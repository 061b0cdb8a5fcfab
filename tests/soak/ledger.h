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

/* Upper bound on repeated arrivals (any arrival of a request after its
 * first) at a service within a window: REPEAT_RATIO of the requests sent to
 * it plus REPEAT_SLACK. The VMs' settings use the same values. */
constexpr double REPEAT_RATIO = 0.2;
constexpr unsigned REPEAT_SLACK = 50;
constexpr auto REPEAT_WINDOW = std::chrono::seconds(10);

/* A request as the caller sent it. */
struct Sent {
	Kind kind = Kind::Safe;
	std::string route;
	std::string body;
	Time at;
};

/* One execution of a request by a target. */
struct Run {
	std::string service;
	std::string instance;
	std::string stamp;
};

/*
 * Records what callers and targets observe and checks the guarantees against
 * it. The state reported by the entry daemon is never consulted.
 */
class Ledger
{
      public:
	/* A caller is about to send the request; call before the first byte
	 * is sent. */
	void record_sent(const std::string &id, const Sent &sent);
	/* A request has arrived at a target, which may still reject it. */
	void record_arrival(const std::string &id, const std::string &service);
	/* A target starts to execute a request. */
	void record_run(const std::string &id, const Run &run,
			const std::string &body);
	/* A caller received a complete response. */
	void record_response(const std::string &id, int status,
			     const std::string &stamp, const std::string &body);
	/* A caller received a response with the request id of another
	 * request. */
	void record_mismatch(const std::string &id, const std::string &got);
	/* From now on the configuration may route to the service. */
	void allow_route(const std::string &route, const std::string &service);
	void report_violation(const std::string &message);

	/* Checks that the repeated arrivals at each service stayed within
	 * the bound in every window. */
	void check_repeats();

	std::vector<std::string> violations();
	std::map<int, unsigned> statuses();
	/* Share of the requests sent since the time that got a 2xx
	 * response, from 0 to 1; -1 when none was sent. */
	double success_share_since(Time at);

      private:
	void add_violation(const std::string &message);

	struct RequestRecord {
		Sent sent;
		/* Service of the first arrival; empty before it. */
		std::string service;
		std::vector<Run> runs;
		int status = 0;
	};

	std::map<std::string, std::vector<Time>> requests_by_service();

	std::mutex mutex;
	std::map<std::string, RequestRecord> requests_by_id;
	std::set<std::pair<std::string, std::string>> allowed;
	std::map<int, unsigned> status_counts;
	std::map<std::string, std::vector<Time>> repeats;
	std::vector<std::string> recorded_violations;
};

/* Response body of a target; contains the request id and the stamp of the
 * execution. */
std::string response_body(const std::string &id, const std::string &stamp);

} // namespace soak

#endif
