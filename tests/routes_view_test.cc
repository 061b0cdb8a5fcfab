#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "hash.h"
#include "list_check.h"
#include "revision.h"
#include "routes_view.h"
}

namespace
{

constexpr unsigned VMS = 6, TARGETS = 4, STEPS = 400, SEEDS = 300;

/* A change in the store: of the configuration if it has a version, else of a
 * target. */
struct Change {
	uint64_t revision;
	uint64_t version;
	unsigned target;
	bool leaving;
};

struct Vm {
	tr_roster roster{};
	tr_list_check check{};
	tr_routes_view view{};
	uint64_t version = 0;
	uint64_t refused = 0;
	bool up = true;
	/* No messages pass between it and the others. */
	bool cut_off = false;
};

/* VMs that read a store and tell each other, in any order of events. */
class RoutesView : public testing::Test
{
      protected:
	std::vector<Vm> vms{ VMS };
	std::vector<Change> changes, copy;
	tr_random random{ 1 };
	apr_time_t now = TR_SEC(100);
	uint64_t number = 10;
	uint32_t era = 1;
	uint64_t version = 0;

	void SetUp() override
	{
		write_config();
		for (unsigned i = 0; i < TARGETS; i++)
			write_target(i, false);
		for (Vm &vm : vms)
			read(vm);
	}

	void TearDown() override
	{
		for (Vm &vm : vms)
			tr_roster_release(&vm.roster);
	}

	uint64_t revision() const
	{
		return tr_revision_make(era, number);
	}

	void write_config()
	{
		number++;
		changes.push_back({ revision(), ++version, 0, false });
	}

	void write_target(unsigned i, bool leaving)
	{
		number++;
		changes.push_back({ revision(), 0, i, leaving });
	}

	void return_from_copy()
	{
		changes = copy;
		number = tr_revision_number(changes.back().revision);
		era++;
		for (Change &c : changes)
			c.revision = tr_revision_make(
				era, tr_revision_number(c.revision));
	}

	void apply(Vm &vm, const Change &c, bool refuses)
	{
		tr_target_record r{};

		if (c.version && refuses && c.version > vm.version) {
			vm.refused = c.version;
		} else if (c.version) {
			take(vm, c.version, c.revision);
		} else {
			snprintf(r.id, sizeof(r.id), "i-%u", c.target);
			snprintf(r.service, sizeof(r.service), "s");
			r.slots = 3;
			r.leaving = c.leaving;
			r.revision = c.revision;
			tr_roster_apply(&vm.roster, &r, now);
		}
	}

	static void take(Vm &vm, uint64_t offered, uint64_t offered_revision)
	{
		if (offered <= vm.version)
			return;
		vm.version = offered;
		tr_routes_view_advance(&vm.view, offered_revision);
	}

	void read(Vm &vm, bool refuses = false)
	{
		uint64_t after =
			tr_routes_view_watch_after(&vm.view, &vm.roster);

		/* A list, or changes of an era that it doesn't continue. */
		if (tr_revision_era(after) != era)
			after = 0;
		tr_roster_enter_era(&vm.roster, revision(), number, now);
		for (const Change &c : changes)
			if (c.revision > after)
				apply(vm, c, refuses);
		tr_roster_confirm(&vm.roster, revision(), 0, now);
		tr_routes_view_advance(&vm.view, revision());
	}

	/* What a message tells the receiver, besides changes of targets. */
	void tell(const Vm &from, Vm &to)
	{
		Vm sender = from;
		tr_list_report list{ from.roster.as_of,
				     tr_roster_digest(&sender.roster), 0 };
		bool knows = from.version && from.refused <= from.version &&
			     from.view.as_of >= from.roster.as_of;
		tr_routes_report routes{ knows ? from.roster.as_of : 0,
					 from.version };

		if (!from.up || !to.up || from.cut_off || to.cut_off)
			return;
		if (from.roster.as_of)
			tr_roster_enter_era(
				&to.roster, from.roster.as_of,
				tr_revision_number(from.roster.as_of), now);
		tr_list_check_compare(&to.check, &to.roster, &list, &random,
				      now);
		tr_routes_view_compare(&to.view, to.version, &routes);
	}

	void announce(const Vm &from)
	{
		for (Vm &to : vms)
			if (&to != &from)
				tell(from, to);
	}

	/* Fetches the whole list of targets, or the configuration. */
	void fetch_list(const Vm &from, Vm &to)
	{
		if (!from.up || !to.up || from.cut_off || to.cut_off ||
		    from.roster.as_of < to.roster.as_of)
			return;
		for (unsigned i = 0; i < from.roster.count; i++) {
			tr_target_record r{};

			tr_roster_export_record(&from.roster,
						&from.roster.rows[i], &r, now);
			tr_roster_apply(&to.roster, &r, now);
		}
		tr_roster_confirm_from_peer(&to.roster, from.roster.as_of, 0,
					    now);
	}

	void fetch_routes(const Vm &from, Vm &to)
	{
		if (!from.up || !to.up || from.cut_off || to.cut_off)
			return;
		for (const Change &c : changes)
			if (c.version && c.version == from.version)
				take(to, c.version, c.revision);
	}

	void restart(Vm &vm)
	{
		tr_roster_release(&vm.roster);
		vm = Vm{};
	}

	Vm &any()
	{
		return vms[tr_random_below(&random, VMS)];
	}

	void step()
	{
		Vm &vm = any();
		Vm &other = any();

		now += TR_MSEC(10);
		switch (tr_random_below(&random, 14)) {
		case 0:
			write_config();
			break;
		case 1:
		case 2:
			write_target(tr_random_below(&random, TARGETS),
				     tr_random_below(&random, 2));
			break;
		case 3:
		case 4:
			if (vm.up)
				read(vm, !tr_random_below(&random, 10));
			break;
		case 5:
			fetch_routes(vm, other);
			break;
		case 6:
			fetch_list(vm, other);
			break;
		case 7:
			vm.up = !vm.up;
			break;
		case 8:
			vm.cut_off = !vm.cut_off;
			break;
		case 9:
			if (!tr_random_below(&random, 4))
				restart(vm);
			break;
		case 10:
			if (!tr_random_below(&random, 8))
				copy = changes;
			else if (!copy.empty() && !tr_random_below(&random, 8))
				return_from_copy();
			break;
		default:
			announce(vm);
		}
	}

	/* Whether the VM's watch would return every configuration of the store
	 * that is later than its own. */
	bool misses_none(const Vm &vm) const
	{
		uint64_t after =
			tr_routes_view_watch_after(&vm.view, &vm.roster);

		for (const Change &c : changes)
			if (c.version > vm.version && c.version != vm.refused &&
			    vm.refused < c.version && c.revision <= after)
				return false;
		return true;
	}
};

/* Guards against a configuration that only one VM has read, which ends before
 * the others have fetched it: their watches continued behind it. */
TEST_F(RoutesView, WhatOnlyOneVmHasReadIsReadAgainByTheOthers)
{
	write_config();
	read(vms[0]);
	announce(vms[0]);
	vms[0].up = false;
	EXPECT_EQ(vms[1].roster.as_of, revision());
	for (unsigned i = 1; i < VMS; i++)
		announce(vms[i]);
	read(vms[2]);
	EXPECT_EQ(vms[2].version, version);
}

/* Guards against the same where a VM has the list by fetching it whole. */
TEST_F(RoutesView, AFetchedListDoesNotConfirmTheConfiguration)
{
	write_config();
	write_target(0, true);
	read(vms[0]);
	fetch_list(vms[0], vms[1]);
	EXPECT_EQ(vms[1].roster.as_of, revision());
	read(vms[1]);
	EXPECT_EQ(vms[1].version, version);
}

/* Guards against the same by a message of a VM that has the list and not the
 * configuration. */
TEST_F(RoutesView, AVmThatLacksTheConfigurationDoesNotConfirmIt)
{
	write_config();
	read(vms[0]);
	tell(vms[0], vms[1]);
	restart(vms[0]);
	tell(vms[1], vms[2]);
	EXPECT_EQ(vms[2].roster.as_of, revision());
	read(vms[2]);
	EXPECT_EQ(vms[2].version, version);
}

/* Guards against the same by a message of a VM that could not read it. */
TEST_F(RoutesView, AVmThatRefusedTheConfigurationDoesNotConfirmIt)
{
	write_config();
	read(vms[0], true);
	announce(vms[0]);
	read(vms[1]);
	EXPECT_EQ(vms[1].version, version);
}

/* Guards against calls that return what the fleet knows: without changes of the
 * configuration all watches continue from the newest list. */
TEST_F(RoutesView, InCalmTimesAllWatchesContinueFromTheNewestList)
{
	write_target(0, true);
	read(vms[0]);
	for (unsigned i = 1; i < VMS; i++) {
		fetch_list(vms[0], vms[i]);
		tell(vms[0], vms[i]);
		EXPECT_EQ(tr_routes_view_watch_after(&vms[i].view,
						     &vms[i].roster),
			  revision());
	}
}

/* Guards against a watch by revisions of a former era, and against one without
 * a configuration. */
TEST_F(RoutesView, WhatIsKnownOfAFormerEraIsReadAnew)
{
	copy = changes;
	write_config();
	read(vms[0]);
	return_from_copy();
	read(vms[0]);
	announce(vms[0]);
	EXPECT_EQ(tr_routes_view_watch_after(&vms[1].view, &vms[1].roster), 0u);
	restart(vms[2]);
	fetch_list(vms[0], vms[2]);
	EXPECT_EQ(tr_routes_view_watch_after(&vms[2].view, &vms[2].roster), 0u);
}

/* Guards against configurations that are lost in any order of reads, messages,
 * fetches, ends, cuts, refusals and returns of the store. */
TEST_F(RoutesView, InAnyOrderOfEventsNoWatchContinuesBehindAChange)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		TearDown();
		vms = std::vector<Vm>(VMS);
		changes.clear();
		copy.clear();
		number = 10;
		version = 0;
		random.state = seed;
		SetUp();
		for (unsigned i = 0; i < STEPS; i++) {
			step();
			for (const Vm &vm : vms)
				ASSERT_TRUE(misses_none(vm))
					<< "seed " << seed << " step " << i;
		}
	}
}

} // namespace
