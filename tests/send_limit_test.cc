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
	uint32_t row_index = tr_send_limits_add(&limits, 7);
	apr_time_t now = TR_SEC(100);

	void TearDown() override
	{
		tr_send_limits_release(&limits);
	}

	tr_send_limit *row()
	{
		return &limits.rows[row_index];
	}

	tr_send_limit_change set_limit(double rate, apr_time_t at)
	{
		return tr_send_limit_set(&limits, row_index, rate, at, now);
	}

	double tokens_after(apr_time_t after, double share = 1)
	{
		return tr_send_limit_tokens(row(), share, now + after);
	}
};

TEST_F(SendLimit, StartsEmptyAndFillsAtTheRate)
{
	EXPECT_EQ(set_limit(2, now), TR_SEND_LIMIT_BEGAN);
	EXPECT_EQ(limits.active_count, 1u);
	EXPECT_DOUBLE_EQ(tokens_after(0), 0);
	EXPECT_DOUBLE_EQ(tokens_after(TR_MSEC(500)), 1);
	EXPECT_DOUBLE_EQ(tokens_after(TR_SEC(60)), 2);
}

/* Guards against a limit that is used up by what was never sent. */
TEST_F(SendLimit, ATokenThatIsGivenBackIsNeitherTakenNorReported)
{
	set_limit(2, now);
	now += TR_SEC(1);
	row()->changed = false;
	tr_send_limit_reserve(row(), 1, now);
	EXPECT_DOUBLE_EQ(tokens_after(0), 1);
	tr_send_limit_give_back(row());
	EXPECT_DOUBLE_EQ(tokens_after(0), 2);
	EXPECT_DOUBLE_EQ(tokens_after(TR_SEC(60)), 2);
	EXPECT_EQ(row()->sent, 0);
	EXPECT_FALSE(row()->changed);
}

TEST_F(SendLimit, RequestsOfThisVmAndOthersTakeTokens)
{
	set_limit(2, now);
	now += TR_SEC(1);
	tr_send_limit_reserve(row(), 1, now);
	tr_send_limit_sent(row());
	EXPECT_DOUBLE_EQ(tokens_after(0), 1);
	tr_send_limit_reported(row(), 3, 1, now);
	EXPECT_DOUBLE_EQ(tokens_after(0), -2);
	EXPECT_DOUBLE_EQ(tokens_after(TR_MSEC(1500)), 1);
	EXPECT_EQ(row()->sent, 1);
	EXPECT_TRUE(row()->changed);
}

/*
 * Guards against a VM that receives an old total and then sends nothing for
 * minutes.
 */
TEST_F(SendLimit, TheDebtOfAnOldTotalIsBounded)
{
	set_limit(1, now);
	tr_send_limit_reported(row(), 60000, 1, now);
	EXPECT_GE(tokens_after(TR_SEC(7)), 1);
}

TEST_F(SendLimit, ASplitFleetGetsItsShare)
{
	set_limit(4, now);
	EXPECT_DOUBLE_EQ(tokens_after(TR_SEC(1), 0.25), 1);
}

/*
 * Guards against a limit that lasts for ever, since without requests there are
 * no responses to lift it.
 */
TEST_F(SendLimit, ATargetWithLimitZeroIsProbed)
{
	set_limit(0, now);
	EXPECT_LT(tokens_after(TR_SEC(5)), 1);
	EXPECT_GE(tokens_after(TR_SEC(11)), 1);
}

TEST_F(SendLimit, TheNewestReportApplies)
{
	EXPECT_EQ(set_limit(4, now), TR_SEND_LIMIT_BEGAN);
	EXPECT_EQ(set_limit(1, now - TR_SEC(1)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(row()->rate, 4);
	EXPECT_EQ(set_limit(2, now + TR_SEC(1)), TR_SEND_LIMIT_CHANGED);
	EXPECT_EQ(set_limit(2.1, now + TR_SEC(2)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(row()->rate, 2.1);
	EXPECT_EQ(tr_send_limit_clear(&limits, row_index, now),
		  TR_SEND_LIMIT_SAME);
	EXPECT_EQ(tr_send_limit_clear(&limits, row_index, now + TR_SEC(3)),
		  TR_SEND_LIMIT_ENDED);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(set_limit(2, now + TR_SEC(2)), TR_SEND_LIMIT_SAME);
	EXPECT_EQ(set_limit(2, now + TR_SEC(4)), TR_SEND_LIMIT_BEGAN);
}

/*
 * Guards against a response without a limit that was sent before the one that
 * set it and arrives later.
 */
TEST_F(SendLimit, AResponseWithoutALimitClearsItOnlyLater)
{
	set_limit(1, now);
	EXPECT_EQ(tr_send_limit_absent(&limits, row_index, now + TR_MSEC(20)),
		  TR_SEND_LIMIT_SAME);
	EXPECT_EQ(tr_send_limit_absent(&limits, row_index, now + TR_SEC(2)),
		  TR_SEND_LIMIT_ENDED);
}

TEST_F(SendLimit, ADeactivatedLimitCanBeSetAgain)
{
	set_limit(1, now);
	EXPECT_FALSE(tr_send_limit_is_stale(row(), now + TR_SEC(9)));
	EXPECT_TRUE(tr_send_limit_is_stale(row(), now + TR_SEC(11)));
	tr_send_limits_deactivate(&limits, row_index);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(set_limit(1, now + TR_MSEC(1)), TR_SEND_LIMIT_BEGAN);
}

/*
 * Guards against VMs that keep a limit young by reporting it to each other, so
 * that no response without a limit clears it.
 */
TEST_F(SendLimit, ALimitAgesHoweverOftenItIsReported)
{
	const apr_time_t delay = TR_MSEC(20), set_at = now;
	apr_time_t newest = now;

	set_limit(1, now);
	while (now < set_at + TR_SEC(5)) {
		apr_time_t age = now - newest;

		now += delay;
		newest = std::max(newest, tr_send_limit_report_time(age, now));
		set_limit(1, newest);
	}
	EXPECT_EQ(newest, set_at);
	EXPECT_EQ(tr_send_limit_absent(&limits, row_index, now),
		  TR_SEND_LIMIT_ENDED);
}

TEST_F(SendLimit, ARowIsReused)
{
	uint32_t other = tr_send_limits_add(&limits, 8);

	set_limit(1, now);
	tr_send_limits_remove(&limits, row_index);
	EXPECT_EQ(limits.active_count, 0u);
	EXPECT_EQ(tr_send_limits_add(&limits, 9), row_index);
	EXPECT_EQ(limits.rows[other].target, 8u);
}

} // namespace
