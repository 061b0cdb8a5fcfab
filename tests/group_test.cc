#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "group.h"
#include "index.h"
}

namespace
{

const unsigned CENTRE_COUNT = 6;

std::string centre_of(uint32_t ip)
{
	return "dc-" + std::to_string(ip % CENTRE_COUNT);
}

/* One VM's view of a fleet of which it has heard from all VMs. */
struct View {
	tr_membership m{};
	apr_time_t now = TR_SEC(100);

	View(uint32_t me, unsigned fleet, bool one_centre = false)
	{
		auto centre = [&](uint32_t ip) {
			return one_centre ? "dc" : centre_of(ip);
		};

		tr_membership_init(&m, me, 1, centre(me).c_str());
		for (uint32_t ip = 1; ip <= fleet; ip++)
			if (ip != me)
				receive_from(ip, centre(ip));
		tr_groups_count_alive(&m, now);
	}

	~View()
	{
		tr_membership_release(&m);
	}

	void receive_from(uint32_t ip, const std::string &centre)
	{
		tr_node_status news{};
		bool restarted;

		news.ip = ip;
		news.boot = ip;
		news.sequence = 1;
		news.data_centre = centre.c_str();
		news.ready = true;
		tr_membership_receive(&m, &news, now, &restarted);
	}

	std::set<uint32_t> near() const
	{
		std::set<uint32_t> ips;

		for (unsigned i = 0; i < m.count; i++)
			if (m.nodes[i].near)
				ips.insert(m.nodes[i].ip);
		return ips;
	}

	/* Returns the name of the home group of a target, which is the same on
	 * all VMs. */
	uint64_t home(const std::string &centre, uint32_t target) const
	{
		return m.groups[tr_groups_home(&m, centre.c_str(), target)]
			.name;
	}
};

TEST(Group, ASmallFleetIsOneGroup)
{
	View view(1, 100);

	EXPECT_EQ(view.m.groups_count, 1u);
	EXPECT_EQ(view.m.near_count, 100u);
}

/*
 * Guards against news of a gray target that arrives the later the larger the
 * fleet is, after 0.44 s with 442 VMs. All VMs sent to all others, at the rate
 * at which a VM can receive, so that what it received grew with the fleet.
 */
TEST(Group, MessagesToAVmDoNotGrowWithTheFleet)
{
	for (unsigned fleet : { 120u, 442u }) {
		View view(7, fleet);

		EXPECT_EQ(view.m.groups_count % CENTRE_COUNT, 0u);
		EXPECT_LE(view.m.near_count, 60u);
		EXPECT_LE(tr_membership_period(&view.m, view.now),
			  TR_MSEC(1500));
	}
	View large(7, 3000);
	EXPECT_LE(large.m.near_count, 80u);
}

/* VMs with the same view agree on the members of a group. */
TEST(Group, VmsAgreeOnTheMembersOfAGroup)
{
	for (bool one_centre : { false, true }) {
		View view(1, 442, one_centre);

		for (uint32_t ip : view.near()) {
			View other(ip, 442, one_centre);

			EXPECT_EQ(other.near(), view.near());
		}
	}
}

/* Until a VM has heard of the others it uses the fleet size that they report.
 */
TEST(Group, TheReportedFleetSizeCounts)
{
	View view(1, 10);
	tr_node_status news{};
	bool restarted;

	news.ip = 2;
	news.boot = 2;
	news.sequence = 2;
	news.data_centre = "dc-2";
	news.fleet_size = 442;
	tr_membership_receive(&view.m, &news, view.now, &restarted);
	EXPECT_GT(view.m.groups_count, 1u);
	EXPECT_LT(view.m.near_count, 10u);
	news.sequence = 3;
	news.fleet_size = UINT32_MAX;
	tr_membership_receive(&view.m, &news, view.now, &restarted);
	EXPECT_EQ(tr_membership_size(&view.m), 442u);
}

/*
 * Guards against the targets of a data centre getting no requests when all of
 * its VMs are lost and no other group counts as their home.
 */
TEST(Group, TargetsOfALostGroupGetANewHome)
{
	std::map<uint64_t, unsigned> taken;
	View a(1, 442);
	View b(2, 442);

	for (View *v : { &a, &b }) {
		v->now += TR_SEC(30);
		for (uint32_t ip = 1; ip <= 442; ip++)
			if (ip != v->m.nodes[0].ip && centre_of(ip) != "dc-5")
				v->receive_from(ip, centre_of(ip));
		for (unsigned i = 1; i < v->m.count; i++)
			if (std::string(v->m.nodes[i].data_centre) != "dc-5")
				v->m.nodes[i].heard_at = v->now;
		EXPECT_TRUE(tr_groups_count_alive(&v->m, v->now));
	}
	for (uint32_t target = 1; target <= 200; target++) {
		EXPECT_EQ(a.home("dc-5", target), b.home("dc-5", target));
		taken[a.home("dc-5", target)]++;
		EXPECT_EQ(a.home("dc-2", target), b.home("dc-2", target));
	}
	EXPECT_EQ(taken.size(),
		  a.m.groups_count / CENTRE_COUNT * (CENTRE_COUNT - 1));
	for (const auto &[name, n] : taken)
		EXPECT_GT(n, 100 / taken.size() / 2);
}

/* A VM of another group counts as alive as long as its group reports it. */
TEST(Group, AVmOfAnotherGroupIsAliveWhileItsGroupReportsIt)
{
	View view(6, 442);
	tr_node_status news{};
	const tr_node *node;

	view.now += TR_SEC(10);
	news.ip = 7;
	news.data_centre = "dc-1";
	news.ready = true;
	tr_membership_receive_indirect(&view.m, &news, view.now);
	node = tr_membership_find_or_add(&view.m, 7);
	EXPECT_TRUE(tr_node_takes_callers(&view.m, node, view.now));
	view.now += TR_MSEC(1100);
	EXPECT_FALSE(tr_node_takes_callers(&view.m, node, view.now));
	EXPECT_TRUE(tr_node_alive(&view.m, node, view.now));
	view.now += TR_MSEC(1000);
	EXPECT_FALSE(tr_node_alive(&view.m, node, view.now));
}

/* Lost VMs of other groups are left to their groups; otherwise 442 VMs would
 * make as many calls per second for each lost one. */
TEST(Group, OnlyLostVmsOfTheGroupAreCalled)
{
	View view(6, 442);
	std::set<uint32_t> called;

	view.now += TR_SEC(60);
	while (tr_node *lost = tr_membership_next_lost(&view.m, view.now)) {
		lost->probed_at = view.now;
		called.insert(lost->ip);
	}
	std::set<uint32_t> others = view.near();
	others.erase(6);
	EXPECT_EQ(called, others);
}

TEST(Index, FindsAllRowsOfAKeyAndNoOthers)
{
	tr_index x{};
	uint32_t at;

	for (uint32_t i = 0; i < 3000; i++)
		tr_index_add(&x, i / 2, i);
	for (uint32_t i = 0; i < 3000; i += 3)
		tr_index_remove(&x, i / 2, i);
	for (uint32_t key = 0; key < 1500; key++) {
		std::set<uint32_t> found;
		std::set<uint32_t> wanted;

		for (uint32_t i = key * 2; i < key * 2 + 2; i++)
			if (i % 3)
				wanted.insert(i);
		for (uint32_t row = tr_index_first(&x, key, &at);
		     row != TR_NO_ROW; row = tr_index_next(&x, key, &at))
			found.insert(row);
		EXPECT_EQ(found, wanted);
	}
	EXPECT_EQ(tr_index_first(&x, 5000, &at), TR_NO_ROW);
	tr_index_release(&x);
}

/* Rows that are added and removed for days leave no unused slots behind. */
TEST(Index, CapacityFollowsTheNumberOfRows)
{
	tr_index x{};

	for (uint32_t i = 0; i < 100000; i++) {
		tr_index_add(&x, i, i);
		if (i >= 100)
			tr_index_remove(&x, i - 100, i - 100);
	}
	EXPECT_LE(x.capacity, 1024u);
	tr_index_release(&x);
}

} // namespace
