#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "stop.h"
}

namespace
{

constexpr apr_time_t SIGNAL = TR_SEC(1000);

struct Stop : testing::Test {
	/* The VM gives up what is unfinished at 9.2 s. */
	tr_stop stop = { SIGNAL, TR_SEC(10) };

	bool may_send(apr_time_t at, apr_time_t deadline,
		      apr_time_t expected = TR_MSEC(100), double spread = 0.3)
	{
		const tr_stop_request req = { SIGNAL + deadline, expected,
					      spread };

		return tr_stop_may_send(&stop, &req, SIGNAL + at);
	}
};

TEST_F(Stop, PhasesFollowEachOther)
{
	tr_stop none{};

	EXPECT_EQ(tr_stop_phase(&none, SIGNAL), TR_STOP_NONE);
	EXPECT_EQ(tr_stop_phase(&stop, SIGNAL), TR_STOP_BEGUN);
	EXPECT_EQ(tr_stop_phase(&stop, SIGNAL + TR_MSEC(2001)),
		  TR_STOP_NO_IDLE);
	EXPECT_EQ(tr_stop_phase(&stop, SIGNAL + TR_MSEC(4501)),
		  TR_STOP_REFUSES);
	EXPECT_EQ(tr_stop_phase(&stop, SIGNAL + TR_MSEC(9201)), TR_STOP_OVER);
}

/* Guards against refusing requests of a VM that goes on. */
TEST_F(Stop, AVmThatIsNotStoppedSendsAll)
{
	stop.since = 0;
	EXPECT_TRUE(may_send(0, TR_SEC(500)));
	EXPECT_TRUE(may_send(TR_SEC(9), TR_SEC(500), TR_SEC(100)));
}

/* Guards against refusing callers who still come, before they know of other
 * VMs. */
TEST_F(Stop, UsualRequestsAreSentWhileConnectionsAreAccepted)
{
	for (int ms = 0; ms <= 4500; ms += 100)
		EXPECT_TRUE(may_send(TR_MSEC(ms), TR_SEC(20))) << ms;
}

/* Guards against requests that are given up while their target is at work. */
TEST_F(Stop, WorkThatMayTakeLongerThanTheStopIsNotBegun)
{
	EXPECT_TRUE(may_send(0, TR_SEC(20), TR_SEC(4)));
	EXPECT_FALSE(may_send(TR_SEC(4), TR_SEC(20), TR_SEC(4)));
	EXPECT_FALSE(may_send(0, TR_SEC(20), TR_SEC(4), 1.0));
	EXPECT_FALSE(may_send(0, TR_SEC(20), TR_SEC(9)));
}

/* Guards against the same late in the stop, where a longer wait can't be told
 * from the usual time. */
TEST_F(Stop, LateInTheStopOnlyWhatEndsInAnyCaseIsSent)
{
	for (int ms = 4600; ms < 9200; ms += 100) {
		EXPECT_FALSE(may_send(TR_MSEC(ms), TR_MSEC(9300))) << ms;
		EXPECT_TRUE(may_send(TR_MSEC(ms), TR_MSEC(9100))) << ms;
	}
}

} // namespace
