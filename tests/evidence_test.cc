#include <gtest/gtest.h>

#include "fake.h"

static const apr_time_t settle = TR_VOTE_TTL + TR_ORDER_TTL + TR_SEC(3);

TEST(Evidence, ThresholdsFollowTheEjectionRules)
{
	tr_ejection_rules cautious = { 0.01, 2000, TR_DETECTOR_CUSUM };
	tr_ejection_rules eager = { 5, 800, TR_DETECTOR_CUSUM };
	tr_evidence_rules a, b;

	tr_evidence_rules_init(&a, &cautious, 864000);
	tr_evidence_rules_init(&b, &eager, 864000);
	EXPECT_GT(a.sick, b.sick);
	EXPECT_GT(a.min_base_rate, b.min_base_rate);
}

TEST(Evidence, LateAndDuplicateTotalsCountOnce)
{
	tr_evidence ev{};
	tr_outcome_batch batch{};

	EXPECT_FALSE(tr_evidence_diff_totals(&ev, 1, { 500, 50, 0 }, &batch))
		<< "first totals may be older than this VM";
	EXPECT_TRUE(tr_evidence_diff_totals(&ev, 1, { 510, 52, 0 }, &batch));
	EXPECT_EQ(batch.well, 10u);
	EXPECT_EQ(batch.bad, 2u);
	EXPECT_FALSE(tr_evidence_diff_totals(&ev, 1, { 510, 52, 0 }, &batch));
	EXPECT_FALSE(tr_evidence_diff_totals(&ev, 1, { 504, 51, 0 }, &batch));
	EXPECT_TRUE(tr_evidence_diff_totals(&ev, 1, { 511, 52, 0 }, &batch));
	EXPECT_EQ(batch.well, 1u);
	EXPECT_EQ(batch.bad, 0u);
}

TEST(Evidence, DecaysOverTime)
{
	tr_evidence ev{};
	tr_outcome_batch bad = { 0, 0, 0, 5, 5 };

	tr_evidence_decay(&ev, TR_SEC(1));
	tr_evidence_add(&ev, &bad, 0.01, TR_SEC(1));
	double before = ev.cell_sum;

	tr_evidence_decay(&ev, TR_SEC(61));
	EXPECT_LT(ev.cell_sum, before / 100);
}

/*
 * Guards against ejecting a healthy target when only one VM has network
 * trouble: its requests to the target fail together. Happens if failures with a
 * common cause are counted as independent.
 */
TEST(Evidence, OneVmIsNotEnoughIfAnotherUsesTheTarget)
{
	tr_ejection_rules team = { 0.01, 2000, TR_DETECTOR_CUSUM };
	tr_evidence_rules rules;
	tr_evidence ev{};
	tr_outcome_batch mine = { 0, 0, 0, 30, 30 };
	tr_outcome_batch theirs = { 1, 0, 1, 0, 0 };

	tr_evidence_rules_init(&rules, &team, 864000);
	tr_evidence_add(&ev, &theirs, 0.02, TR_SEC(1));
	tr_evidence_add(&ev, &mine, 0.02, TR_SEC(1));
	ASSERT_GT(ev.cell_sum, rules.sick);
	EXPECT_EQ(tr_evidence_sick_vantages(&ev, &rules, TR_SEC(1)), 0u);
	theirs = { 1, 0, 0, 2, 2 };
	tr_evidence_add(&ev, &theirs, 0.02, TR_SEC(1));
	EXPECT_EQ(tr_evidence_sick_vantages(&ev, &rules, TR_SEC(1)),
		  TR_EVERY_VANTAGE)
		<< "two VMs of the only vantage have evidence";
}

TEST(Evidence, AMinorityOfVantagesEjectsForItselfOnly)
{
	tr_ejection_rules team = { 5, 800, TR_DETECTOR_CUSUM };
	tr_evidence_rules rules;
	tr_evidence ev{};
	apr_time_t now = TR_SEC(1);

	tr_evidence_rules_init(&rules, &team, 864000);
	for (int round = 0; round < 3; round++)
		for (unsigned s = 0; s < 8; s++) {
			tr_outcome_batch batch = { s, (int)s / 2, 0, 0, 0 };

			if (s < 2)
				batch.bad = batch.bad_run = 5;
			else
				batch.well = 1;
			now += TR_MSEC(10);
			tr_evidence_add(&ev, &batch, 0.01, now);
		}
	ASSERT_GT(ev.cell_sum, rules.sick);
	EXPECT_EQ(tr_evidence_sick_vantages(&ev, &rules, now), 1u);
}

/*
 * Guards against ejecting a target that is down for one data centre only, so
 * that probes from the others go on failing: two VMs of one data centre see it
 * fail, and all others avoid it at once and have no outcomes. Happens if no
 * outcome is treated as a success.
 */
TEST(Evidence, VantagesWithoutRecentRequestsDoNotCount)
{
	tr_ejection_rules team = { 5, 800, TR_DETECTOR_CUSUM };
	tr_evidence_rules rules;
	tr_evidence ev{};

	tr_evidence_rules_init(&rules, &team, 864000);
	for (unsigned s = 0; s < 8; s++) {
		tr_outcome_batch batch = { s, (int)s / 2, 5, 0, 0 };

		tr_evidence_add(&ev, &batch, 0.01, TR_SEC(1));
	}
	for (unsigned s = 0; s < 2; s++) {
		tr_outcome_batch batch = { s, 0, 0, 3, 3 };

		tr_evidence_add(&ev, &batch, 0.01, TR_SEC(2));
	}
	EXPECT_EQ(tr_evidence_sick_vantages(&ev, &rules, TR_SEC(2)),
		  TR_EVERY_VANTAGE);
}

/*
 * Guards against ejecting targets one by one when a database behind the service
 * is slow: all targets begin to fail three requests in ten. Happens if a target
 * is compared with a fixed rate and not with its peers.
 */
TEST(Evidence, FaultThatAllTargetsShareEjectsNone)
{
	FakeCell cell(10, 6);
	tr_random random = { 5 };

	cell.run(settle);
	for (int s = 0; s < 20; s++) {
		cell.work(TR_SEC(1), [&random](size_t, unsigned) {
			return tr_random_below(&random, 10) < 3;
		});
		EXPECT_EQ(cell.out_anywhere(), 0u);
	}
}

/*
 * Guards against one VM with a broken network path accusing every target: all
 * of its requests fail, and those of the other VMs succeed. Happens if its
 * evidence counts like that of any other VM.
 */
TEST(Detector, VmThatSeesMostTargetsFailSuspectsItself)
{
	FakeCell cell;

	cell.run(settle);
	cell.work(TR_SEC(5), [](size_t v, unsigned) { return v == 2; });
	EXPECT_TRUE(cell.vms[2]->board->suspects_itself);
	for (size_t v = 0; v < cell.vms.size(); v++)
		EXPECT_EQ(cell.vms[v]->board->suspects_itself, v == 2) << v;
	for (size_t v = 4; v < cell.vms.size(); v++)
		for (unsigned i = 0; i < cell.targets; i++)
			EXPECT_FALSE(cell.vms[v]->out(i));
}

/*
 * Guards against ejecting targets that shed load, which overloads the rest: a
 * target refuses requests because its slots are taken. Happens if a refusal
 * counts as a failure.
 */
TEST(Detector, RefusalsAreNotFailures)
{
	FakeClock clock;
	FakeDocument doc;
	auto fleet = fake_vms(4, 2);
	FakeVm vm(clock, fleet, 0, doc, 10);

	for (int i = 0; i < 500; i++) {
		tr_attempt_begin(vm.svc, vm.target(1), TR_PICK_NORMAL,
				 clock.now);
		tr_attempt_end(vm.board.get(), vm.svc, vm.target(1), 0,
			       TR_ATTEMPT_TARGET_REFUSED, clock.now, false,
			       clock.now);
	}
	EXPECT_EQ(vm.target(1)->evidence.cell_sum, 0);
	EXPECT_EQ(vm.target(1)->evidence.own.bad, 0u);
}

/*
 * Guards against ejecting healthy targets for a caller with a deadline of 1 ms:
 * its requests time out at every target. Happens if a timeout counts against
 * the target, however short the deadline was.
 */
TEST(Detector, ShortDeadlineOfACallerIsNoFailureOfTheTarget)
{
	FakeClock clock;
	FakeDocument doc;
	auto fleet = fake_vms(4, 2);
	FakeVm vm(clock, fleet, 0, doc, 10);

	tr_attempt_begin(vm.svc, vm.target(1), TR_PICK_NORMAL, clock.now);
	tr_attempt_end(vm.board.get(), vm.svc, vm.target(1), 0,
		       TR_ATTEMPT_TIMED_OUT, clock.now - TR_MSEC(1), false,
		       clock.now);
	EXPECT_EQ(vm.target(1)->evidence.own.bad, 0u);
}

/*
 * Guards against noticing a target that never answers only after the deadline:
 * requests to it hang while all others take 5 ms. Happens if an attempt counts
 * only when it ends.
 */
TEST(Detector, OverdueAttemptCountsAsAFailureWhileItRuns)
{
	FakeClock clock;
	FakeDocument doc;
	auto fleet = fake_vms(4, 2);
	FakeVm vm(clock, fleet, 0, doc, 10);
	apr_time_t began;

	for (int i = 0; i < 200; i++)
		vm.outcome((unsigned)i % 10, true);
	began = clock.now;
	tr_attempt_begin(vm.svc, vm.target(1), TR_PICK_NORMAL, began);
	clock.now += TR_MSEC(10);
	EXPECT_FALSE(tr_attempt_overdue(vm.board.get(), vm.svc, vm.target(1), 0,
					began, clock.now));
	clock.now += TR_MSEC(190);
	EXPECT_TRUE(tr_attempt_overdue(vm.board.get(), vm.svc, vm.target(1), 0,
				       began, clock.now));
	EXPECT_EQ(vm.target(1)->evidence.own.bad, 1u);
	tr_attempt_end(vm.board.get(), vm.svc, vm.target(1), 0,
		       TR_ATTEMPT_TIMED_OUT, began, true, clock.now);
	EXPECT_EQ(vm.target(1)->evidence.own.bad, 1u) << "counted once";
}

TEST(Detector, BaselinesAreEntriesOfTheSameTable)
{
	for (const char *name :
	     { "cusum", "health", "consecutive", "success-rate" }) {
		const tr_detector_ops *ops = tr_detector_by_name(name);

		ASSERT_NE(ops, nullptr) << name;
		EXPECT_STREQ(ops->name, name);
	}
	EXPECT_EQ(tr_detector_by_name("none"), nullptr);
}

TEST(Detector, FiveConsecutiveFailuresEjectOnOneVm)
{
	FakeClock clock;
	FakeDocument doc;
	auto fleet = fake_vms(4, 2);

	doc.doc.ejection.detector = TR_DETECTOR_CONSECUTIVE;
	FakeVm vm(clock, fleet, 0, doc, 10);

	for (int i = 0; i < 4; i++)
		vm.outcome(1, false);
	EXPECT_LE(vm.target(1)->local.ejected_until, clock.now);
	vm.outcome(1, false);
	EXPECT_GT(vm.target(1)->local.ejected_until, clock.now);
}

/*
 * Guards against using a target that is down for seconds longer than the first
 * failures allow: two VMs see it fail, and then a third reports, after an idle
 * period, the successes of the six seconds before the fault. Happens if
 * outcomes are added in the order in which reports arrive.
 */
TEST(Evidence, LateSuccessesFromBeforeAFaultDoNotCancelIt)
{
	tr_evidence ev{};
	tr_outcome_batch early = { 3, 0, 5, 0, 0 };
	tr_outcome_batch bad = { 0, 0, 0, 3, 3 };
	tr_outcome_batch late = { 3, 0, 30, 0, 0 };
	tr_outcome_batch fresh = { 3, 0, 30, 0, 0 };
	double before;

	tr_evidence_add(&ev, &early, 0.01, TR_SEC(1));
	tr_evidence_add(&ev, &bad, 0.01, TR_SEC(7));
	before = ev.cell_sum;
	tr_evidence_add(&ev, &late, 0.01, TR_SEC(7));
	/* Most of the six seconds of successes are from before the fault. */
	EXPECT_GT(ev.cell_sum, before * 0.75);
	tr_evidence_add(&ev, &fresh, 0.01, TR_SEC(7) + TR_MSEC(400));
	EXPECT_EQ(ev.cell_sum, 0) << "successes after the fault do";
}

/*
 * Guards against avoiding a target that is down for ever without ejecting it:
 * the cell avoids it after a few failures, and from then on it gets one request
 * a second, which fails. Happens if the evidence decays as fast as these
 * failures add up.
 */
TEST(Evidence, DoesNotDecayWhileEveryRequestFails)
{
	tr_evidence ev{};
	apr_time_t now = TR_SEC(1);

	tr_evidence_decay(&ev, now);
	for (int i = 0; i < 10; i++) {
		tr_outcome_batch bad = { 0, 0, 0, 1, 1 };

		tr_evidence_add(&ev, &bad, 0.02, now);
		now += TR_SEC(2);
		tr_evidence_decay(&ev, now);
	}
	EXPECT_GT(ev.cell_sum, 30);
	double before = ev.cell_sum;
	tr_outcome_batch well = { 0, 0, 1, 0, 0 };

	tr_evidence_add(&ev, &well, 0.02, now);
	tr_evidence_decay(&ev, now + TR_SEC(12));
	EXPECT_LT(ev.cell_sum, before / 3) << "it decays after one success";
}

/*
 * Guards against never ejecting a target that goes down while it is avoided:
 * after a stall the cell avoids it, it answers some requests, goes down and
 * then gets one probe a second, all of which fail. Happens if the successes
 * after the stall count as newer than the fault.
 */
TEST(Evidence, TargetThatFailsWhileAvoidedIsFoundSick)
{
	tr_ejection_rules team = { 0.01, 2000, TR_DETECTOR_CUSUM };
	tr_evidence_rules rules;
	tr_evidence ev{};
	apr_time_t now = TR_SEC(10);

	tr_evidence_rules_init(&rules, &team, 864000);
	for (unsigned s = 0; s < 8; s++) {
		tr_outcome_batch bad = { s, (int)s / 2, 0, 2, 2 };

		tr_evidence_add(&ev, &bad, 0.02, now);
	}
	for (unsigned s = 0; s < 8; s++) {
		tr_outcome_batch well = { s, (int)s / 2, 1, 0, 0 };

		tr_evidence_add(&ev, &well, 0.02, now + TR_MSEC(200));
	}
	for (unsigned s = 0; s < 4; s++) {
		tr_outcome_batch bad = { s, (int)s / 2, 0, 1, 1 };

		now += TR_SEC(1);
		tr_evidence_decay(&ev, now);
		tr_evidence_add(&ev, &bad, 0.02, now);
	}
	EXPECT_EQ(tr_evidence_sick_vantages(&ev, &rules, now),
		  TR_EVERY_VANTAGE);
}

/*
 * For how long every request has failed, which is a condition for an ejection.
 */
struct Failing : testing::Test {
	tr_evidence ev{};
	apr_time_t now = TR_SEC(10);

	void report(unsigned source, uint32_t well, uint32_t bad,
		    uint32_t bad_run)
	{
		tr_outcome_batch batch = { source, (int)source / 2, well, bad,
					   bad_run };

		tr_evidence_add(&ev, &batch, 0.02, now);
	}

	apr_time_t failing()
	{
		return tr_evidence_failing_duration(&ev, TR_EVERY_VANTAGE);
	}
};

TEST_F(Failing, LastsFromTheFirstFailureToTheLast)
{
	report(0, 0, 1, 1);
	EXPECT_EQ(failing(), 0);
	now += TR_SEC(2);
	report(3, 0, 2, 3);
	now += TR_SEC(5);
	EXPECT_EQ(failing(), TR_SEC(2));
}

TEST_F(Failing, EndsWithASuccess)
{
	report(0, 0, 1, 1);
	now += TR_MSEC(500);
	report(0, 1, 0, 0);
	now += TR_MSEC(500);
	report(0, 0, 1, 1);
	now += TR_MSEC(200);
	report(0, 0, 1, 2);
	EXPECT_EQ(failing(), TR_MSEC(200));
}

/* Successes from before the fault that are reported late do not end it. */
TEST_F(Failing, LateReportsOfOldSuccessesDoNotEndIt)
{
	report(2, 1, 0, 0);
	now += TR_SEC(3);
	report(0, 0, 1, 1);
	now += TR_MSEC(300);
	report(2, 9, 0, 0);
	now += TR_MSEC(700);
	report(0, 0, 1, 2);
	EXPECT_EQ(failing(), TR_SEC(1));
}

TEST_F(Failing, IsMeasuredPerVantage)
{
	report(6, 1, 0, 0);
	report(0, 0, 1, 1);
	now += TR_MSEC(400);
	report(6, 1, 0, 0);
	now += TR_MSEC(400);
	report(0, 0, 1, 2);
	EXPECT_EQ(failing(), 0);
	EXPECT_EQ(tr_evidence_failing_duration(&ev, 1U << 0), TR_MSEC(800));
	EXPECT_EQ(tr_evidence_failing_duration(&ev, 1U << 3), 0);
}
