/*
 * The fleet's bound on repeats under load, played with a virtual clock: targets
 * turn requests away, VMs send them once more, and hear of each other's repeats
 * only some messages later.
 */
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "allowance.h"
#include "clock.h"
#include "hash.h"
}

namespace
{

const apr_time_t STEP = TR_MSEC(5);
const apr_time_t TELL_EVERY = TR_MSEC(40);
const apr_time_t NEWS_TAKE = TR_MSEC(100);
const unsigned TRIES_MOST = 8;

struct Vm {
	tr_allowance allowance{};
	tr_work_totals told{};
};

struct Message {
	apr_time_t arrives;
	unsigned from;
	tr_work_totals before;
	tr_work_totals told;
};

struct Refused {
	apr_time_t at;
	unsigned vm;
	unsigned tries;
};

struct Fleet {
	tr_repeat_bound bound;
	tr_random random;
	std::vector<Vm> vms;
	std::deque<Message> messages;
	std::vector<Refused> refused;
	std::vector<apr_time_t> requests;
	std::vector<apr_time_t> repeats;
	apr_time_t now = TR_SEC(100);
	double refusing = 0;

	Fleet(unsigned n, double slack, uint64_t seed)
	    : bound{ 0.2, slack, TR_SEC(10) }, random{ seed }, vms(n)
	{
	}

	void send(unsigned vm, unsigned tries)
	{
		if (tr_random_unit(&random) >= refusing)
			return;
		/* A target answers at once, or when the request's turn comes.
		 */
		refused.push_back(
			{ now + TR_MSEC(5) +
				  tr_random_below(&random,
						  (uint32_t)TR_MSEC(150)),
			  vm, tries });
	}

	void repeat()
	{
		std::vector<Refused> due;

		for (size_t i = 0; i < refused.size();) {
			if (refused[i].at > now) {
				i++;
				continue;
			}
			due.push_back(refused[i]);
			refused[i] = refused.back();
			refused.pop_back();
		}
		for (const Refused &r : due) {
			if (r.tries >= TRIES_MOST ||
			    !tr_allowance_spend(&vms[r.vm].allowance, &bound, 1,
						now))
				continue;
			repeats.push_back(now);
			send(r.vm, r.tries + 1);
		}
	}

	void tell()
	{
		while (!messages.empty() && messages.front().arrives <= now) {
			const Message m = messages.front();

			messages.pop_front();
			for (unsigned i = 0; i < vms.size(); i++)
				if (i != m.from)
					tr_allowance_heard(&vms[i].allowance,
							   &bound, &m.before,
							   &m.told, now);
		}
		for (unsigned i = 0; i < vms.size(); i++) {
			Vm &vm = vms[i];

			if ((now / STEP + i) % (TELL_EVERY / STEP))
				continue;
			messages.push_back({ now + NEWS_TAKE, i, vm.told,
					     vm.allowance.own });
			vm.told = vm.allowance.own;
		}
	}

	void play(apr_time_t length, double a_second)
	{
		apr_time_t end = now + length;
		double due = 0;

		while (now < end) {
			now += STEP;
			tell();
			repeat();
			due += a_second * (double)STEP / 1e6;
			for (; due >= 1; due--) {
				unsigned vm = tr_random_below(
					&random, (uint32_t)vms.size());

				requests.push_back(now);
				tr_allowance_request(&vms[vm].allowance, &bound,
						     now);
				send(vm, 1);
			}
		}
	}

	static double in(const std::vector<apr_time_t> &times, apr_time_t from,
			 apr_time_t length)
	{
		return (double)(std::lower_bound(times.begin(), times.end(),
						 from + length) -
				std::lower_bound(times.begin(), times.end(),
						 from));
	}

	/* The most that any window has, as a part of what operators allow it.
	 */
	double most_used() const
	{
		const apr_time_t w = bound.window;
		double most = 0;

		for (apr_time_t at = TR_SEC(100); at + w <= now;
		     at += TR_MSEC(50)) {
			double base = std::max({ in(requests, at, w),
						 in(requests, at - w / 2, w),
						 in(requests, at - w, w) });

			most = std::max(most, in(repeats, at, w) /
						      (bound.ratio * base +
						       bound.slack));
		}
		return most;
	}
};

/* Guards against repeats that outrun the news of them when most targets turn
 * requests away at once. */
TEST(AllowanceLoad, TheBoundHoldsWhenAllTargetsRefuseAtOnce)
{
	for (double refusing : { 0.55, 0.95 }) {
		for (unsigned seed = 1; seed <= 4; seed++) {
			Fleet fleet(100, 174, seed * 7919);

			fleet.play(TR_SEC(8), 1000);
			fleet.refusing = refusing;
			fleet.play(TR_SEC(14), 1000);
			EXPECT_LE(fleet.most_used(), 1.0)
				<< refusing << " seed " << seed;
		}
	}
}

/* Guards against a bound that is mostly left unused while callers are refused.
 */
TEST(AllowanceLoad, MostOfTheBoundIsUsed)
{
	Fleet large(100, 174, 7919);
	Fleet small(44, 62, 7919);

	large.refusing = small.refusing = 0.55;
	large.play(TR_SEC(30), 1000);
	small.play(TR_SEC(30), 75);
	EXPECT_GE(large.most_used(), 0.85);
	EXPECT_GE(small.most_used(), 0.85);
}

} // namespace
