#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "clock.h"
#include "hash.h"
#include "list_check.h"
#include "roster.h"
}

namespace
{

tr_target_record record(const char *id, uint64_t revision)
{
	tr_target_record r{};

	snprintf(r.id, sizeof(r.id), "%s", id);
	snprintf(r.service, sizeof(r.service), "svc");
	snprintf(r.address, sizeof(r.address), "10.0.0.1:80");
	snprintf(r.data_centre, sizeof(r.data_centre), "dc-1");
	r.slots = 3;
	r.revision = revision;
	return r;
}

struct Roster : testing::Test {
	tr_roster roster{};
	apr_time_t now = TR_SEC(100);

	void TearDown() override
	{
		tr_roster_release(&roster);
	}

	tr_instance *row(const char *id)
	{
		for (unsigned i = 0; i < roster.count; i++)
			if (!strcmp(roster.rows[i].id, id))
				return &roster.rows[i];
		return nullptr;
	}

	void apply(const char *id, uint64_t revision, bool leaving = false,
		   bool gone = false)
	{
		tr_target_record r = record(id, revision);

		r.leaving = leaving;
		r.gone = gone;
		tr_roster_apply(&roster, &r, now);
	}
};

/*
 * Symptom: a target that is leaving gets new work. Sequence: one reader tells
 * that it leaves, then a slower one tells what it read before. Cause: the later
 * telling is taken for the newer.
 */
TEST_F(Roster, AnOlderRevisionChangesNothing)
{
	apply("a", 7, true);
	apply("a", 6);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
}

TEST_F(Roster, WhatIsGoneStaysGoneForOlderNews)
{
	apply("a", 5);
	apply("a", 9, false, true);
	apply("a", 8);
	EXPECT_TRUE(row("a")->gone);
}

TEST_F(Roster, ATargetIsGoneAtOnceInCalmTimes)
{
	apply("a", 5);
	tr_roster_confirm(&roster, 5, 0, now);
	apply("a", 6, false, true);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
}

/*
 * Symptom: after the store comes back nothing is served for two seconds.
 * Sequence: the store is away, leases run out, it returns with half of the
 * entries missing, and their targets register again within two seconds. Cause:
 * a missing entry was taken for a target that is gone.
 */
TEST_F(Roster, AfterAnInterruptionMissingTargetsHaveTimeToRegister)
{
	apply("a", 5);
	tr_roster_confirm(&roster, 5, 0, now);
	now += TR_SEC(8);
	tr_roster_confirm(&roster, 9, 0, now);
	tr_roster_drop_unlisted(&roster, nullptr, 0, 9, now);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
	now += TR_MSEC(1000);
	tr_roster_step(&roster, now);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
	now += TR_MSEC(1000);
	tr_roster_step(&roster, now);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
}

TEST_F(Roster, ATargetThatRegistersAgainStays)
{
	apply("a", 5);
	tr_roster_confirm(&roster, 5, 0, now);
	now += TR_SEC(8);
	tr_roster_confirm(&roster, 9, 0, now);
	tr_roster_drop_unlisted(&roster, nullptr, 0, 9, now);
	apply("a", 11);
	now += TR_SEC(5);
	tr_roster_step(&roster, now);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
}

/* One that said that it leaves is not waited for. */
TEST_F(Roster, ALeavingTargetDoesNotLapse)
{
	apply("a", 5, true);
	tr_roster_confirm(&roster, 5, 0, now);
	now += TR_SEC(8);
	tr_roster_confirm(&roster, 9, 0, now);
	tr_roster_drop_unlisted(&roster, nullptr, 0, 9, now);
	EXPECT_TRUE(row("a")->gone);
}

/*
 * Symptom: a new target vanishes for a moment. Sequence: a list is read as of
 * revision 9, a target is added at 10 and heard of, then the list is applied.
 * Cause: what a list does not name was dropped though it is newer.
 */
/* Guards against a platform that is behind: it calls a target ready that has
 * said itself that it leaves. */
TEST_F(Roster, WhatATargetSaysOfItsEndOutlivesThePlatformsWord)
{
	apply("a", 1);
	EXPECT_TRUE(tr_roster_mark_leaving(&roster, row("a")));
	EXPECT_FALSE(tr_roster_mark_leaving(&roster, row("a")));
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
	apply("a", 2);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
	/* And it does not wait to be registered again after an interruption. */
	tr_roster_confirm(&roster, 2, 0, now);
	now += TR_SEC(9);
	tr_roster_confirm(&roster, 3, 0, now);
	apply("a", 4, false, true);
	EXPECT_TRUE(row("a")->gone);
	now += TR_SEC(70);
	tr_roster_step(&roster, now);
	EXPECT_EQ(roster.says_leaving_count, 0u);
}

TEST_F(Roster, AListDropsNothingThatIsNewer)
{
	apply("a", 10);
	tr_roster_drop_unlisted(&roster, nullptr, 0, 9, now);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
}

TEST_F(Roster, TheDigestIsThatOfTheListAndNotOfItsOrder)
{
	tr_roster other{};
	tr_target_record a = record("a", 1);
	tr_target_record b = record("b", 2);

	apply("a", 1);
	apply("b", 2);
	tr_roster_apply(&other, &b, now);
	tr_roster_apply(&other, &a, now);
	EXPECT_EQ(tr_roster_digest(&roster), tr_roster_digest(&other));
	apply("b", 3, true);
	EXPECT_NE(tr_roster_digest(&roster), tr_roster_digest(&other));
	tr_roster_release(&other);
}

/*
 * Symptom: requests end at targets of another service. Sequence: a target ends
 * and its row is used for a new one while a request still runs there. Cause:
 * the row was given away with work in flight.
 */
TEST_F(Roster, ARowWithWorkInFlightIsNotReused)
{
	apply("a", 1);
	row("a")->in_flight = 1;
	apply("a", 2, false, true);
	now += TR_SEC(100);
	tr_roster_step(&roster, now);
	apply("b", 3);
	ASSERT_NE(row("a"), nullptr);
	EXPECT_NE(row("a"), row("b"));
}

TEST_F(Roster, UsualTimesStartFromTheAimAndFollowAnswers)
{
	uint32_t s = tr_roster_service(&roster, "svc");

	EXPECT_EQ(tr_service_stats_mean_time(&roster.services[s], TR_SEC(1)),
		  TR_MSEC(250));
	for (int i = 0; i < 100; i++)
		tr_service_stats_add_answer(&roster.services[s], TR_MSEC(100),
					    true);
	EXPECT_NEAR(tr_service_stats_mean_time(&roster.services[s], TR_SEC(1)),
		    TR_MSEC(100), TR_MSEC(15));
}

/*
 * Symptom: targets that left three seconds ago get requests, and no VM steps in
 * for readers that the store turns away. Sequence: both readers fail; all VMs
 * hold the same list and tell each other its age every few milliseconds. Cause:
 * each takes over the least age that it is told, without the time of the way,
 * so the fleet's age stands still.
 */
TEST(RosterAge, VmsThatVouchForEachOtherGrowOldTogether)
{
	tr_roster a{}, b{};
	apr_time_t now = TR_SEC(100);

	tr_roster_confirm(&a, 7, 0, now);
	tr_roster_confirm(&b, 7, 0, now);
	for (int i = 0; i < 1000; i++) {
		tr_roster &from = i % 2 ? a : b, &to = i % 2 ? b : a;
		apr_time_t told = (now - from.confirmed_at) / 1000 * 1000;

		now += TR_MSEC(3);
		tr_roster_confirm_from_peer(&to, 7, told, now);
	}
	EXPECT_GE(now - a.confirmed_at, TR_MSEC(2900));
	EXPECT_GE(now - b.confirmed_at, TR_MSEC(2900));
}

/*
 * Symptom: targets that left go on getting requests from all VMs but the reader
 * for seconds. Sequence: a reader asks the store; while it waits another VM
 * vouches for its list; the answer says that a target left. Cause: as the
 * answer was asked for before that, its revision was not taken over: the reader
 * told a list that seemed as old as the others', and nobody pulled it.
 */
TEST(RosterAge, AnAnswerThatWasAskedForLongAgoStillMovesTheRevision)
{
	tr_roster r{};
	apr_time_t now = TR_SEC(100);

	tr_roster_confirm(&r, 7, 0, now);
	tr_roster_confirm_from_peer(&r, 7, TR_MSEC(10), now + TR_MSEC(390));
	tr_roster_confirm(&r, 9, TR_MSEC(400), now + TR_MSEC(400));
	EXPECT_EQ(r.as_of, 9u);
	EXPECT_GE(r.confirmed_at, now + TR_MSEC(300));
}

struct Lives : Roster {
	bool apply_life(uint64_t born, uint64_t revision, bool leaving = false)
	{
		tr_target_record r = record("a", revision);

		r.born = born;
		r.leaving = leaving;
		return tr_roster_apply(&roster, &r, now);
	}

	tr_instance *living()
	{
		for (unsigned i = 0; i < roster.count; i++)
			if (roster.rows[i].used && !roster.rows[i].superseded)
				return &roster.rows[i];
		return nullptr;
	}
};

/*
 * Symptom: a target that has started again gets nothing for seconds. Sequence:
 * it hangs with four requests, which VMs say of it; it crashes and is back
 * under its id. Cause: the evidence and the requests of the earlier process
 * were kept for the new one.
 */
TEST_F(Lives, ATargetThatStartsAgainIsHeldToNothingOfBefore)
{
	apply_life(1000, 5);
	tr_instance *before = living();
	uint32_t old_name = before->hash;

	tr_gray_add(&before->gray, TR_SYMPTOM_FAILED, 3, now);
	before->in_flight = 2;
	before->others_in_flight = 2;
	before->full_until = now + TR_SEC(5);
	ASSERT_TRUE(apply_life(2000, 6));

	const tr_instance *after = living();

	EXPECT_LT(tr_gray_probability(&after->gray, now), 0.1);
	EXPECT_EQ(after->in_flight + after->others_in_flight, 0u);
	EXPECT_EQ(after->full_until, 0);
	EXPECT_NE(after->hash, old_name);
	EXPECT_TRUE(tr_instance_usable(after, now));
	EXPECT_FALSE(
		tr_instance_usable(tr_roster_by_hash(&roster, old_name), now));
}

/*
 * Symptom: requests go to an address that its target no longer has. Sequence:
 * a target is started again and registers; a write of its earlier process,
 * which the store had held up, is taken in after that. Cause: the later
 * revision was taken for the later life.
 */
TEST_F(Lives, AWriteOfAnEarlierLifeDoesNotComeBack)
{
	apply_life(2000, 5);
	EXPECT_FALSE(apply_life(1000, 6, true));
	EXPECT_FALSE(living()->leaving);
	EXPECT_EQ(living()->born, 2000u);
}

TEST_F(Lives, OldNewsFromAPeerDoesNotBringBackAnEarlierLife)
{
	apply_life(1000, 5);
	apply_life(2000, 8);
	EXPECT_FALSE(apply_life(1000, 5));
	EXPECT_FALSE(apply_life(1000, 7));
	EXPECT_EQ(living()->born, 2000u);
}

/* An id whose target told its start and an entry that does not is another
 * writer's: it names no target. */
TEST_F(Lives, AnEntryThatLostItsStartNamesNoTarget)
{
	apply_life(1000, 5);
	apply("a", 6);
	EXPECT_FALSE(tr_instance_usable(living(), now));
	apply_life(1000, 7);
	EXPECT_TRUE(tr_instance_usable(living(), now));
}

TEST_F(Lives, ListsWithDifferentLivesDiffer)
{
	apply_life(1000, 5);
	uint64_t before = tr_roster_digest(&roster);

	apply_life(2000, 6);
	EXPECT_NE(tr_roster_digest(&roster), before);
}

/*
 * Symptom: requests go on to a target whose entry was overwritten. Sequence:
 * another writer puts nonsense under a target's key, just after the store was
 * away. Cause: what can't be read was passed over, and the row stayed; or it
 * was given the time that a lapsed entry has.
 */
TEST_F(Roster, ARefusedEntryTakesItsTargetOutAtOnce)
{
	apply("a", 5);
	apply("b", 6);
	tr_roster_confirm(&roster, 6, 0, now);
	now += TR_SEC(8);
	tr_roster_confirm(&roster, 9, 0, now);
	tr_roster_reject_entry(&roster, "a", 4, now);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
	tr_roster_reject_entry(&roster, "a", 9, now);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
	EXPECT_TRUE(tr_instance_usable(row("b"), now));
	apply("a", 10);
	EXPECT_TRUE(tr_instance_usable(row("a"), now));
}

/*
 * Symptom: a VM runs out of memory. Sequence: another writer puts entries of
 * ever new services into the store. Cause: a table that grew by each name.
 */
TEST_F(Roster, AFloodOfServicesIsBounded)
{
	for (int i = 0; i < 6000; i++) {
		tr_target_record r =
			record(("t" + std::to_string(i)).c_str(), i + 1);

		snprintf(r.service, sizeof(r.service), "s%d", i);
		tr_roster_apply(&roster, &r, now);
	}
	EXPECT_EQ(roster.services_count, 4096u);
	EXPECT_EQ(roster.count, 4096u);
}

/*
 * Symptom: targets that nobody has used for some seconds get requests that must
 * run once, and fail a third of them. Sequence: three in ten are gray all the
 * time. Cause: what nothing is known of was held for well, whatever is known of
 * the others.
 */
TEST_F(Roster, TheShareOfGrayTargetsIsLearned)
{
	for (int i = 0; i < 10; i++)
		apply(("t" + std::to_string(i)).c_str(), i + 1);
	for (int s = 0; s < 400; s++) {
		now += TR_MSEC(100);
		for (int i = 0; i < 9; i++)
			tr_roster_add_outcome(&roster, &roster.rows[i],
					      i < 3 ? TR_SYMPTOM_FAILED
						    : TR_SYMPTOM_ANSWERED,
					      1, now);
		tr_roster_step(&roster, now);
	}
	EXPECT_NEAR(tr_gray_probability(&roster.rows[9].gray, now), 0.3, 0.08);
	EXPECT_LT(tr_gray_probability(&roster.rows[8].gray, now), 0.1);
}

/*
 * Symptom: a VM that has just started ends with a fault. Sequence: the first
 * that it hears of any target is that one is gone. Cause: the row had no
 * service, and the first of no services was looked up.
 */
TEST_F(Roster, AGoneTargetBeforeAnyServiceIsNoFault)
{
	apply("a", 5, false, true);
	tr_roster_step(&roster, now);
	now += TR_SEC(1);
	tr_roster_step(&roster, now);
	EXPECT_EQ(roster.services_count, 0u);
	EXPECT_FALSE(tr_instance_usable(row("a"), now));
}

TEST(Worked, TheAgeOfFailuresIsLearned)
{
	tr_service_stats s;

	tr_service_stats_init(&s, "svc");
	EXPECT_EQ(tr_service_stats_failure_age(&s, TR_SEC(1)), TR_MSEC(500));
	tr_service_stats_add_failure(&s, TR_MSEC(3));
	EXPECT_EQ(tr_service_stats_failure_age(&s, TR_SEC(1)), TR_MSEC(3));
	for (int i = 0; i < 100; i++)
		tr_service_stats_add_failure(&s, TR_MSEC(600));
	EXPECT_GT(tr_service_stats_failure_age(&s, TR_SEC(1)), TR_MSEC(500));
}

TEST(Worked, AQueueStandsOnceItHasLastedLongerThanABurst)
{
	apr_time_t now = TR_SEC(10);
	tr_service_stats s;
	auto expects = [&](apr_time_t takes, apr_time_t span) {
		for (apr_time_t end = now + span; now < end;
		     now += TR_MSEC(100))
			tr_service_stats_track_queue(&s, takes, TR_SEC(1), now);
	};

	tr_service_stats_init(&s, "svc");
	expects(TR_MSEC(500), TR_SEC(2));
	expects(TR_MSEC(1200), TR_MSEC(800));
	EXPECT_FALSE(s.standing_queue);
	expects(TR_MSEC(1200), TR_MSEC(800));
	EXPECT_TRUE(s.standing_queue);
	expects(TR_MSEC(900), TR_SEC(2));
	EXPECT_TRUE(s.standing_queue);
	expects(TR_MSEC(900), TR_SEC(3));
	EXPECT_FALSE(s.standing_queue);
}

/* What is kept of the digest is what it would be if it were made anew. */
TEST_F(Roster, TheDigestFollowsEachChange)
{
	tr_random random{ 11 };

	for (uint64_t revision = 1; revision < 3000; revision++) {
		std::string id =
			"t" + std::to_string(tr_random_below(&random, 20));
		tr_target_record r = record(id.c_str(), revision);

		now += TR_MSEC(tr_random_below(&random, 1200));
		r.born = tr_random_below(&random, 3);
		r.leaving = !tr_random_below(&random, 4);
		r.gone = !tr_random_below(&random, 4);
		switch (tr_random_below(&random, 8)) {
		case 0:
			tr_roster_reject_entry(&roster, id.c_str(), revision,
					       now);
			break;
		case 1:
			tr_roster_drop_unlisted(&roster, &r, 1, revision, now);
			break;
		case 2:
			tr_roster_confirm(&roster, revision, 0, now);
			break;
		default:
			tr_roster_apply(&roster, &r, now);
			break;
		}
		tr_roster_step(&roster, now);

		uint64_t kept = tr_roster_digest(&roster);

		roster.digest_known = false;
		ASSERT_EQ(kept, tr_roster_digest(&roster)) << revision;
	}
}

struct ListCheck : Roster {
	tr_random random{ 3 };
	tr_list_check check{};

	/* Another VM tells its list, which differs unless equal. */
	bool told(uint64_t as_of, bool equal)
	{
		tr_list_report t{};

		t.as_of = as_of;
		t.digest = tr_roster_digest(&roster) + !equal;
		return tr_list_check_reported(&check, &roster, &t, &random,
					      now);
	}

	void SetUp() override
	{
		apply("a", 1);
		tr_roster_confirm(&roster, 10, 0, now);
	}
};

/*
 * Symptom: a target gets requests from a VM 9.7 s after it began to leave; the
 * VM's list is as old as its start. Sequence: several VMs miss the same
 * changes; each hears newer lists that differ, and the others' old ones that
 * are equal. Cause: an equal list was taken for a proof that nothing was
 * missed, however old it was.
 */
TEST_F(ListCheck, AnEqualOldListIsNoProof)
{
	bool fetch = false;

	for (int i = 0; i < 20 && !fetch; i++) {
		now += TR_MSEC(100);
		fetch = told(20, false);
		EXPECT_FALSE(told(10, true));
	}
	EXPECT_TRUE(fetch);
}

TEST_F(ListCheck, WhatIsOnItsWayIsWaitedFor)
{
	for (int i = 0; i < 50; i++) {
		now += TR_MSEC(300);
		EXPECT_FALSE(told(20 + i, false));
		now += TR_MSEC(300);
		EXPECT_FALSE(told(20 + i, true));
	}
}

TEST_F(ListCheck, AnOlderListIsNotFetched)
{
	for (int i = 0; i < 50; i++) {
		now += TR_MSEC(300);
		EXPECT_FALSE(told(9, false));
	}
}

} // namespace
