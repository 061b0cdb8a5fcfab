#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <random>
#include <vector>

#include "ledger.h"
#include "vm.h"

namespace soak
{

struct RouteUse {
	std::string name;
	std::string prefix;
	Kind kind;
};

/*
 * A caller: looks up addresses, keeps the answer, keeps connections until they
 * end, and sends one request after the other.
 */
class Caller
{
      public:
	Caller(unsigned number_, const std::vector<std::string> &vms_,
	       const std::vector<RouteUse> &routes_, Ledger &ledger_,
	       uint32_t seed)
	    : number(number_), vms(vms_), routes(routes_), ledger(ledger_),
	      random(seed)
	{
	}

	void run(const std::atomic<bool> &ending);

	/* Send one request on a route to one VM's front; its status, or 0. */
	static int ask(const std::string &vm, const RouteUse &route,
		       const std::string &id, Ledger &ledger);

      private:
	void look_up();
	bool connect();
	void one_request();
	unsigned below(unsigned n);

	unsigned number;
	const std::vector<std::string> &vms;
	const std::vector<RouteUse> &routes;
	Ledger &ledger;
	std::mt19937 random;
	std::vector<std::string> known;
	Time known_until{};
	int fd = -1;
	std::string rest;
	unsigned sent = 0;
};

} // namespace soak

#endif
