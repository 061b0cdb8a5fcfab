#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "gossip.h"
#include "pacer.h"
}

namespace
{

/*
 * Guards against a VM that serves three services under faults sending 8.6 KB a
 * second of control messages where 7 are allowed: targets of each service fail
 * in turn, and each raises the rate of its cell to two messages a second and
 * peer. Happens if nothing limits what all services of a VM send together.
 */
TEST(Pacer, NoMoreThanTheRateIsSentOverTime)
{
	tr_pacer pacer{};
	double sent = 0;

	for (apr_time_t now = TR_SEC(1); now < TR_SEC(61); now += TR_MSEC(20))
		if (tr_pacer_allows(&pacer, 6000, now)) {
			tr_pacer_consume(&pacer, 400);
			sent += 400;
		}
	EXPECT_GT(sent, 60 * 6000 * 0.98);
	EXPECT_LT(sent, 63 * 6000 * 1.02);
}

TEST(Pacer, OverdraftDelaysLaterMessages)
{
	tr_pacer pacer{};

	ASSERT_TRUE(tr_pacer_allows(&pacer, 1000, TR_SEC(1)));
	tr_pacer_consume(&pacer, 5000);
	EXPECT_FALSE(tr_pacer_allows(&pacer, 1000, TR_SEC(2)));
	EXPECT_TRUE(tr_pacer_allows(&pacer, 1000, TR_SEC(3) + TR_MSEC(100)));
}

/*
 * A peer that got nothing for the idle period is sent a message in any case:
 * its leases depend on it, and so does whether it counts this VM as up.
 */
TEST(Pacer, OverBudgetTheIdlePeriodApplies)
{
	tr_service svc{};
	tr_peer peer{};
	apr_time_t now = TR_SEC(100);

	svc.has_suspects = true;
	peer.last_sent_at = now - TR_MSEC(600);
	EXPECT_TRUE(tr_gossip_due(&svc, &peer, true, now));
	EXPECT_FALSE(tr_gossip_due(&svc, &peer, false, now));
	peer.last_sent_at = now - TR_GOSSIP_PERIOD_IDLE;
	EXPECT_TRUE(tr_gossip_due(&svc, &peer, false, now));
}

} // namespace
