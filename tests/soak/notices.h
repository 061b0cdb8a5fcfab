#ifndef SOAK_NOTICES_H
#define SOAK_NOTICES_H

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "ledger.h"

namespace soak
{

/* Notice that a target sends about itself in its responses. */
enum class Notice { None, Limit, Leaving, RetryAfter };

constexpr double LIMIT = 2;
constexpr int RETRY_AFTER_S = 2;

/*
 * Records which notices one target sent to which VM, and checks that the VMs
 * honour them: the limit holds over all VMs that received it, no request
 * arrives from a VM after a leaving notice, and at most MAX_DURING_RETRY_AFTER
 * arrive within a Retry-After. may_have_missed tells whether the VM, or its
 * link to the target, was disturbed since a time, so that the notice may have
 * been lost.
 */
class NoticeChecker
{
      public:
	using MayHaveMissed =
		std::function<bool(const std::string &vm, Time since)>;

	NoticeChecker(Ledger &l, std::string id_, MayHaveMissed e)
	    : ledger(l), id(std::move(id_)), may_have_missed(std::move(e))
	{
	}

	/* A request has arrived from the VM. */
	void record_request(const std::string &vm)
	{
		std::lock_guard<std::mutex> lock(mutex);
		Time now = Clock::now();
		VmState &t = vm_states[vm];

		if (elapsed(t.leaving_since, now, DRAIN_S) &&
		    !may_have_missed(vm, t.leaving_since))
			report_violation(
				vm, "sent a request after the leaving notice");
		if (elapsed(t.retry_after_since, now, NOTICE_DELAY_S) &&
		    !elapsed(t.retry_after_since, now, RETRY_AFTER_S) &&
		    !may_have_missed(vm, t.retry_after_since) &&
		    ++t.requests_after_notice > MAX_DURING_RETRY_AFTER)
			report_violation(
				vm, "sent requests within the Retry-After");
		if (elapsed(t.limit_since, now, NOTICE_DELAY_S) &&
		    !may_have_missed(vm, t.limit_since))
			check_limit(now);
	}

	/* A response with this notice is sent to the VM. */
	void record_response(const std::string &vm, Notice notice)
	{
		std::lock_guard<std::mutex> lock(mutex);
		Time now = Clock::now();
		VmState &t = vm_states[vm];

		if (notice == Notice::Leaving && t.leaving_since == Time{})
			t.leaving_since = now;
		if (notice == Notice::RetryAfter) {
			t.retry_after_since = now;
			t.requests_after_notice = 0;
		}
		if (notice != Notice::Limit) {
			clear_limits();
			return;
		}
		if (limited_since == Time{})
			limited_since = now;
		if (t.limit_since == Time{})
			t.limit_since = now;
	}

      private:
	struct VmState {
		Time leaving_since{}, retry_after_since{}, limit_since{};
		unsigned requests_after_notice = 0;
	};

	static constexpr double NOTICE_DELAY_S = 0.5, DRAIN_S = 2, STABLE_S = 3,
				LIMIT_WINDOW_S = 4;
	static constexpr unsigned MAX_DURING_RETRY_AFTER = 2;

	static bool elapsed(Time at, Time now, double s)
	{
		return at != Time{} && seconds(now - at) > s;
	}

	void clear_limits()
	{
		limited_since = Time{};
		counted_requests.clear();
		for (auto &[vm, t] : vm_states)
			t.limit_since = Time{};
	}

	void check_limit(Time now)
	{
		if (!elapsed(limited_since, now, STABLE_S))
			return;
		counted_requests.push_back(now);
		while (seconds(now - counted_requests.front()) > LIMIT_WINDOW_S)
			counted_requests.pop_front();
		if ((double)counted_requests.size() >
		    1.5 * LIMIT * LIMIT_WINDOW_S + 5)
			report_violation("VMs", "exceeded the limit together");
	}

	void report_violation(const std::string &vm, const std::string &what)
	{
		ledger.report_violation(id + ": " + vm + " " + what);
	}

	Ledger &ledger;
	const std::string id;
	const MayHaveMissed may_have_missed;
	std::mutex mutex;
	std::map<std::string, VmState> vm_states;
	Time limited_since{};
	std::deque<Time> counted_requests;
};

} // namespace soak

#endif
