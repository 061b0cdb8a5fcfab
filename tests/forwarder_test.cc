#include <gtest/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "clock.h"
#include "forwarder.h"
}

namespace
{

/* Six VMs in three data centres, as the first sees them. */
struct Forwarder : testing::Test {
	tr_membership m{};
	tr_random random{ 1 };
	apr_time_t now = TR_SEC(100);
	uint64_t sequence = 0;

	void SetUp() override
	{
		tr_membership_init(&m, 1, 1, "dc-1");
		for (int i = 0; i < 10; i++) {
			for (uint32_t ip = 2; ip <= 6; ip++)
				hear(ip);
			now += TR_MSEC(500);
		}
	}

	void TearDown() override
	{
		tr_membership_release(&m);
	}

	tr_node *hear(uint32_t ip, bool leaving = false)
	{
		tr_node_status status{};
		bool restarted;
		std::string centre = "dc-" + std::to_string(ip % 3);

		status.ip = ip;
		status.boot = 1;
		status.sequence = ++sequence;
		status.data_centre = centre.c_str();
		status.leaving = leaving;
		return tr_membership_receive(&m, &status, now, &restarted);
	}

	/* The VMs that are drawn in many messages. */
	std::set<uint32_t> drawn()
	{
		std::set<uint32_t> found;

		for (int i = 0; i < 100; i++) {
			const tr_node *nodes[TR_FORWARDERS_MAX];
			unsigned n =
				tr_forwarders_draw(&m, &random, nodes, now);

			for (unsigned k = 0; k < n; k++)
				found.insert(nodes[k]->ip);
		}
		return found;
	}
};

TEST_F(Forwarder, AllVmsOfOtherDataCentresTakeTurns)
{
	EXPECT_EQ(drawn(), (std::set<uint32_t>{ 2, 3, 5, 6 }));
}

/* Guards against messages to a data centre that are lost while a VM there that
 * has ended still counts as up. */
TEST_F(Forwarder, ASilentVmIsNotUsedWhileAnotherIsHeard)
{
	for (int i = 0; i < 2; i++) {
		for (uint32_t ip : { 2u, 3u, 4u })
			hear(ip);
		now += TR_MSEC(500);
	}
	ASSERT_TRUE(tr_node_alive(&m, tr_membership_find_or_add(&m, 5), now));
	EXPECT_EQ(drawn(), (std::set<uint32_t>{ 2, 3 }));
}

/* Guards against the same where the VM has said that it leaves. */
TEST_F(Forwarder, ALeavingVmIsNotUsedWhileAnotherIsThere)
{
	hear(5, true);
	EXPECT_EQ(drawn(), (std::set<uint32_t>{ 2, 3, 6 }));
}

/* Guards against a data centre that gets no messages as all VMs there are
 * silent for longer than usual, or leaving. */
TEST_F(Forwarder, WhereAllAreSilentOrLeavingOneIsUsed)
{
	for (uint32_t ip : { 2u, 5u })
		hear(ip, true);
	now += TR_MSEC(1200);
	EXPECT_EQ(drawn(), (std::set<uint32_t>{ 2, 3, 5, 6 }));
}

} // namespace
