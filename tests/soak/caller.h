#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <random>
#include <vector>

#include "ledger.h"
#include "vm.h"

namespace soak
{

struct Route {
	std::string name;
	std::string prefix;
	Kind kind;
};

/*
 * A client of the entry VMs: resolves VM addresses and caches them, reuses a
 * connection until it closes, and sends one request at a time.
 */
class Caller
{
      public:
	Caller(unsigned number_, const std::vector<std::string> &vms_,
	       const std::vector<Route> &routes_, Ledger &ledger_,
	       uint32_t seed)
	    : number(number_), vms(vms_), routes(routes_), ledger(ledger_),
	      random(seed)
	{
	}

	void run(const std::atomic<bool> &stopping);

	/* Sends a single request for the route to the front port of one VM.
	 * Returns the HTTP status, or 0 without a response. */
	static int send_single(const std::string &vm, const Route &route,
			       const std::string &id, Ledger &ledger);

      private:
	void look_up();
	bool connect();
	void one_request();
	unsigned random_below(unsigned n);

	unsigned number;
	const std::vector<std::string> &vms;
	const std::vector<Route> &routes;
	Ledger &ledger;
	std::mt19937 random;
	std::vector<std::string> resolved_vms;
	Time resolved_until{};
	int fd = -1;
	std::string rest;
	unsigned sent = 0;
};

} // namespace soak

#endif
