#include <gtest/gtest.h>

#include "fake.h"

static const apr_time_t settle = TR_VOTE_TTL + TR_ORDER_TTL + TR_SEC(3);

TEST(Permit, OneOwnerHasThreeQuartersOfTheVotes)
{
	FakeCell cell;

	cell.run(settle);
	ASSERT_EQ(cell.owners(), 1u);
	EXPECT_GE(cell.vms[cell.owner()]->svc->vote.votes, 6u);
}

TEST(Permit, SickTargetIsEjectedOnEveryVm)
{
	FakeCell cell;

	cell.run(settle);
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i == 3; });
	EXPECT_TRUE(cell.out_everywhere(3));
	EXPECT_EQ(cell.out_anywhere(), 1u);
}

/*
 * Guards against fewer targets in use than the floor: four of ten targets
 * become sick together while the floor is eight. Happens if each VM ejects what
 * it sees as sick without counting.
 */
TEST(Floor, HoldsWhenMoreTargetsAreSickThanMayGo)
{
	FakeCell cell(10, 8);

	cell.run(settle);
	for (int s = 0; s < 100; s++) {
		cell.work(TR_MSEC(200),
			  [](size_t, unsigned i) { return i < 4; });
		ASSERT_LE(cell.out_anywhere(), 2u);
	}
	EXPECT_EQ(cell.out_anywhere(), 2u);
}

/*
 * Guards against two parts of a split fleet that eject different targets and
 * together leave fewer in use than the floor: the cell splits four to four, and
 * each half sees other targets fail. Happens if both halves have an owner that
 * uses the whole ejection budget.
 */
TEST(Floor, HoldsOverBothPartsOfASplitFleet)
{
	FakeCell cell(10, 8);

	cell.run(settle);
	cell.partition({ 0, 1, 2, 3 }, true);
	for (int s = 0; s < 100; s++) {
		cell.work(TR_MSEC(200), [](size_t v, unsigned i) {
			return v < 4 ? i == 1 || i == 2 : i == 5 || i == 6;
		});
		ASSERT_LE(cell.out_anywhere(), 2u);
	}
	EXPECT_EQ(cell.owners(), 0u) << "neither half has three quarters";
	cell.partition({ 0, 1, 2, 3 }, false);
	cell.run(settle);
	EXPECT_EQ(cell.owners(), 1u);
}

/*
 * Guards against a resumed VM that keeps a target out which all others use
 * again while they have others out: it follows an order, is paused, and resumes
 * with the datagrams of that time in its buffer. Happens if the age of an order
 * is counted from its arrival.
 */
TEST(Floor, BufferedOrdersHaveExpired)
{
	FakeCell cell;
	size_t sleeper;

	cell.run(settle);
	sleeper = (cell.owner() + 1) % cell.vms.size();
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i == 3; });
	ASSERT_TRUE(cell.vms[sleeper]->out(3));
	cell.paused[sleeper] = true;
	cell.work(TR_SEC(20), [](size_t, unsigned i) { return i == 3; });
	cell.wake(sleeper);
	EXPECT_FALSE(cell.vms[sleeper]->out(3))
		<< "expired before the next request is routed";
}

/*
 * Guards against using the ejection budget twice: the owner is paused, the rest
 * elect another, which ejects targets, and the first resumes and goes on giving
 * orders. Happens if it still counts votes that have expired.
 */
TEST(Floor, AResumedOwnerHasNoVotes)
{
	FakeCell cell(10, 8);
	size_t first;

	cell.run(settle);
	first = cell.owner();
	cell.work(TR_SEC(2), [](size_t, unsigned i) { return i < 2; });
	cell.paused[first] = true;
	for (int s = 0; s < 150; s++) {
		cell.work(TR_MSEC(200),
			  [](size_t, unsigned i) { return i >= 4 && i < 6; });
		ASSERT_LE(cell.out_anywhere(), 2u);
	}
	EXPECT_NE(cell.owner(), first);
	cell.wake(first);
	for (int s = 0; s < 50; s++) {
		cell.step();
		ASSERT_LE(cell.owners(), 1u);
		ASSERT_LE(cell.out_anywhere(), 2u);
	}
}

/*
 * Guards against two owners after a VM was replaced: it votes, is replaced by a
 * new process at once, and another candidate asks that process for its vote.
 * Happens if the new process, which knows nothing of the first vote, gives a
 * second one.
 */
TEST(Floor, ARestartedProcessWaitsBeforeItVotes)
{
	FakeCell cell;
	size_t voter;
	uint64_t other;

	cell.run(settle);
	voter = (cell.owner() + 1) % cell.vms.size();
	other = cell.fleet[(cell.owner() + 2) % cell.vms.size()].id;
	cell.vms[voter].reset(new FakeVm(cell.clock, cell.fleet, voter,
					 cell.doc, cell.targets, 99));
	for (apr_time_t t = 0; t < TR_VOTE_TTL - TR_MSEC(50);
	     t += TR_MSEC(50)) {
		FakeVm &vm = *cell.vms[voter];

		EXPECT_FALSE(tr_permit_vote(vm.board.get(), vm.svc, other,
					    cell.clock.now));
		cell.step();
	}
}

/*
 * Guards against targets that stay out after a team raises its floor: two
 * targets are out under a floor of eight, which is then raised to ten. Happens
 * if only new ejections are checked against the new floor.
 */
TEST(Floor, RaisedFloorBringsTargetsBackAtOnce)
{
	FakeCell cell(10, 8);
	FakeDocument raised(4, 10);

	cell.run(settle);
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i < 2; });
	ASSERT_EQ(cell.out_anywhere(), 2u);
	for (auto &vm : cell.vms)
		tr_service_set_document(vm->board.get(), vm->svc, &raised.doc,
					2);
	EXPECT_EQ(cell.out_anywhere(), 0u);
}

/*
 * Guards against going below the floor when some targets stop as planned: two
 * targets are out, and then two others are marked as leaving. Happens if
 * leaving targets count as capacity.
 */
TEST(Floor, LeavingTargetsCountAsMissing)
{
	FakeCell cell(10, 8);
	auto entries = fake_targets(10, 4);

	cell.run(settle);
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i < 2; });
	ASSERT_EQ(cell.out_anywhere(), 2u);
	entries[8].leaving = true;
	entries[9].leaving = true;
	for (auto &vm : cell.vms)
		tr_service_set_targets(vm->board.get(), vm->svc, entries.data(),
				       10, 2);
	EXPECT_EQ(cell.out_anywhere(), 0u);
}

/*
 * Guards against ejecting healthy targets right after a mass restart: half the
 * targets are cold, and one of the others looks sick. Happens if cold targets
 * count as full capacity.
 */
TEST(Floor, ColdTargetsCountAsMissing)
{
	FakeCell cell(10, 6);

	cell.run(settle);
	for (auto &vm : cell.vms)
		for (unsigned i = 0; i < 5; i++)
			vm->target(i)->cold_until = cell.clock.now + TR_SEC(30);
	cell.work(TR_SEC(5), [](size_t, unsigned i) { return i == 7; });
	EXPECT_EQ(cell.out_anywhere(), 0u);
	for (auto &vm : cell.vms)
		EXPECT_TRUE(vm->target(7)->avoided)
			<< "avoided, which costs no capacity";
}

TEST(Permit, TargetThatRecoversIsUsedAgain)
{
	FakeCell cell;

	cell.run(settle);
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i == 3; });
	ASSERT_TRUE(cell.out_everywhere(3));
	cell.work(TR_SEC(12), [](size_t, unsigned) { return false; });
	for (int s = 0; s < 40; s++) {
		for (auto &vm : cell.vms)
			vm->outcome(3, true);
		cell.run(TR_MSEC(250));
	}
	EXPECT_EQ(cell.out_anywhere(), 0u);
}

/*
 * Guards against a flapping target that gets requests again and again and fails
 * them: it recovers on probation, is restored and fails again. Happens if the
 * hold time is the same each time.
 */
TEST(Permit, FlappingTargetStaysEjectedLongerEachTime)
{
	FakeCell cell;
	apr_time_t held[2];

	cell.run(settle);
	for (auto &hold : held) {
		tr_target *t = cell.vms[cell.owner()]->target(3);

		cell.work(TR_SEC(3), [](size_t, unsigned i) { return i == 3; });
		ASSERT_EQ(t->grant.kind, TR_ORDER_EJECT);
		hold = t->grant.hold_until - t->grant.since;
		while (cell.out_anywhere()) {
			for (auto &vm : cell.vms)
				vm->outcome(3, true);
			cell.run(TR_MSEC(250));
		}
	}
	EXPECT_EQ(held[1], 2 * held[0]);
}

/*
 * Guards against losing a target for all VMs that only one data centre cannot
 * reach: VMs of that data centre see it fail, the others see it succeed.
 * Happens if the evidence of all vantages is added up.
 */
TEST(Permit, FailureSeenFromOneDataCentreEjectsThereOnly)
{
	FakeCell cell;

	cell.run(settle);
	cell.work(TR_SEC(4),
		  [](size_t v, unsigned i) { return i == 3 && v < 2; });
	EXPECT_TRUE(cell.vms[0]->out(3));
	EXPECT_TRUE(cell.vms[1]->out(3));
	for (size_t v = 2; v < cell.vms.size(); v++)
		EXPECT_FALSE(cell.vms[v]->out(3)) << v;
}
