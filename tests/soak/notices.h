#ifndef SOAK_NOTICES_H
#define SOAK_NOTICES_H

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "ledger.h"

namespace soak
{

/* What a target says of itself in its answers. */
enum class Says { Nothing, Limit, Leaving, Rest };

constexpr double LIMIT = 2;
constexpr int REST_S = 2;

/*
 * What one target has told which VM, and whether that is kept: a limit over all
 * VMs that were told, no request after a VM was told that the target leaves,
 * and two at most in a rest. excused tells whether a VM, or its way here, was
 * disturbed since a time, so that it may not have heard.
 */
class Notices
{
      public:
	using Excused = std::function<bool(const std::string &vm, Time since)>;

	Notices(Ledger &l, std::string id_, Excused e)
	    : ledger(l), id(std::move(id_)), excused(std::move(e))
	{
	}

	/* A request has arrived from the VM. */
	void arrived(const std::string &vm)
	{
		std::lock_guard<std::mutex> lock(mutex);
		Time now = Clock::now();
		Told &t = told[vm];

		if (is_after(t.leaving, now, DRAIN_S) &&
		    !excused(vm, t.leaving))
			broken(vm, "sent on after it was told that it leaves");
		if (is_after(t.rest, now, HEARD_S) &&
		    !is_after(t.rest, now, REST_S) && !excused(vm, t.rest) &&
		    ++t.in_rest > IN_REST_MOST)
			broken(vm, "did not keep a rest");
		if (is_after(t.limit, now, HEARD_S) && !excused(vm, t.limit))
			count(now);
	}

	/* The VM is answered so. */
	void answered(const std::string &vm, Says says)
	{
		std::lock_guard<std::mutex> lock(mutex);
		Time now = Clock::now();
		Told &t = told[vm];

		if (says == Says::Leaving && t.leaving == Time{})
			t.leaving = now;
		if (says == Says::Rest) {
			t.rest = now;
			t.in_rest = 0;
		}
		if (says != Says::Limit) {
			forget_limits();
			return;
		}
		if (named == Time{})
			named = now;
		if (t.limit == Time{})
			t.limit = now;
	}

      private:
	struct Told {
		Time leaving{}, rest{}, limit{};
		unsigned in_rest = 0;
	};

	static constexpr double HEARD_S = 0.5, DRAIN_S = 2, STABLE_S = 3,
				WINDOW_S = 4;
	static constexpr unsigned IN_REST_MOST = 2;

	static bool is_after(Time at, Time now, double s)
	{
		return at != Time{} && seconds(now - at) > s;
	}

	void forget_limits()
	{
		named = Time{};
		limited.clear();
		for (auto &[vm, t] : told)
			t.limit = Time{};
	}

	void count(Time now)
	{
		if (!is_after(named, now, STABLE_S))
			return;
		limited.push_back(now);
		while (seconds(now - limited.front()) > WINDOW_S)
			limited.pop_front();
		if ((double)limited.size() > 1.5 * LIMIT * WINDOW_S + 5)
			broken("VMs", "sent more than its limit");
	}

	void broken(const std::string &vm, const std::string &what)
	{
		ledger.broken(id + ": " + vm + " " + what);
	}

	Ledger &ledger;
	const std::string id;
	const Excused excused;
	std::mutex mutex;
	std::map<std::string, Told> told;
	Time named{};
	std::deque<Time> limited;
};

} // namespace soak

#endif
