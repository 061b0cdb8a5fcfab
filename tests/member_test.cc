#include <gtest/gtest.h>

#include "fake.h"

static const apr_time_t settle = TR_SEC(20);

TEST(Member, SilentPeerIsMarkedDown)
{
	FakeCell cell;

	cell.run(settle);
	tr_peer *peer = tr_member_find(cell.vms[0]->svc, cell.fleet[3].id);
	ASSERT_NE(peer, nullptr);
	EXPECT_TRUE(peer->up);
	cell.paused[3] = true;
	cell.run(TR_PEER_TTL + TR_SEC(1));
	EXPECT_FALSE(peer->up);
	cell.wake(3);
	cell.run(TR_SEC(3));
	EXPECT_TRUE(peer->up);
}

/*
 * Guards against a VM that nobody hears but that goes on as if its votes
 * counted: all messages from VM 3 are lost, those to it arrive. Happens if
 * hearing others is taken for being heard.
 */
TEST(Member, OneWayLossIsDetectedByTheEcho)
{
	FakeCell cell;

	cell.run(settle);
	for (size_t to = 0; to < cell.vms.size(); to++)
		cell.cut[3][to] = true;
	cell.run(TR_PEER_TTL * 2);
	for (unsigned p = 0; p < cell.vms[3]->svc->peers_count; p++) {
		tr_peer *peer = &cell.vms[3]->svc->peers[p];

		EXPECT_TRUE(peer->up) << "it hears them";
		EXPECT_FALSE(tr_member_hears_us(peer, cell.clock.now))
			<< "they do not hear it";
	}
}

/*
 * Guards against evidence and votes that alternate between two processes of a
 * VM: the VM is replaced, and a datagram of its earlier process arrives late.
 * Happens if the boot id received last is believed.
 */
TEST(Member, LateDatagramOfAnEarlierProcessIsIgnored)
{
	FakeCell cell;
	tr_gossip late;

	cell.run(settle);
	tr_peer *to = tr_member_find(cell.vms[1]->svc, cell.fleet[0].id);
	tr_gossip_build(cell.vms[1]->board.get(), cell.vms[1]->svc, to,
			cell.vms[1]->sequence + 1000, &late);
	cell.vms[1].reset(new FakeVm(cell.clock, cell.fleet, 1, cell.doc,
				     cell.targets, 99));
	cell.run(TR_SEC(5));
	tr_peer *peer = tr_member_find(cell.vms[0]->svc, cell.fleet[1].id);
	ASSERT_EQ(peer->boot.id[0], 99);
	EXPECT_EQ(tr_gossip_receive(cell.vms[0]->board.get(), &late),
		  TR_STALE_DATAGRAM);
	EXPECT_EQ(peer->boot.id[0], 99);
}

/*
 * Guards against a VM that follows orders beyond their lease: a datagram for
 * one VM is copied to another, whose clock is behind, so that the echo looks
 * recent. Happens if an authentic message does not name its receiver.
 */
TEST(Member, MessageForAnotherVmIsRejected)
{
	FakeCell cell;
	tr_gossip msg;

	cell.run(settle);
	tr_peer *to = tr_member_find(cell.vms[1]->svc, cell.fleet[0].id);
	tr_gossip_build(cell.vms[1]->board.get(), cell.vms[1]->svc, to,
			++cell.vms[1]->sequence, &msg);
	EXPECT_EQ(tr_gossip_receive(cell.vms[2]->board.get(), &msg),
		  TR_NO_SERVICE);
	EXPECT_EQ(tr_gossip_receive(cell.vms[0]->board.get(), &msg), TR_OK);
	EXPECT_EQ(tr_gossip_receive(cell.vms[0]->board.get(), &msg),
		  TR_STALE_DATAGRAM)
		<< "the second copy is stale";
}

TEST(Member, LossOfADataCentreLeavesAnOwner)
{
	FakeCell cell;

	cell.run(settle);
	cell.paused[6] = true;
	cell.paused[7] = true;
	cell.run(settle * 2);
	unsigned owners = 0;

	for (size_t i = 0; i < 6; i++)
		owners += cell.vms[i]->svc->vote.owner;
	EXPECT_EQ(owners, 1u);
}

TEST(Member, GossipIsMoreFrequentWhileATargetIsSuspect)
{
	FakeCell cell;
	uint64_t before;

	cell.run(settle);
	before = cell.vms[0]->sequence;
	cell.run(TR_SEC(20));
	EXPECT_LE(cell.vms[0]->sequence - before, 7u * 11u);
	before = cell.vms[0]->sequence;
	cell.work(TR_SEC(1), [](size_t, unsigned i) { return i == 2; });
	EXPECT_GE(cell.vms[0]->sequence - before, 7u * 2u);
	cell.run(TR_SEC(5));
	before = cell.vms[0]->sequence;
	cell.run(TR_SEC(4));
	EXPECT_LE(cell.vms[0]->sequence - before, 7u * 3u)
		<< "idle again once the target is ejected";
}
