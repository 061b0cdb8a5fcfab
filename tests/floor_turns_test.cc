/*
 * Which VM sends the floor's request if some VMs get more requests than others,
 * or if the request rate is not what VMs take it for.
 */
#include <cmath>
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "allowance.h"
#include "clock.h"
#include "floor.h"
#include "hash.h"
}

namespace
{

struct Turns : testing::Test {
	static const unsigned TARGETS = 1000;
	tr_random random{ 7 };

	/* Tells whether this request goes to the one of three targets that is
	 * idle. */
	bool sends_request(uint32_t hash, apr_time_t idle,
			   const tr_floor_rotation &turns, double rate)
	{
		const apr_time_t now = TR_SEC(100);
		const tr_floor_load load = { 1000, 0, rate };
		tr_floor_check check;
		tr_instance row{};

		tr_floor_check_init(&check, false);
		tr_floor_check_set_rotation(&check, &turns);
		row.used = true;
		row.in_flight = 1;
		row.used_at = now;
		tr_floor_check_add(&check, &row, 0, 0.05, true, now);
		tr_floor_check_add(&check, &row, 1, 0.05, true, now);
		row.in_flight = 0;
		row.hash = hash;
		row.used_at = now - idle;
		tr_floor_check_add(&check, &row, 2, 0.05, true, now);
		return tr_floor_check_pick(&check, 0.7, &load,
					   tr_random_unit(&random)) == 2;
	}

	/*
	 * Returns how many of a thousand idle targets get no request within
	 * 1.98 s. Requests come at a rate per second, spread evenly over the
	 * first with_callers VMs; assumed is the rate that the VMs go by.
	 */
	unsigned missed(unsigned vms, unsigned with_callers, double rate,
			double assumed)
	{
		unsigned n = 0;

		for (uint32_t i = 0; i < TARGETS; i++) {
			bool sent = false;
			double at = 0;

			while (!sent) {
				at -= std::log(1 - tr_random_unit(&random)) /
				      rate;
				if (at >= 1.98)
					break;
				const tr_floor_rotation turns = {
					tr_random_below(&random, with_callers),
					vms
				};

				sent = sends_request(i * 7919 + 1,
						     (apr_time_t)(at * 1e6),
						     turns, assumed);
			}
			n += !sent;
		}
		return n;
	}

	/* Returns the rate that VMs estimate some time after it changed from
	 * before to rate. */
	double estimated_rate(double before, double rate, apr_time_t after)
	{
		const tr_repeat_bound bound = { 0.2, 62, TR_SEC(10), 1, 1 };
		const apr_time_t changed_at = TR_SEC(100);
		tr_allowance a{};
		double credit = 0;

		for (apr_time_t at = changed_at - TR_SEC(20);
		     at < changed_at + after; at += TR_MSEC(1)) {
			credit += (at < changed_at ? before : rate) / 1000;
			for (; credit >= 1; credit--)
				tr_allowance_request(&a, &bound, at);
		}
		return tr_allowance_rate(&a, &bound, changed_at + after);
	}
};

/* Guards against idle targets that no VM sends a request to in time, where all
 * VMs get equally many. */
TEST_F(Turns, VmsWithEqualLoadAskInTime)
{
	EXPECT_LE(missed(30, 30, 80, 80), TARGETS / 50);
	EXPECT_LE(missed(30, 30, 8, 8), TARGETS / 50);
	EXPECT_LE(missed(100, 100, 2000, 2000), TARGETS / 50);
}

/* Guards against healthy targets that stay idle because the VMs whose turn it
 * is get no callers, while another VM gets 80 requests per second. */
TEST_F(Turns, AVmThatAloneGetsCallersAsksInTime)
{
	EXPECT_LE(missed(30, 1, 80, 80), TARGETS * 3 / 10);
}

/* Guards against the same where callers keep their connections to a few VMs. */
TEST_F(Turns, AFewVmsWithCallersAskInTime)
{
	EXPECT_LE(missed(30, 8, 320, 320), TARGETS * 3 / 10);
}

/* Guards against idle targets that are left to a VM that has just ended, which
 * the other VM doesn't know yet. */
TEST_F(Turns, OneOfTwoVmsAsksInTimeWhenTheOtherHasJustEnded)
{
	EXPECT_LE(missed(2, 1, 100, 100), TARGETS / 10);
}

/* Guards against turns of too few VMs for ten seconds after the rate has
 * fallen, since it is averaged over that window. */
TEST_F(Turns, VmsAskInTimeAfterTheRateHasFallen)
{
	double assumed = estimated_rate(800, 80, TR_SEC(3));

	EXPECT_LE(missed(100, 100, 80, assumed), TARGETS * 3 / 10) << assumed;
}

/* Guards against turns of too few VMs, since the recent rate may count up to a
 * second's requests as half a second's. */
TEST_F(Turns, VmsAskInTimeByTheEstimatedRate)
{
	double assumed = estimated_rate(80, 80, TR_MSEC(490));

	EXPECT_LE(missed(30, 30, 80, assumed), TARGETS / 50) << assumed;
}

} // namespace
