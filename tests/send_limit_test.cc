#include <algorithm>
#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "send_limit.h"
}

namespace
{

struct SendLimit : testing::Test {
	tr_send_limits limits{};
	uint32_t place = tr_send_limits_add(&limits, 7);
	apr_time_t now = TR_SEC(100);

	void TearDown() override
	{
		tr_send_limits_release(&limits);
	}

	tr_send_limit *row()
	{
		return &limits.rows[place];
	}

	tr_send_limit_change named(double rate, apr_time_t at)
	{
		return tr_send_limit_set(&limits, place, rate, at, now);
	}

	double tokens_in(apr_time_t after, double share = 1)
	{
		return tr_send_limit_tokens(row(), share, now + after);
	}
};

TEST_F(SendLimit, BeginsEmptyAndFillsByTheRate)
{
	EXPECT_EQ(named(2, now), TR_SEND_LIMIT_BEGAN);
	EXPECT_EQ(limits.active_count, 1u);
	EXPECT_DOUBLE_EQ(tokens_in(0), 0);
	EXPECT_DOUBLE_EQ(tokens_in(TR_MSEC(500)), 1);
	EXPECT_DOUBLE_EQ(tokens_in(TR_SEC(60)), 2);
}

TEST_F(SendLimit, WhatThisVmAndOthersSendIsTakenFromIt)
{
	named(2, now);
	now += TR_SEC(1);
	tr_send_limit_sent(row(), 1, now);
	EXPECT_DOUBLE_EQ(tokens_in(0), 1);
	tr_send_limit_reported(row(), 3, 1, now);
	EXPECT_DOUBLE_EQ(tokens_in(0), -2);
	EXPECT_DOUBLE_EQ(tokens_in(TR_MSEC(1500)), 1);
	EXPECT_EQ(row()->sent, 1);
	EXPECT_TRUE(row()->changed);
}

/* Guards against a VM that is told an old total and holds back for minutes. */
TEST_F(SendLimit, AnOldTotalIsNoDebtForLong)
{
	named(1, now);
	tr_send_limit_reported(row(), 60000, 1, now);
	EXPECT_GE(tokens_in(TR_SEC(7)), 1);
}

TEST_F(SendLimit, ASplitFleetHasItsPart)
{
	named(4, now);
	EXPECT_DOUBLE_EQ(tokens_in(TR_SEC(1), 0.25), 1);
}

/* Guards against a limit that lasts for ever, since nothing is sent. */
TEST_F(SendLimit, ATargetThatTakesNothingIsAskedNowAndThen)
{
	named(0, now);
	EXPECT_LT(tokens_in(TR_SEC(5)), 1);
	EXPECT_GE(tokens_in(TR_SEC(11)), 1);
}

TEST_F(SendLimit, TheNewestWordHolds)
{
	EXPECT_EQ(named(4, now), TR_SEND_LIMIT_BEGAN);
	EXPECT_EQ(named(1, now - TR_SEC(1)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(row()->rate, 4);
	EXPECT_EQ(named(2, now + TR_SEC(1)), TR_SEND_LIMIT_CHANGED);
	EXPECT_EQ(named(2.1, now + TR_SEC(2)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(row()->rate, 2.1);
	EXPECT_EQ(tr_send_limit_clear(&limits, place, now), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(tr_send_limit_clear(&limits, place, now + TR_SEC(3)),
		  TR_SEND_LIMIT_ENDED);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(named(2, now + TR_SEC(2)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(named(2, now + TR_SEC(4)), TR_SEND_LIMIT_BEGAN);
}

/* Guards against an answer that was overtaken by the one that named a limit. */
TEST_F(SendLimit, AnAnswerWithoutOneEndsItOnlyLater)
{
	named(1, now);
	EXPECT_EQ(tr_send_limit_absent(&limits, place, now + TR_MSEC(20)),
		  TR_SEND_LIMIT_SAME);
	EXPECT_EQ(tr_send_limit_absent(&limits, place, now + TR_SEC(2)),
		  TR_SEND_LIMIT_ENDED);
}

TEST_F(SendLimit, AForgottenLimitIsNoWordOfTheTarget)
{
	named(1, now);
	EXPECT_FALSE(tr_send_limit_is_stale(row(), now + TR_SEC(9)));
	EXPECT_TRUE(tr_send_limit_is_stale(row(), now + TR_SEC(11)));
	tr_send_limits_deactivate(&limits, place);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(named(1, now + TR_MSEC(1)), TR_SEND_LIMIT_BEGAN);
}

/* Guards against VMs that keep a limit young by telling each other of it, so
 * that no answer without one ends it. */
TEST_F(SendLimit, ALimitGrowsOldHoweverOftenItIsTold)
{
	const apr_time_t way = TR_MSEC(20), said = now;
	apr_time_t newest = now;

	named(1, now);
	while (now < said + TR_SEC(5)) {
		apr_time_t age = now - newest;

		now += way;
		newest = std::max(newest, tr_send_limit_report_time(age, now));
		named(1, newest);
	}
	EXPECT_EQ(newest, said);
	EXPECT_EQ(tr_send_limit_absent(&limits, place, now),
		  TR_SEND_LIMIT_ENDED);
}

TEST_F(SendLimit, APlaceIsUsedAgain)
{
	uint32_t other = tr_send_limits_add(&limits, 8);

	named(1, now);
	tr_send_limits_remove(&limits, place);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(tr_send_limits_add(&limits, 9), place);
	EXPECT_EQ(limits.rows[other].target, 8u);
}

} // namespace
