#include <gtest/gtest.h>

#include "fake.h"

static const apr_time_t settle = TR_VOTE_TTL + TR_ORDER_TTL + TR_SEC(3);

TEST(Permit, OneOwnerThatThreeQuartersVoteFor)
{
	FakeCell cell;

	cell.run(settle);
	ASSERT_EQ(cell.owners(), 1u);
	EXPECT_GE(cell.vms[cell.owner()]->svc->vote.votes, 6u);
}

TEST(Permit, SickTargetIsOutAtEveryVm)
{
	FakeCell cell;

	cell.run(settle);
	cell.work(TR_SEC(3), [](size_t, unsigned i) { return i == 3; });
	EXPECT_TRUE(cell.out_everywhere(3));
	EXPECT_EQ(cell.out_anywhere(), 1u);
}

/*
 * Symptom: fewer targets in use than the team's floor.
 * Sequence: five of ten targets turn sick together while the floor is eight.
 * Cause: each VM would eject what it sees as sick, without counting.
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
 * Symptom: two halves of a split fleet eject different targets; together they
 * leave fewer in use than the floor.
 * Sequence: the cell splits four to four, each half sees other targets fail.
 * Cause: two owners that each spend the whole budget.
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
 * Symptom: a VM that wakes keeps a target out that all others use again, while
 * they have others out.
 * Sequence: a VM honours an order, is paused for a minute, and wakes with the
 * datagrams of that minute in its buffer.
 * Cause: an order is taken as fresh by the time of its arrival.
 */
TEST(Floor, OrdersThatLayInABufferAreVoid)
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
		<< "void before the next request is routed";
}

/*
 * Symptom: the ejection budget is spent twice.
 * Sequence: the owner is paused; the rest elect another, which ejects; the
 * first wakes and goes on handing out orders.
 * Cause: it still believes in votes that have lapsed meanwhile.
 */
TEST(Floor, AnOwnerThatWakesHasNoVotes)
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
 * Symptom: two owners at once after a VM was replaced.
 * Sequence: a VM votes, is replaced at once by a new process, which is asked
 * for a vote by another candidate.
 * Cause: the new process knows nothing of the vote and gives a second one.
 */
TEST(Floor, ANewProcessWaitsBeforeItVotes)
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
 * Symptom: after a team raises its floor, targets stay out below it.
 * Sequence: two targets are out under a floor of eight; the floor is raised
 * to ten while they are.
 * Cause: only new ejections are held against the new floor.
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
 * Symptom: a planned stop of some targets leaves fewer than the floor.
 * Sequence: two targets are out; then two others are marked as leaving.
 * Cause: leaving targets are counted as capacity.
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
 * Symptom: right after a mass restart healthy targets are ejected on top.
 * Sequence: half the targets come back cold; one of the others looks sick.
 * Cause: cold targets are counted as full capacity.
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
			<< "still the last choice, which costs no capacity";
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
 * Symptom: a target that flaps takes work again and again and fails it.
 * Sequence: it recovers on probation, is restored, and fails anew.
 * Cause: the same short hold each time.
 */
TEST(Permit, FlappingTargetIsHeldLongerEachTime)
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
 * Symptom: a target that one data centre can't reach is lost to all.
 * Sequence: VMs of one data centre see it fail, the others see it well.
 * Cause: evidence of all vantages is thrown together.
 */
TEST(Permit, FailureSeenFromOneDataCentreIsActedOnThereOnly)
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
