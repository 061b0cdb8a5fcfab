/* The state of the path to targets, and the choice of a VM to reach them
 * through. */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "clock.h"
#include "path.h"
#include "relay.h"
}

namespace
{

struct Path : testing::Test {
	tr_path p{};
	apr_time_t now = TR_SEC(100);
};

/* Guards against a lost packet that is taken for a cut. */
TEST_F(Path, OneDetourIsNoCut)
{
	EXPECT_FALSE(tr_path_detoured(&p));
	EXPECT_FALSE(tr_path_connected(&p, now));
	EXPECT_FALSE(tr_path_detoured(&p));
	EXPECT_FALSE(p.cut);
	EXPECT_TRUE(tr_path_detoured(&p));
	EXPECT_TRUE(p.cut);
}

/* Guards against a VM that stays on detours, or returns after one success. */
TEST_F(Path, IsWholeAfterTwoOwnConnectionsInARow)
{
	tr_path_detoured(&p);
	tr_path_detoured(&p);
	EXPECT_FALSE(tr_path_connected(&p, now));
	tr_path_detoured(&p);
	EXPECT_FALSE(tr_path_connected(&p, now));
	EXPECT_TRUE(p.cut);
	EXPECT_TRUE(tr_path_connected(&p, now));
	EXPECT_FALSE(p.cut);
	EXPECT_FALSE(tr_path_check_due(&p, now));
}

/* Guards against checks of a path on which answers come, because one target is
 * late, and against none where nothing comes. */
TEST_F(Path, IsCheckedWhenNothingIsHeardSinceALateRequestWasSent)
{
	tr_path_heard(&p, now);
	tr_path_suspect(&p, now - TR_MSEC(50));
	EXPECT_FALSE(tr_path_check_due(&p, now));
	tr_path_suspect(&p, now + TR_MSEC(50));
	EXPECT_TRUE(tr_path_check_due(&p, now + TR_MSEC(300)));
	p.checked_at = now;
	EXPECT_FALSE(tr_path_check_due(&p, now + TR_MSEC(300)));
	tr_path_heard(&p, now + TR_SEC(1));
	EXPECT_FALSE(tr_path_check_due(&p, now + TR_SEC(2)));
}

struct Relay : testing::Test {
	tr_membership m{};
	tr_relay_memory memory{};
	tr_random random{ 7 };
	uint32_t asked[TR_RELAY_MAX_ASKED]{};
	tr_relay_request req{};
	apr_time_t now = TR_SEC(100);

	void SetUp() override
	{
		tr_membership_init(&m, 1, 11, "dc-1");
		req.service = 3;
		req.target_data_centre = "dc-3";
		req.asked = asked;
		for (uint32_t ip = 10; ip < 14; ip++)
			hear(ip, "dc-1");
		for (uint32_t ip = 20; ip < 24; ip++)
			hear(ip, "dc-2");
		for (uint32_t ip = 30; ip < 34; ip++)
			hear(ip, "dc-3");
	}

	void TearDown() override
	{
		tr_membership_release(&m);
	}

	tr_node *hear(uint32_t ip, const char *centre, bool cut_off = false)
	{
		static uint64_t sequence;
		tr_node_status status{};
		bool restarted;

		status.ip = ip;
		status.boot = ip;
		status.sequence = ++sequence;
		status.data_centre = centre;
		status.ready = true;
		status.cut_off = cut_off;
		return tr_membership_receive(&m, &status, now, &restarted);
	}

	/* Asks one more VM. Returns its data centre, or "" if there is none. */
	std::string ask_next()
	{
		const tr_node *node =
			tr_relay_choose(&m, &memory, &req, &random, now);

		if (!node)
			return "";
		asked[req.asked_count++] = node->ip;
		return node->data_centre;
	}
};

/* Guards against asking only VMs that the same fault may have cut off. */
TEST_F(Relay, IsOfTheOwnDataCentreFirstAndThenOfTheTargets)
{
	EXPECT_EQ(ask_next(), "dc-1");
	EXPECT_EQ(ask_next(), "dc-3");
	EXPECT_EQ(ask_next(), "dc-1");
}

/* Guards against asking a VM twice, and against giving up before all are. */
TEST_F(Relay, EachVmIsAskedOnceBeforeThereIsNone)
{
	for (int i = 0; i < 12; i++)
		EXPECT_NE(ask_next(), "");
	EXPECT_EQ(ask_next(), "");
	for (unsigned i = 0; i < 12; i++)
		for (unsigned k = 0; k < i; k++)
			EXPECT_NE(asked[i], asked[k]);
}

/* Guards against sending requests through VMs that are cut off themselves. */
TEST_F(Relay, HasAPathItself)
{
	for (uint32_t ip = 10; ip < 14; ip++)
		hear(ip, "dc-1", true);
	for (int i = 0; i < 8; i++)
		EXPECT_NE(ask_next(), "dc-1");
	EXPECT_EQ(ask_next(), "");
}

/* Guards against asking VMs again that have just declined, while others have
 * not, and against asking nobody where all have. */
TEST_F(Relay, OneThatDeclinedComesLastForThatService)
{
	for (uint32_t ip = 10; ip < 14; ip++)
		tr_relay_declined(&memory, ip, req.service, now);
	EXPECT_EQ(ask_next(), "dc-3");
	req.asked_count = 0;
	req.service = 4;
	EXPECT_EQ(ask_next(), "dc-1");
	req.asked_count = 0;
	req.service = 3;
	now += TR_MSEC(1300);
	for (uint32_t ip = 10; ip < 14; ip++)
		hear(ip, "dc-1");
	EXPECT_EQ(ask_next(), "dc-1");
}

/* Guards against a VM that blames the targets because it has just started and
 * has heard of nobody, and against one that is alone and never does. */
TEST_F(Relay, AVmThatHasHeardNobodyIsAloneOnlyAfterAWhile)
{
	tr_membership alone{};

	tr_membership_init(&alone, 1, 11, "dc-1");
	EXPECT_TRUE(tr_relay_is_alone(&alone, 0, now));
	tr_membership_find_or_add(&alone, 2);
	EXPECT_FALSE(tr_relay_is_alone(&alone, TR_MSEC(50), now));
	EXPECT_TRUE(tr_relay_is_alone(&alone, TR_SEC(2), now));
	EXPECT_FALSE(tr_relay_is_alone(&m, TR_SEC(2), now));
	tr_membership_release(&alone);
}

/* Guards against loading one VM with all that the others can't send. */
TEST_F(Relay, TheLoadIsSpread)
{
	unsigned counts[4]{};

	for (int i = 0; i < 4000; i++) {
		req.asked_count = 0;
		ask_next();
		counts[asked[0] - 10]++;
	}
	for (unsigned count : counts)
		EXPECT_NEAR(count, 1000, 150);
}

} // namespace
