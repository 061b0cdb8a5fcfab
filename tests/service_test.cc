#include <gtest/gtest.h>

#include <cstring>

#include "fake.h"

extern "C" {
#include "revision.h"
}

struct Service : testing::Test {
	FakeClock clock;
	FakeDocument doc;
	std::vector<tr_vm> fleet = fake_vms(4, 2);
	FakeVm vm{ clock, fleet, 0, doc, 10 };
	tr_pick_kind kind = TR_PICK_NORMAL;

	tr_target *pick(bool may_repeat = false,
			const tr_tried *tried = nullptr)
	{
		return tr_service_pick(vm.board.get(), vm.svc, may_repeat,
				       tried, &kind);
	}
};

TEST_F(Service, PickReportsBusyWhenAllSlotsAreTaken)
{
	for (int i = 0; i < 30; i++) {
		tr_target *t = pick();

		ASSERT_NE(t, nullptr) << i;
		tr_attempt_begin(vm.svc, t, kind, clock.now);
	}
	EXPECT_EQ(pick(), nullptr);
	EXPECT_EQ(kind, TR_PICK_BUSY);
}

TEST_F(Service, PickReportsNoneWithoutTargets)
{
	tr_service_set_targets(vm.board.get(), vm.svc, nullptr, 0, 2);
	EXPECT_EQ(pick(), nullptr);
	EXPECT_EQ(kind, TR_PICK_NONE);
}

TEST_F(Service, HomeSlotsAreFilledFirst)
{
	unsigned home = 0;

	for (unsigned i = 0; i < 10; i++)
		home += vm.target(i)->home_slots;
	for (unsigned i = 0; i < home; i++) {
		tr_target *t = pick();

		ASSERT_NE(t, nullptr);
		EXPECT_LT(t->in_flight, t->home_slots);
		tr_attempt_begin(vm.svc, t, kind, clock.now);
	}
}

TEST_F(Service, EverySlotIsAssignedToOneVm)
{
	unsigned total = 0;

	for (size_t m = 0; m < fleet.size(); m++) {
		FakeVm other(clock, fleet, m, doc, 10);

		for (unsigned i = 0; i < 10; i++)
			total += other.target(i)->home_slots;
	}
	EXPECT_EQ(total, 30u);
}

/*
 * Guards against requests that fail when a target stops as planned: the target
 * announces in an answer that it is leaving, before the published list says so.
 * Happens if only the list is used.
 */
TEST_F(Service, TargetThatAnnouncesLeavingGetsNoNewRequests)
{
	tr_target_announce_leaving(vm.board.get(), vm.svc, vm.target(4));
	for (int i = 0; i < 200; i++) {
		tr_target *t = pick();

		ASSERT_NE(t, nullptr);
		EXPECT_NE(t, vm.target(4));
		tr_attempt_begin(vm.svc, t, kind, clock.now);
		tr_attempt_end(vm.board.get(), vm.svc, t, 0,
			       TR_ATTEMPT_ANSWERED, clock.now, false,
			       clock.now);
	}
}

TEST_F(Service, AvoidedTargetIsUsedOnlyWhenOthersAreFull)
{
	std::vector<tr_target *> picked;

	vm.target(2)->avoided = true;
	vm.target(2)->last_probe_at = clock.now;
	for (int i = 0; i < 27; i++) {
		tr_target *t = pick();

		ASSERT_NE(t, nullptr);
		ASSERT_NE(t, vm.target(2));
		tr_attempt_begin(vm.svc, t, kind, clock.now);
	}
	EXPECT_EQ(pick(), vm.target(2));
}

TEST_F(Service, SuspectTargetIsProbedWithIdempotentRequestsOnly)
{
	vm.target(2)->avoided = true;
	vm.target(2)->probe_interval = TR_SEC(1);
	clock.now += TR_SEC(2);
	EXPECT_NE(pick(false), vm.target(2));
	EXPECT_EQ(pick(true), vm.target(2));
	EXPECT_EQ(kind, TR_PICK_PROBE);
	tr_attempt_begin(vm.svc, vm.target(2), kind, clock.now);
	tr_attempt_end(vm.board.get(), vm.svc, vm.target(2), 0,
		       TR_ATTEMPT_TIMED_OUT, clock.now - TR_SEC(2), false,
		       clock.now);
	EXPECT_NE(pick(true), vm.target(2))
		<< "not before the interval has passed";
}

TEST_F(Service, TriedTargetsAreNotTriedAgain)
{
	tr_tried tried{};

	for (unsigned i = 0; i < 8; i++)
		tried.ids[tried.count++] = vm.target(i)->id;
	for (int i = 0; i < 20; i++) {
		tr_target *t = pick(true, &tried);

		EXPECT_TRUE(t == vm.target(8) || t == vm.target(9));
	}
}

TEST_F(Service, NewTargetStartsSlowly)
{
	auto entries = fake_targets(11, 4);

	tr_service_set_targets(vm.board.get(), vm.svc, entries.data(), 11, 2);
	EXPECT_GT(vm.target(10)->cold_until, clock.now);
	EXPECT_LE(vm.target(0)->cold_until, clock.now);
}

TEST_F(Service, OlderTargetsAndDocumentsAreIgnored)
{
	FakeDocument old(4, 2);

	tr_service_set_document(vm.board.get(), vm.svc, &old.doc, 1);
	EXPECT_EQ(vm.svc->document, &doc.doc);
	tr_service_set_targets(vm.board.get(), vm.svc, nullptr, 0, 1);
	EXPECT_TRUE(vm.target(0)->listed);
}

TEST(Revision, OnlyRises)
{
	tr_revision_state held{};

	EXPECT_EQ(tr_revision_compare(&held, 5), TR_REVISION_NEWER);
	tr_revision_accept(&held, 5);
	EXPECT_EQ(tr_revision_compare(&held, 5), TR_REVISION_CURRENT);
	EXPECT_EQ(tr_revision_compare(&held, 4), TR_REVISION_OLDER);
	tr_revision_refuse(&held, 6);
	EXPECT_EQ(tr_revision_compare(&held, 6), TR_REVISION_REFUSED);
	EXPECT_EQ(tr_revision_compare(&held, 7), TR_REVISION_NEWER);
	tr_revision_accept(&held, 4);
	EXPECT_EQ(held.revision, 5u);
}

TEST(Event, RingKeepsTheNewestEventsInOrder)
{
	static tr_event_ring ring;

	for (unsigned i = 0; i < TR_EVENT_RING + 10; i++)
		tr_event_append(&ring, 1000 - i, TR_EVENT_START, "", "", "%u",
				i);
	EXPECT_EQ(tr_event_first(&ring), 10u);
	EXPECT_EQ(tr_event_get(&ring, 9), nullptr);
	for (uint64_t i = 11; i < ring.count; i++)
		EXPECT_LT(tr_hlc_compare(tr_event_get(&ring, i - 1)->when,
					 tr_event_get(&ring, i)->when),
			  0)
			<< "order holds though the wall clock goes back";
}

TEST(Event, MergedClockIsAfterTheReceivedTime)
{
	tr_hlc mine{};
	tr_hlc heard = { 5000, 3 };

	tr_hlc_tick(&mine, 100);
	EXPECT_GT(tr_hlc_compare(tr_hlc_merge(&mine, heard, 101), heard), 0);
	EXPECT_GT(tr_hlc_compare(tr_hlc_merge(&mine, heard, 9000), heard), 0);
	EXPECT_EQ(mine.wall, 9000u);
}

/*
 * Guards against a target that is down and still gets requests under noise:
 * short stalls make most targets avoided for some seconds, and one of them goes
 * down. Happens if all avoided targets are treated as equally bad.
 */
TEST_F(Service, OfAvoidedTargetsTheOneWithLeastEvidenceIsUsed)
{
	for (unsigned i = 0; i < 10; i++) {
		vm.target(i)->avoided = true;
		vm.target(i)->last_probe_at = clock.now;
		vm.target(i)->evidence.cell_sum = i == 7 ? 40 : 9;
	}
	for (int i = 0; i < 27; i++) {
		tr_target *t = pick();

		ASSERT_NE(t, nullptr);
		EXPECT_NE(t, vm.target(7));
		tr_attempt_begin(vm.svc, t, kind, clock.now);
	}
	EXPECT_EQ(pick(), vm.target(7)) << "used when all others are full";
}
