/*
 * A service under load from a fleet of VMs, played with a virtual clock against
 * the decisions and the messages between VMs: each has a roster of its own and
 * hears of the others' requests only later. Counted is by the operators' rule.
 */
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "entry.h"
#include "floor.h"
#include "mesh_internal.h"
#include "place.h"
}

namespace
{

const apr_time_t STEP = TR_MSEC(5);
const apr_time_t WINDOW = TR_SEC(2);
const apr_time_t USUAL = TR_MSEC(250);
const apr_time_t AIM = TR_MSEC(1200);
/* As VMs do: between two messages of one, until a connection that is not
 * answered is given up, and how long the target then gets nothing from it. */
const apr_time_t TELL_GAP = TR_MSEC(40);
const apr_time_t TELL_EVERY = TR_MSEC(200);
const apr_time_t CONNECT_TIMEOUT = TR_MSEC(300);
const apr_time_t UNREACHABLE_FOR = TR_SEC(1);
/* A request for the floor that comes so soon after another at the same target
 * finds out nothing new. */
const apr_time_t TWICE = TR_MSEC(100);
/* What the fleet tells at most so late may make a target's age seem less. */
const apr_time_t ABOUT = TR_MSEC(50);

struct Target {
	bool gray = false;
	bool cut = false;
	apr_time_t turns_at = 0;
	apr_time_t gray_until = 0;
	apr_time_t cut_until = 0;
	apr_time_t floor_at = 0;
	unsigned in_flight = 0;
	/* The newest request: when it was sent, and whether it was answered. */
	apr_time_t newest_at = 0;
	bool newest_answered = false;
	/* When it ended, if it hung. */
	apr_time_t newest_hung_until = 0;
	std::vector<apr_time_t> arrivals;
	std::vector<apr_time_t> losses;
};

struct Request {
	unsigned vm;
	uint32_t row;
	apr_time_t sent_at;
	apr_time_t ends_at;
	bool reached;
	bool hangs;
	tr_request_stage stage;
	std::vector<uint32_t> tried;
};

struct Vm {
	entry e{};
	mesh m{};
	std::vector<tr_node> nodes;
	std::vector<apr_time_t> last_comes_at;
	bool soon = false;
	bool at_once = false;
	apr_time_t told_at = 0;

	~Vm()
	{
		for (tr_node &node : nodes)
			free(node.reported);
		tr_roster_release(&e.roster);
	}
};

struct Message {
	unsigned from;
	unsigned to;
	std::shared_ptr<std::vector<mesh_row>> rows;
};

struct Plan {
	unsigned vms = 30;
	unsigned targets = 200;
	double rate = 320;
	/* So many of the VMs get callers, 0 for all. */
	unsigned with_callers = 0;
	/* Gray spells last 8 s in the mean, or evenly from 9 to 11 s. */
	bool even_spells = false;
	apr_time_t hangs_for = TR_SEC(2);
	/* For 5 s of each 10 a fifth of the targets get nothing from 3 in 10
	 * VMs. */
	bool cuts = false;
	/* Each 10 s so large a part of the well targets turns gray at once; or
	 * each 20 s, and none at other times. */
	double together = 0;
	bool only_together = false;
	/* In spans in which many fail a target counts from the time at which
	 * what failed there was sent, and not from the end of the wait. */
	bool from_sending = false;
	uint64_t seed = 5;
};

struct Fleet {
	const Plan plan;
	tr_random random{ 5 };
	apr_time_t now = TR_SEC(100);
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<Target> targets;
	std::vector<Request> running;
	std::multimap<apr_time_t, Message> under_way;
	unsigned asked = 0;
	unsigned lost = 0;
	unsigned for_floor = 0;
	unsigned floor_twice = 0;
	unsigned ends = 0;
	unsigned short_ends = 0;
	unsigned failing_spans = 0;
	unsigned short_failing_spans = 0;
	/* Why the targets that were missing had got nothing. */
	std::map<std::string, unsigned> causes;
	std::map<std::string, unsigned> failing_causes;

	explicit Fleet(const Plan &with) : plan(with)
	{
		random.state = plan.seed;
		targets.resize(plan.targets);
		for (Target &t : targets) {
			t.gray = !plan.only_together &&
				 tr_random_unit(&random) < 0.3;
			t.turns_at = now + spell(t.gray);
			/* In the midst of its spell. */
			if (plan.even_spells && t.gray)
				t.turns_at -= (t.turns_at - now) *
					      tr_random_below(&random, 100) /
					      100;
		}
		for (unsigned v = 0; v < plan.vms; v++)
			add_vm();
	}

	void add_vm()
	{
		vms.push_back(std::make_unique<Vm>());
		Vm &vm = *vms.back();

		vm.m.e = &vm.e;
		vm.last_comes_at.resize(plan.vms);
		vm.nodes.resize(plan.vms);
		for (tr_node &node : vm.nodes) {
			node = tr_node{};
			node.near = true;
			node.first_sequence = 1;
		}
		tr_roster_service(&vm.e.roster, "svc");
		for (int i = 0; i < 40; i++)
			tr_service_stats_add_answer(&vm.e.roster.services[0],
						    takes(), true);
		for (unsigned i = 0; i < plan.targets; i++) {
			tr_target_record r{};

			snprintf(r.id, sizeof(r.id), "t%u", i);
			snprintf(r.service, sizeof(r.service), "svc");
			snprintf(r.address, sizeof(r.address), "10.0.0.1:80");
			snprintf(r.data_centre, sizeof(r.data_centre), "dc");
			r.slots = 3;
			r.revision = 1;
			tr_roster_apply(&vm.e.roster, &r, now - TR_SEC(60));
			vm.e.roster.rows[i].used_at = now;
		}
	}

	unsigned callers() const
	{
		return plan.with_callers ? plan.with_callers : plan.vms;
	}

	apr_time_t takes()
	{
		return (apr_time_t)((0.6 + 0.8 * tr_random_unit(&random)) *
				    (double)USUAL);
	}

	apr_time_t spell(bool gray)
	{
		double mean = gray ? 8e6 : 18.7e6;

		if (plan.only_together && !gray)
			return TR_SEC(1000);
		if (plan.even_spells && gray)
			return (apr_time_t)(9e6 +
					    2e6 * tr_random_unit(&random));
		if (plan.even_spells)
			mean *= 10.0 / 8;
		return (apr_time_t)(-mean *
				    std::log(1 - tr_random_unit(&random)));
	}

	void turn_together()
	{
		for (Target &t : targets) {
			if (t.gray || tr_random_unit(&random) >= plan.together)
				continue;
			t.gray = true;
			t.turns_at = now + spell(true);
		}
	}

	void turn()
	{
		bool cut = plan.cuts && now % TR_SEC(10) < TR_SEC(5);
		bool begins = cut && now % TR_SEC(10) < STEP;

		for (Target &t : targets) {
			if (begins)
				t.cut = tr_random_unit(&random) < 0.2;
			t.cut &= cut;
			if (t.cut)
				t.cut_until = now;
			if (t.gray)
				t.gray_until = now;
			if (now < t.turns_at)
				continue;
			t.gray = !t.gray;
			t.turns_at = now + spell(t.gray);
		}
		if (now % TR_SEC(plan.only_together ? 20 : 10) < STEP)
			turn_together();
	}

	/* As a VM says what it saw of a request. */
	void say(Vm &vm, uint32_t at, tr_symptom symptom, apr_time_t age)
	{
		tr_roster *roster = &vm.e.roster;
		tr_instance *row = &roster->rows[at];

		vm.at_once |= symptom == TR_SYMPTOM_FAILED &&
			      tr_gray_probability(&row->gray, now) < 0.5;
		vm.soon = true;
		row->own.count[symptom]++;
		tr_roster_mark_dirty(roster, row);
		tr_roster_add_outcome(roster, row, symptom, 1, now);
		if (symptom == TR_SYMPTOM_FAILED ||
		    symptom == TR_SYMPTOM_OVERDUE)
			tr_service_stats_add_failure(&roster->services[0], age);
	}

	void send(unsigned v, const std::vector<uint32_t> &tried)
	{
		Vm &vm = *vms[v];
		tr_roster *roster = &vm.e.roster;
		tr_service_stats *svc = &roster->services[0];
		tr_placing p;
		tr_place_request req{};

		req.usual = tr_service_stats_mean_time(svc, AIM);
		req.spread = tr_service_stats_spread(svc);
		req.fail_age = tr_service_stats_failure_age(svc, AIM);
		req.standing_queue = svc->standing_queue;
		req.aim_left = AIM;
		req.time_left = plan.hangs_for;
		req.data_centre = "dc";
		req.floor_share = 0.7;
		req.wanted = plan.rate;
		req.turns = { v, plan.vms };
		req.tried = tried.data();
		req.tried_count = (unsigned)tried.size();
		if (tr_place(roster, &req, &random, now, &p) !=
		    TR_PLACE_FOUND) {
			lost++;
			return;
		}
		tr_service_stats_track_queue(svc, p.least_takes, AIM, now);
		begin(v, p, tried);
	}

	void begin(unsigned v, const tr_placing &p,
		   const std::vector<uint32_t> &tried)
	{
		Vm &vm = *vms[v];
		tr_instance *row = &vm.e.roster.rows[p.row];
		Target &t = targets[p.row];
		Request r{
			v, p.row, now, 0, true, false, TR_STAGE_NORMAL, tried
		};

		for_floor += p.for_floor;
		if (p.for_floor) {
			vm.at_once = true;
			floor_twice += now - t.floor_at < TWICE;
			t.floor_at = now;
		}
		r.tried.push_back(p.row);
		r.reached = !(t.cut && v * 10 < plan.vms * 3);
		r.hangs = r.reached && t.gray && tr_random_unit(&random) < 0.75;
		r.ends_at = now + (!r.reached ? CONNECT_TIMEOUT
				   : r.hangs  ? plan.hangs_for
					      : takes());
		row->in_flight++;
		row->used_at = now;
		tr_roster_mark_dirty(&vm.e.roster, row);
		vm.soon = true;
		if (r.reached)
			arrive(t, r);
		running.push_back(r);
	}

	void arrive(Target &t, const Request &r)
	{
		t.in_flight++;
		t.newest_at = now;
		t.newest_answered = false;
		t.newest_hung_until = r.hangs ? APR_INT64_MAX : 0;
		t.arrivals.push_back(now);
		lost += r.hangs;
		if (r.hangs)
			t.losses.push_back(now);
	}

	/* Say what the request's age tells, as VMs do. */
	void look(Request &r)
	{
		Vm &vm = *vms[r.vm];
		tr_service_stats *svc = &vm.e.roster.services[0];

		while (r.reached && r.stage < TR_STAGE_OVERDUE) {
			auto next = (tr_request_stage)(r.stage + 1);

			if (now - r.sent_at <
			    tr_gray_stage_start(
				    next, tr_service_stats_mean_time(svc, AIM),
				    tr_service_stats_spread(svc)))
				return;
			r.stage = next;
			say(vm, r.row, tr_gray_stage_symptom(next),
			    now - r.sent_at);
		}
	}

	void end(const Request &r)
	{
		Vm &vm = *vms[r.vm];
		tr_instance *row = &vm.e.roster.rows[r.row];
		Target &t = targets[r.row];
		apr_time_t age = now - r.sent_at;

		row->in_flight--;
		tr_roster_mark_dirty(&vm.e.roster, row);
		vm.soon = true;
		if (!r.reached) {
			row->unreachable_until = now + UNREACHABLE_FOR;
			say(vm, r.row, tr_gray_connect_failure_symptom(false),
			    age);
			send(r.vm, r.tried);
			return;
		}
		t.in_flight--;
		if (r.hangs && r.sent_at == t.newest_at)
			t.newest_hung_until = now;
		if (r.hangs && r.stage == TR_STAGE_OVERDUE) {
			tr_roster_end_hang(row, now);
		} else if (r.hangs) {
			say(vm, r.row, TR_SYMPTOM_FAILED, age);
		} else {
			t.newest_answered |= r.sent_at == t.newest_at;
			tr_service_stats_add_answer(&vm.e.roster.services[0],
						    age, true);
			say(vm, r.row, tr_gray_answer_symptom(r.stage), age);
		}
	}

	void progress()
	{
		std::vector<Request> over;

		for (Request &r : running) {
			look(r);
			if (now >= r.ends_at)
				over.push_back(r);
		}
		running.erase(std::remove_if(running.begin(), running.end(),
					     [&](const Request &r) {
						     return now >= r.ends_at;
					     }),
			      running.end());
		for (const Request &r : over)
			end(r);
	}

	/* Messages take 5 to 20 ms, beside the gap between two, and a tenth
	 * 200 ms more; one that is late holds up those behind it. */
	void tell(unsigned from)
	{
		Vm &vm = *vms[from];
		mesh_row rows[MESH_MAX_ROWS];
		mesh_message msg{};

		vm.soon = vm.at_once = false;
		vm.told_at = now;
		mesh_add_rows(&vm.m, &msg, rows, 1100);
		auto told = std::make_shared<std::vector<mesh_row>>(
			rows, rows + msg.rows.rows_len);
		for (unsigned to = 0; to < plan.vms; to++) {
			apr_time_t way =
				TR_MSEC(5) + tr_random_below(&random, 15001);
			apr_time_t &comes_at = vm.last_comes_at[to];

			if (to == from)
				continue;
			if (tr_random_unit(&random) < 0.1)
				way += TR_MSEC(200);
			comes_at = std::max(comes_at, now + way);
			under_way.insert({ comes_at, { from, to, told } });
		}
	}

	void hear()
	{
		while (!under_way.empty() && under_way.begin()->first <= now) {
			const Message &in = under_way.begin()->second;
			Vm &vm = *vms[in.to];
			mesh_message msg{};

			msg.rows.rows_val = in.rows->data();
			msg.rows.rows_len = (u_int)in.rows->size();
			mesh_take_rows(&vm.m, &vm.nodes[in.from], &msg, now);
			under_way.erase(under_way.begin());
		}
	}

	void talk()
	{
		for (unsigned v = 0; v < plan.vms; v++) {
			Vm &vm = *vms[v];
			apr_time_t since = now - vm.told_at;

			if (vm.at_once || (vm.soon && since >= TELL_GAP) ||
			    since >= TELL_EVERY)
				tell(v);
		}
	}

	bool used(const Target &t) const
	{
		return !t.arrivals.empty() && now - t.arrivals.back() < WINDOW;
	}

	/* Operators count those that have been well and undisturbed for long
	 * enough. One whose newest request hung is left out until two seconds
	 * after its end: nobody could know sooner that it is well. */
	bool counted(const Target &t) const
	{
		return !t.gray && now - t.gray_until >= WINDOW &&
		       now - t.cut_until >= 2 * WINDOW &&
		       (t.newest_answered ||
			t.newest_hung_until <= now - WINDOW);
	}

	/* The same by the time at which the newest request was sent: a target
	 * that failed is sound again after two seconds, and a span begins. */
	bool counted_from_sending(const Target &t) const
	{
		return !t.gray && now - t.gray_until >= WINDOW &&
		       now - t.cut_until >= 2 * WINDOW &&
		       (t.newest_answered || !t.newest_hung_until ||
			now - t.newest_at >= 2 * WINDOW);
	}

	/* What a VM finds that looks at all targets now. */
	struct View {
		const tr_roster *roster;
		tr_floor_check check;
		double missing;
	};

	View view_of(const Vm &vm) const
	{
		const tr_service_stats *svc = &vm.e.roster.services[0];
		const tr_floor_load load = {
			tr_service_stats_recent_outcomes(svc, now),
			tr_service_stats_failure_ratio(svc),
			plan.rate,
		};
		View view{ &vm.e.roster, {}, 0 };

		tr_floor_check_init(&view.check, false);
		tr_floor_check_set_load(&view.check, &load);
		for (uint32_t i = 0; i < plan.targets; i++) {
			const tr_instance *row = &vm.e.roster.rows[i];

			if (tr_instance_usable(row, now))
				tr_floor_check_add(
					&view.check, row, i,
					tr_gray_probability(&row->gray, now),
					true, now);
		}
		tr_floor_verdict(&view.check, 0.7, &load, &view.missing);
		return view;
	}

	/* Why the VM let this one be idle. */
	std::string why(const View &view, uint32_t at) const
	{
		const tr_floor_check &check = view.check;
		const tr_instance *row = &view.roster->rows[at];
		const Target &t = targets[at];
		double missing = view.missing;
		tr_floor_check alone;

		tr_floor_check_init(&alone, false);
		alone.high_failure_rate = check.high_failure_rate;
		tr_floor_check_add(&alone, row, at, 0, true, now);
		if (alone.idle_count && !alone.idle[0].remaining) {
			for (unsigned i = 0; i < check.idle_count; i++) {
				if (missing <= 0)
					return "share seemed kept by the mean";
				if (check.idle[i].row == at)
					return "due, not yet sent";
				missing -= 1 - check.idle[i].risk;
			}
			return missing > 0 ? "more idle than can be due"
					   : "share seemed kept by the mean";
		}
		if (row->failed_at > row->used_at &&
		    row->failed_at > t.newest_at + ABOUT)
			return !t.newest_answered
				       ? "the newest failed, told late"
			       : row->failed_at - t.newest_at < WINDOW
				       ? "the end of an old one that hung"
				       : "an old one hung, a later one was "
					 "answered";
		if (row->used_at > t.newest_at + ABOUT)
			return t.newest_answered
				       ? "the answer counted as a new request"
				       : "a request that never arrived, or news "
					 "that came late";
		if (!alone.idle_count && tr_instance_in_flight(row, now))
			return !t.in_flight ? "an end that was not heard"
			       : t.newest_answered
				       ? "an old one hung, a later one "
					 "was answered"
				       : "the newest hangs";
		return "due soon";
	}

	/* As most of the VMs see it that are asked. */
	std::string cause(const std::vector<View> &views, uint32_t at) const
	{
		std::map<std::string, unsigned> votes;

		for (const View &view : views)
			votes[why(view, at)]++;
		return std::max_element(votes.begin(), votes.end(),
					[](const auto &a, const auto &b) {
						return a.second < b.second;
					})
			->first;
	}

	/* Is less than the share of those that are counted at work? at_rest: of
	 * those without a request in flight, as when all VMs end. */
	bool is_short(bool at_rest, std::map<std::string, unsigned> &because)
	{
		std::vector<uint32_t> idle;
		std::vector<View> views;
		unsigned well = 0;

		for (uint32_t i = 0; i < targets.size(); i++) {
			const Target &t = targets[i];

			if (plan.from_sending && !at_rest
				    ? !counted_from_sending(t)
				    : !counted(t))
				continue;
			if (at_rest && t.in_flight)
				continue;
			well++;
			if (!used(t))
				idle.push_back(i);
		}
		if ((double)(well - idle.size()) >= 0.7 * well)
			return false;
		if (!at_rest && idle.size() == well)
			return false;
		for (size_t v = 0; v < vms.size(); v += 6)
			views.push_back(view_of(*vms[v]));
		for (uint32_t at : idle)
			because[cause(views, at)]++;
		return true;
	}

	static unsigned lately(const std::vector<apr_time_t> &times,
			       apr_time_t since)
	{
		return (unsigned)(times.end() - std::lower_bound(times.begin(),
								 times.end(),
								 since));
	}

	bool high_failure_rate() const
	{
		unsigned all = 0;
		unsigned failed = 0;

		for (const Target &t : targets) {
			all += lately(t.arrivals, now - WINDOW);
			failed += lately(t.losses, now - WINDOW);
		}
		return failed * 10 > all && failed * 2 < all;
	}

	void count()
	{
		ends++;
		short_ends += is_short(true, causes);
		if (!high_failure_rate())
			return;
		failing_spans++;
		short_failing_spans += is_short(false, failing_causes);
	}

	void play(apr_time_t length)
	{
		apr_time_t until = now + length;
		double due = 0;

		while (now < until) {
			now += STEP;
			turn();
			hear();
			progress();
			for (auto &vm : vms)
				tr_roster_step(&vm->e.roster, now);
			due += plan.rate * (double)STEP / 1e6;
			for (; due >= 1; due--) {
				asked++;
				send(tr_random_below(&random, callers()), {});
			}
			talk();
			if (now % TR_MSEC(250) < STEP &&
			    until - now < length / 2)
				count();
		}
	}
};

std::string told(const std::map<std::string, unsigned> &causes)
{
	std::string text;

	for (const auto &c : causes)
		text += "\n  " + std::to_string(c.second) + " " + c.first;
	return text;
}

/* No target that is counted is missing. What is lost is told, for no aim bounds
 * it. */
void play(Plan plan, apr_time_t length, unsigned seeds = 2)
{
	for (unsigned i = 1; i <= seeds; i++) {
		plan.seed = i * 7919;
		Fleet fleet(plan);

		fleet.play(length);
		EXPECT_EQ(fleet.short_ends, 0u)
			<< "of " << fleet.ends << " ends" << told(fleet.causes);
		EXPECT_EQ(fleet.short_failing_spans, 0u)
			<< "of " << fleet.failing_spans << " spans"
			<< told(fleet.failing_causes);
		printf("%u of %u lost, %u for the floor, %u of them twice\n",
		       fleet.lost, fleet.asked, fleet.for_floor,
		       fleet.floor_twice);
	}
}

/* Guards against sound targets that are idle when all VMs end, since VMs hear
 * of each other's requests late. */
TEST(FloorFleetLoad, ALargeServiceHasItsTargetsAtWork)
{
	play({}, TR_SEC(20), 1);
}

/* Guards against the same where a service has few targets. */
TEST(FloorFleetLoad, ASmallServiceHasItsTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	play(plan, TR_SEC(40));
}

/* Guards against tries that all come in the midst of spells of even length. */
TEST(FloorFleetLoad, SpellsOfEvenLengthLeaveTheTargetsAtWork)
{
	Plan plan;

	plan.even_spells = true;
	play(plan, TR_SEC(20), 1);
}

/* Guards against targets that turn gray at once, answer again at once, and are
 * let idle since the others seem to make up the share. */
TEST(FloorFleetLoad, TargetsThatAnswerAgainTogetherAreFound)
{
	Plan plan;

	plan.even_spells = true;
	plan.together = 0.3;
	plan.only_together = true;
	play(plan, TR_SEC(40), 1);
}

/* Guards against targets that are left idle while a request from an old spell
 * hangs there, though they have answered since. */
TEST(FloorFleetLoad, WhatHangsForLongHoldsNoSoundTargetBack)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	play(plan, TR_SEC(40));
}

/* Guards against the same while many targets turn gray at once, so that more
 * than a tenth of the requests fails. */
TEST(FloorFleetLoad, WhileATenthFailsTheSoundTargetsAreAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.together = 0.5;
	play(plan, TR_SEC(40));
}

/* Guards against sound targets that are idle while a tenth fails, where their
 * newest request hung: the end of the wait was taken for a new failure. */
TEST(FloorFleetLoad, WhileATenthFailsAHangCountsFromTheTimeItWasSent)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(3);
	plan.together = 0.7;
	plan.from_sending = true;
	play(plan, TR_SEC(40));
}

/* Guards against a fleet that asks suspects so often for the floor that a tenth
 * of the requests fails for it, and so goes on asking. */
TEST(FloorFleetLoad, WhatTheFloorLosesIsNoReasonToAskForMore)
{
	for (apr_time_t hangs_for : { TR_SEC(2), TR_SEC(3) }) {
		Plan plan;

		plan.hangs_for = hangs_for;
		Fleet fleet(plan);

		fleet.play(TR_SEC(20));
		EXPECT_EQ(fleet.failing_spans, 0u)
			<< "of " << fleet.ends << ", " << fleet.for_floor
			<< " for the floor";
	}
}

/* Guards against targets at rest that are idle when all VMs end, where most
 * have a request in flight. */
TEST(FloorFleetLoad, WhereMostAreInFlightThoseAtRestWereAtWork)
{
	Plan plan;

	plan.rate = 800;
	plan.hangs_for = TR_SEC(6);
	play(plan, TR_SEC(12));
}

/* Guards against targets that are idle for all, since some VMs don't reach
 * them. */
TEST(FloorFleetLoad, LinksOfSomeVmsLeaveTheTargetsAtWork)
{
	Plan plan;

	plan.cuts = true;
	plan.hangs_for = TR_SEC(6);
	play(plan, TR_SEC(20), 1);
}

/* Guards against several VMs that ask the same target for the floor at once, of
 * which all but the first find out nothing new. */
TEST(FloorFleetLoad, VmsAskATargetForTheFloorOnce)
{
	Plan small;

	small.targets = 28;
	small.rate = 80;
	for (const Plan &plan : { Plan(), small }) {
		Fleet fleet(plan);

		fleet.play(TR_SEC(15));
		EXPECT_GT(fleet.for_floor, 0u);
		EXPECT_LE(fleet.floor_twice * 50, fleet.for_floor)
			<< fleet.floor_twice << " of " << fleet.for_floor;
	}
}

/* Guards against sound targets that are idle while a tenth fails, since the VMs
 * whose turn it is get no callers. */
TEST(FloorFleetLoad, AVmThatAloneGetsCallersKeepsTheTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.together = 0.5;
	plan.with_callers = 1;
	play(plan, TR_SEC(40));
}

/* Guards against the same where callers keep their connections to some VMs. */
TEST(FloorFleetLoad, EightVmsWithCallersKeepTheTargetsAtWork)
{
	Plan plan;

	plan.targets = 28;
	plan.rate = 80;
	plan.hangs_for = TR_SEC(6);
	plan.together = 0.5;
	plan.with_callers = 8;
	play(plan, TR_SEC(40));
}

} // namespace
