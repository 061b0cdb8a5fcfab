/*
 * The floor of services whose targets turn gray and whose VMs lose links, with
 * the placement decisions and the messages between VMs on a virtual clock.
 */
#include "floor_fleet.h"

namespace
{

using namespace floor_fleet;

/* Checks that the floor is met at all times. The lost requests are only
 * printed, since no bound is set for them. */
void run(Plan plan, apr_time_t length, unsigned seeds = 2)
{
	for (unsigned i = 1; i <= seeds; i++) {
		plan.seed = i * 7919;
		Fleet fleet(plan);

		fleet.run(length);
		EXPECT_EQ(fleet.short_end_checks, 0u)
			<< "of " << fleet.end_checks << " ends"
			<< report(fleet.reasons);
		EXPECT_EQ(fleet.short_failing_spans, 0u)
			<< "of " << fleet.failing_spans << " spans"
			<< report(fleet.failing_reasons);
		printf("%u of %u lost, %u for the floor, %u of them twice\n",
		       fleet.lost_requests, fleet.requests, fleet.for_floor,
		       fleet.floor_twice);
	}
}

/* Guards against healthy targets that are idle when all VMs end, because VMs
 * learn late of each other's requests. */
TEST(FloorFleetLoad, ALargeServiceHasItsTargetsAtWork)
{
	run({}, TR_SEC(20), 1);
}

/* Guards against the same where a service has few targets. */
TEST(FloorFleetLoad, ASmallServiceHasItsTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	run(plan, TR_SEC(40));
}

/* Guards against probes that all fall into the middle of spells of equal
 * length. */
TEST(FloorFleetLoad, SpellsOfEvenLengthLeaveTheTargetsAtWork)
{
	Plan plan;

	plan.even_spells = true;
	run(plan, TR_SEC(20), 1);
}

/* Guards against targets that turn gray together, answer again together, and
 * stay idle because the other targets seem to meet the floor. */
TEST(FloorFleetLoad, TargetsThatAnswerAgainTogetherAreFound)
{
	Plan plan;

	plan.even_spells = true;
	plan.joint_share = 0.3;
	plan.only_joint = true;
	run(plan, TR_SEC(40), 1);
}

/* Guards against targets that stay idle while a request of an earlier spell
 * hangs there, though they have answered since. */
TEST(FloorFleetLoad, WhatHangsForLongHoldsNoSoundTargetBack)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	run(plan, TR_SEC(40));
}

/* Guards against the same while many targets turn gray together, so that more
 * than a tenth of the requests fails. */
TEST(FloorFleetLoad, WhileATenthFailsTheSoundTargetsAreAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.joint_share = 0.5;
	run(plan, TR_SEC(40));
}

/* Guards against healthy targets that stay idle while a tenth of the requests
 * fails, where their newest request hung: the end of its timeout was taken for
 * a new failure. */
TEST(FloorFleetLoad, WhileATenthFailsAHangCountsFromTheTimeItWasSent)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(3);
	plan.joint_share = 0.7;
	plan.from_send_time = true;
	run(plan, TR_SEC(40));
}

/* Guards against a fleet that sends suspected targets so many of the floor's
 * requests that a tenth of all requests fails for it, which makes the floor
 * need still more. */
TEST(FloorFleetLoad, WhatTheFloorLosesIsNoReasonToAskForMore)
{
	for (apr_time_t hangs_for : { TR_SEC(2), TR_SEC(3) }) {
		Plan plan;

		plan.hangs_for = hangs_for;
		Fleet fleet(plan);

		fleet.run(TR_SEC(20));
		EXPECT_EQ(fleet.failing_spans, 0u)
			<< "of " << fleet.end_checks << ", " << fleet.for_floor
			<< " for the floor";
	}
}

/* Guards against targets without a request in flight that are idle when all VMs
 * end, where most targets have one. */
TEST(FloorFleetLoad, WhereMostAreInFlightThoseAtRestWereAtWork)
{
	Plan plan;

	plan.rate = 800;
	plan.hangs_for = TR_SEC(6);
	run(plan, TR_SEC(12));
}

/* Guards against targets that stay idle for all VMs because some VMs can't
 * reach them. */
TEST(FloorFleetLoad, LinksOfSomeVmsLeaveTheTargetsAtWork)
{
	Plan plan;

	plan.link_faults = true;
	plan.hangs_for = TR_SEC(6);
	run(plan, TR_SEC(20), 1);
}

/* Guards against several VMs that send the floor's request to the same target
 * at once, of which all but the first give no new evidence. */
TEST(FloorFleetLoad, VmsAskATargetForTheFloorOnce)
{
	Plan small;

	small.targets = 28;
	small.rate = 80;
	for (const Plan &plan : { Plan(), small }) {
		Fleet fleet(plan);

		fleet.run(TR_SEC(15));
		EXPECT_GT(fleet.for_floor, 0u);
		EXPECT_LE(fleet.floor_twice * 50, fleet.for_floor)
			<< fleet.floor_twice << " of " << fleet.for_floor;
	}
}

/* Guards against healthy targets that stay idle while a tenth of the requests
 * fails, because the VMs whose turn it is get no callers. */
TEST(FloorFleetLoad, AVmThatAloneGetsCallersKeepsTheTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.joint_share = 0.5;
	plan.with_callers = 1;
	run(plan, TR_SEC(40));
}

/* Guards against the same where callers keep their connections to some VMs. */
TEST(FloorFleetLoad, EightVmsWithCallersKeepTheTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.joint_share = 0.5;
	plan.with_callers = 8;
	run(plan, TR_SEC(40));
}

} // namespace
