#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "reading.h"
}

namespace
{

const char TARGET[] = "i-1";
const apr_time_t STEP = TR_MSEC(5);
const apr_time_t MESSAGE_PERIOD = TR_MSEC(500);
const apr_time_t MESSAGE_DELAY = TR_MSEC(5);
const apr_time_t WATCH_WAIT = TR_MSEC(400);
const apr_time_t WATCH_PAUSE = TR_MSEC(250);
const apr_time_t CHECK_PAUSE = TR_MSEC(100);
const apr_time_t TIMEOUT = TR_MSEC(1100);
/* Within this time after its entry was removed a target gets no requests. */
const apr_time_t DRAIN = TR_SEC(2);
/* For so long at least a target is kept whose entry expired. */
const apr_time_t KEPT = TR_MSEC(1500);

enum class Answers { Yes, Refusal, Silence };

struct Message {
	apr_time_t at;
	unsigned to;
	tr_node_status status;
	uint64_t as_of;
	apr_time_t age;
	tr_target_record record;
};

struct Vm {
	tr_membership members{};
	tr_roster roster{};
	tr_reading reading{};
	tr_random random{};
	apr_time_t next_at = 0;
	apr_time_t asked_at = 0;
	apr_time_t told_at = 0;
	uint64_t sequence = 0;
	uint64_t asked_after = 0;
	bool up = true;
	bool leaving = false;
	bool cut_from_vms = false;
	Answers answers = Answers::Yes;
	unsigned interruptions = 0;
	apr_time_t used_until = 0;
};

/* VMs that read a store and tell each other, on a virtual clock. */
struct Fleet {
	std::vector<Vm> vms;
	std::vector<Message> messages;
	apr_time_t now = TR_SEC(100);
	Answers answers = Answers::Yes;
	uint64_t revision = 10;
	uint64_t removed_at = 0;

	Fleet(unsigned n, uint64_t seed) : vms(n)
	{
		for (unsigned i = 0; i < n; i++) {
			tr_membership_init(&vms[i].members, i + 1, 1,
					   centre(i).c_str());
			vms[i].random.state = seed * 1000 + i;
			apply(vms[i], record(false));
			tr_roster_confirm(&vms[i].roster, revision, 0, now);
			vms[i].told_at = now - STEP * i;
		}
		for (unsigned i = 0; i < n; i++)
			tell(i);
		run(TR_SEC(5));
	}

	~Fleet()
	{
		for (Vm &vm : vms) {
			tr_membership_release(&vm.members);
			tr_roster_release(&vm.roster);
		}
	}

	static std::string centre(unsigned i)
	{
		return "dc-" + std::to_string(i % 2);
	}

	tr_target_record record(bool gone) const
	{
		tr_target_record r{};

		snprintf(r.id, sizeof(r.id), "%s", TARGET);
		snprintf(r.service, sizeof(r.service), "s");
		r.slots = 3;
		r.gone = gone;
		r.revision = gone ? removed_at : 1;
		return r;
	}

	void apply(Vm &vm, const tr_target_record &r)
	{
		tr_roster_apply(&vm.roster, &r, now);
	}

	/* Sends what the VM knows to all others. */
	void tell(unsigned i)
	{
		static std::string centres[] = { centre(0), centre(1) };
		Vm &vm = vms[i];
		Message m{};

		vm.told_at = now;
		m.at = now + MESSAGE_DELAY;
		m.status.ip = i + 1;
		m.status.boot = 1;
		m.status.sequence = ++vm.sequence;
		m.status.data_centre = centres[i % 2].c_str();
		m.status.ready = true;
		m.status.leaving = vm.leaving;
		m.status.cannot_read = vm.members.nodes[0].cannot_read;
		m.status.sees_outage =
			tr_reading_sees_outage(&vm.reading, &vm.roster);
		m.status.held[TR_RESOURCE_LIST] = 1;
		m.status.fleet_size = (unsigned)vms.size();
		m.as_of = vm.roster.as_of;
		m.age = now - vm.roster.confirmed_at;
		tr_roster_export_record(&vm.roster, &vm.roster.rows[0],
					&m.record, now);
		for (m.to = 0; m.to < vms.size(); m.to++)
			if (m.to != i && !vm.cut_from_vms)
				messages.push_back(m);
	}

	void hear(Vm &vm, const Message &m)
	{
		bool restarted;

		if (!vm.up || vm.cut_from_vms ||
		    !tr_membership_receive(&vm.members, &m.status, now,
					   &restarted))
			return;
		apply(vm, m.record);
		tr_roster_note_peer(&vm.roster, m.age, now);
		tr_roster_confirm_from_peer(&vm.roster, m.as_of, m.age, now);
	}

	void deliver()
	{
		std::vector<Message> later;
		std::vector<Message> due;

		for (const Message &m : messages)
			(m.at <= now ? due : later).push_back(m);
		messages = later;
		for (const Message &m : due)
			hear(vms[m.to], m);
	}

	Answers answers_to(const Vm &vm) const
	{
		return answers != Answers::Yes ? answers : vm.answers;
	}

	void handle_answer(unsigned i)
	{
		Vm &vm = vms[i];

		if (tr_reading_may_end_interruption(&vm.reading, &vm.roster,
						    &vm.members, now) &&
		    tr_roster_note_answer(&vm.roster, vm.asked_at, now))
			vm.interruptions++;
		if (removed_at > vm.asked_after)
			apply(vm, record(true));
		tr_roster_confirm(&vm.roster, revision, now - vm.asked_at, now);
		tr_reading_succeed(&vm.reading, &vm.members);
		vm.next_at = now + WATCH_PAUSE;
		vm.asked_at = 0;
		tell(i);
	}

	void handle_failure(unsigned i)
	{
		Vm &vm = vms[i];

		vm.next_at =
			now + tr_reading_fail(&vm.reading, &vm.members,
					      &vm.random, vm.asked_at, now);
		vm.asked_at = 0;
		if (tr_reading_sees_outage(&vm.reading, &vm.roster))
			tell(i);
	}

	void read(unsigned i)
	{
		Vm &vm = vms[i];

		if (!vm.asked_at) {
			if (now < vm.next_at || vm.leaving)
				return;
			if (!tr_reading_is_due(&vm.reading, &vm.roster,
					       &vm.members, now)) {
				tr_reading_stop(&vm.reading, &vm.roster);
				vm.next_at = now + CHECK_PAUSE;
				return;
			}
			vm.asked_at = now;
			vm.asked_after = vm.roster.as_of;
		}
		if (answers_to(vm) == Answers::Refusal ||
		    now - vm.asked_at >= TIMEOUT)
			handle_failure(i);
		else if (answers_to(vm) == Answers::Yes &&
			 (revision > vm.asked_after ||
			  now - vm.asked_at >= WATCH_WAIT))
			handle_answer(i);
	}

	void step()
	{
		now += STEP;
		deliver();
		for (unsigned i = 0; i < vms.size(); i++) {
			Vm &vm = vms[i];

			if (!vm.up)
				continue;
			read(i);
			tr_roster_step(&vm.roster, now);
			if (now - vm.told_at >= MESSAGE_PERIOD)
				tell(i);
			if (!vm.roster.rows[0].gone)
				vm.used_until = now;
		}
	}

	void run(apr_time_t time)
	{
		for (apr_time_t end = now + time; now < end;)
			step();
	}

	std::vector<unsigned> readers()
	{
		std::vector<unsigned> found;

		for (unsigned i = 0; i < vms.size(); i++)
			if (vms[i].up &&
			    tr_membership_is_reader(&vms[i].members, now))
				found.push_back(i);
		return found;
	}

	void remove_entry()
	{
		removed_at = ++revision;
	}

	/* Cuts a reader off from the store, so that another one replaces it,
	 * and ends that. */
	void cut_and_back(apr_time_t time, Answers how)
	{
		unsigned vm = readers().front();

		vms[vm].answers = how;
		run(time);
		vms[vm].answers = Answers::Yes;
	}

	/* When the VMs that were not lost ceased to use the target, each. */
	std::vector<apr_time_t> used_until() const
	{
		std::vector<apr_time_t> found;

		for (const Vm &vm : vms)
			if (vm.up && !vm.leaving && !vm.cut_from_vms)
				found.push_back(vm.used_until);
		return found;
	}

	apr_time_t first_until() const
	{
		auto all = used_until();

		return *std::min_element(all.begin(), all.end());
	}

	apr_time_t last_until() const
	{
		auto all = used_until();

		return *std::max_element(all.begin(), all.end());
	}

	unsigned interruptions() const
	{
		unsigned n = 0;

		for (const Vm &vm : vms)
			n += vm.interruptions;
		return n;
	}
};

/* A way in which readers are lost. */
struct Loss {
	const char *name;
	void (*lose)(Vm &vm);
};

const Loss LOSSES[] = {
	{ "Killed", [](Vm &vm) { vm.up = false; } },
	{ "CutOff", [](Vm &vm) { vm.cut_from_vms = true; } },
	{ "ToldToEnd", [](Vm &vm) { vm.leaving = true; } },
};

void PrintTo(const Loss &loss, std::ostream *out)
{
	*out << loss.name;
}

class Reading : public testing::TestWithParam<Loss>
{
      protected:
	static void lose_readers(Fleet &fleet)
	{
		for (unsigned vm : fleet.readers())
			GetParam().lose(fleet.vms[vm]);
	}

	/* Plays it with fleets of several sizes and seeds. */
	static void play(const std::function<void(Fleet &)> &what)
	{
		for (unsigned n : { 5u, 12u, 44u })
			for (uint64_t seed = 1; seed <= 3; seed++) {
				SCOPED_TRACE(std::to_string(n) + " VMs, seed " +
					     std::to_string(seed));
				Fleet fleet(n, seed);

				what(fleet);
			}
	}
};

/* Guards against old failures of one VM that are taken for an outage of the
 * store when the readers are lost: a target that has ended was kept by all. */
TEST_P(Reading, AVmThatWasCutOffTakesNoLostReadersForAnOutage)
{
	for (Answers how : { Answers::Silence, Answers::Refusal })
		for (apr_time_t cut : { TR_SEC(3), TR_MSEC(5500), TR_SEC(25) })
			for (apr_time_t later : { TR_MSEC(20), TR_SEC(4) })
				play([&](Fleet &fleet) {
					fleet.cut_and_back(cut, how);
					fleet.run(later);
					lose_readers(fleet);
					fleet.run(TR_MSEC(20));
					fleet.remove_entry();
					apr_time_t at = fleet.now;

					fleet.run(TR_SEC(4));
					EXPECT_EQ(fleet.interruptions(), 0u);
					EXPECT_LE(fleet.last_until() - at,
						  DRAIN);
				});
}

/* Guards against the same by a VM that is cut off, or that the store turns
 * away, when the readers are lost. */
TEST_P(Reading, AVmThatIsCutOffTakesNoLostReadersForAnOutage)
{
	for (Answers how : { Answers::Silence, Answers::Refusal })
		for (apr_time_t before :
		     { TR_MSEC(50), TR_MSEC(700), TR_SEC(6) })
			play([&](Fleet &fleet) {
				unsigned vm = fleet.readers().front();

				fleet.vms[vm].answers = how;
				fleet.run(before);
				for (unsigned i : fleet.readers())
					if (i != vm)
						GetParam().lose(fleet.vms[i]);
				fleet.remove_entry();
				apr_time_t at = fleet.now;

				fleet.run(TR_SEC(4));
				EXPECT_EQ(fleet.interruptions(), 0u);
				EXPECT_LE(fleet.last_until() - at, DRAIN);
			});
}

/* Guards against the same where all readers are cut off together, for a while
 * or for good, and what they report. */
TEST(ReadingOutage, ReadersThatAreCutOffTakeThatForNoOutage)
{
	for (unsigned n : { 5u, 12u, 44u })
		for (apr_time_t cut : { TR_MSEC(1300), TR_SEC(2), TR_SEC(9) }) {
			Fleet fleet(n, n);
			std::vector<unsigned> cut_off = fleet.readers();

			for (unsigned vm : cut_off)
				fleet.vms[vm].answers = Answers::Silence;
			fleet.remove_entry();
			apr_time_t at = fleet.now;

			fleet.run(cut);
			for (unsigned vm : cut_off)
				fleet.vms[vm].answers = Answers::Yes;
			fleet.run(TR_SEC(4));
			EXPECT_EQ(fleet.interruptions(), 0u) << n;
			EXPECT_LE(fleet.last_until() - at, DRAIN) << n;
		}
}

/* Guards against targets whose entries expired while the store was away and
 * that are dropped at once, as the readers were lost with it. */
TEST_P(Reading, WhatExpiredIsKeptWhereReadersAreLostWithTheStore)
{
	for (Answers how : { Answers::Silence, Answers::Refusal })
		for (apr_time_t away : { TR_MSEC(2500), TR_SEC(4), TR_SEC(12) })
			play([&](Fleet &fleet) {
				fleet.answers = how;
				lose_readers(fleet);
				fleet.run(away);
				fleet.remove_entry();
				fleet.answers = Answers::Yes;
				apr_time_t at = fleet.now;

				fleet.run(TR_SEC(6));
				EXPECT_GE(fleet.interruptions(), 1u);
				EXPECT_GE(fleet.first_until() - at, KEPT);
				EXPECT_LT(fleet.last_until(), fleet.now);
			});
}

/* Guards against the same where a VM had been cut off before, and what it saw
 * then hides the outage. */
TEST_P(Reading, WhatExpiredIsKeptAfterAVmWasCutOffToo)
{
	play([&](Fleet &fleet) {
		fleet.cut_and_back(TR_MSEC(5500), Answers::Silence);
		fleet.run(TR_SEC(3));
		fleet.answers = Answers::Refusal;
		lose_readers(fleet);
		fleet.run(TR_SEC(3));
		fleet.remove_entry();
		fleet.answers = Answers::Yes;
		apr_time_t at = fleet.now;

		fleet.run(TR_SEC(6));
		EXPECT_GE(fleet.first_until() - at, KEPT);
	});
}

INSTANTIATE_TEST_SUITE_P(Readers, Reading, testing::ValuesIn(LOSSES),
			 [](const testing::TestParamInfo<Loss> &loss) {
				 return std::string(loss.param.name);
			 });

/* Guards against targets whose entries expired while the store was away, with
 * all VMs as they were, and that are dropped at once. */
TEST(ReadingOutage, WhatExpiredIsKept)
{
	for (unsigned n : { 3u, 5u, 44u, 100u })
		for (Answers how : { Answers::Silence, Answers::Refusal }) {
			Fleet fleet(n, n);

			fleet.answers = how;
			fleet.run(TR_MSEC(2500));
			fleet.remove_entry();
			fleet.answers = Answers::Yes;
			apr_time_t at = fleet.now;

			fleet.run(TR_SEC(6));
			EXPECT_GE(fleet.first_until() - at, KEPT) << n;
			EXPECT_LT(fleet.last_until(), fleet.now) << n;
		}
}

/* Guards against a VM that was cut off from the store once and never reads
 * again while others do. */
TEST(ReadingOutage, AVmThatWasCutOffReadsAgain)
{
	Fleet fleet(5, 1);
	unsigned vm = fleet.readers().front();

	fleet.cut_and_back(TR_MSEC(5500), Answers::Silence);
	EXPECT_TRUE(fleet.vms[vm].members.nodes[0].cannot_read);
	fleet.run(TR_SEC(12));
	EXPECT_FALSE(fleet.vms[vm].members.nodes[0].cannot_read);
	EXPECT_EQ(fleet.readers().size(), 2u);
	EXPECT_EQ(fleet.interruptions(), 0u);
}

} // namespace
