/*
 * Which VM sends the floor's request, where not all VMs get as many requests as
 * the others think, or the rate is not what it is held to be.
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

	/* Does this request go to the idle one of three targets? */
	bool asks(uint32_t hash, apr_time_t idle,
		  const tr_floor_rotation &turns, double rate)
	{
		const apr_time_t now = TR_SEC(100);
		const tr_floor_load work = { 1000, 0, rate };
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
		return tr_floor_check_pick(&check, 0.7, &work,
					   tr_random_unit(&random)) == 2;
	}

	/*
	 * How many of a thousand idle targets get nothing within 1.98 s, where
	 * so many requests a second come evenly to the first VMs of all, which
	 * hold that so many come.
	 */
	unsigned missed(unsigned vms, unsigned with_callers, double rate,
			double held)
	{
		unsigned n = 0;

		for (uint32_t i = 0; i < TARGETS; i++) {
			bool asked = false;
			double at = 0;

			while (!asked) {
				at -= std::log(1 - tr_random_unit(&random)) /
				      rate;
				if (at >= 1.98)
					break;
				const tr_floor_rotation turns = {
					tr_random_below(&random, with_callers),
					vms
				};

				asked = asks(i * 7919 + 1,
					     (apr_time_t)(at * 1e6), turns,
					     held);
			}
			n += !asked;
		}
		return n;
	}

	/* What VMs take the rate for, seconds after it went from one to the
	 * other. */
	double held_after(double before, double rate, apr_time_t after)
	{
		const tr_repeat_bound bound = { 0.2, 62, TR_SEC(10), 1, 1 };
		const apr_time_t turn = TR_SEC(100);
		tr_allowance a{};
		double due = 0;

		for (apr_time_t at = turn - TR_SEC(20); at < turn + after;
		     at += TR_MSEC(1)) {
			due += (at < turn ? before : rate) / 1000;
			for (; due >= 1; due--)
				tr_allowance_request(&a, &bound, at);
		}
		return tr_allowance_rate(&a, &bound, turn + after);
	}
};

/* Guards against idle targets that nobody asks in time, where all is even. */
TEST_F(Turns, EvenVmsAskInTime)
{
	EXPECT_LE(missed(30, 30, 80, 80), TARGETS / 50);
	EXPECT_LE(missed(30, 30, 8, 8), TARGETS / 50);
	EXPECT_LE(missed(100, 100, 2000, 2000), TARGETS / 50);
}

/* Guards against sound targets that are idle since the VMs whose turn it is get
 * no callers, while another VM gets 80 requests a second. */
TEST_F(Turns, AVmThatAloneGetsCallersAsksInTime)
{
	EXPECT_LE(missed(30, 1, 80, 80), TARGETS * 3 / 10);
}

/* Guards against the same where callers keep their connections to a few VMs. */
TEST_F(Turns, AFewVmsWithCallersAskInTime)
{
	EXPECT_LE(missed(30, 8, 320, 320), TARGETS * 3 / 10);
}

/* Guards against idle targets that wait for a VM that has just ended, of which
 * the other one doesn't know yet. */
TEST_F(Turns, OneOfTwoVmsAsksInTimeWhenTheOtherHasJustEnded)
{
	EXPECT_LE(missed(2, 1, 100, 100), TARGETS / 10);
}

/* Guards against turns of too few VMs for ten seconds after fewer requests
 * come, since the rate is that of the window. */
TEST_F(Turns, VmsAskInTimeAfterTheRateHasFallen)
{
	double held = held_after(800, 80, TR_SEC(3));

	EXPECT_LE(missed(100, 100, 80, held), TARGETS * 3 / 10) << held;
}

/* Guards against turns of too few VMs, since the rate lately counts up to a
 * second's requests for half a second's. */
TEST_F(Turns, VmsAskInTimeByTheRateThatTheyHoldToCome)
{
	double held = held_after(80, 80, TR_MSEC(490));

	EXPECT_LE(missed(30, 30, 80, held), TARGETS / 50) << held;
}

} // namespace
