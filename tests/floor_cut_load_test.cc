/*
 * The floor at the moment at which some VMs silently lose their paths to the
 * targets of a service, with requests on open connections: what they send there
 * counts as use of targets that it never reaches.
 */
#include "floor_fleet.h"

namespace
{

using namespace floor_fleet;

/* As VMs do: the time until another VM is asked for a connection, and the time
 * that a connection through it takes. */
const apr_time_t PEER_DELAY = TR_MSEC(75);
const apr_time_t RELAY_TIME = TR_MSEC(5);
const apr_time_t HEARD_LATELY = TR_MSEC(200);
/* How often VMs look whether a path is to be checked. */
const apr_time_t VM_STEP = TR_MSEC(25);
const apr_time_t WARM_UP = TR_SEC(8);
const apr_time_t MEASURED = TR_SEC(5);
const apr_time_t CHECK_INTERVAL = TR_MSEC(50);

struct CutPlan {
	double cut_share = 0.4;
	/* Requests are reads, which use open connections and are hedged. */
	bool reads = false;
	/* The share of the other VMs that is lost two seconds after the cut. */
	double lost_share = 0;
	/* What may be due to the path is told once the path was checked. */
	bool evidence_waits = true;
	/* What was sent on a path that is cut is withdrawn once that is known.
	 */
	bool withdraws = true;
};

/* A connection to a target that is being made, for a request or as a check. */
struct Dial {
	apr_time_t done_at;
	Request request;
	bool is_check;
};

struct CutFleet : Fleet {
	const CutPlan cut;
	apr_time_t cut_at = 0;
	apr_time_t lost_at = 0;
	std::vector<Dial> dials;
	unsigned never_arrived = 0;
	unsigned checks = 0;
	unsigned short_checks = 0;
	/* Short, while a part of the requests fails for which operators check.
	 */
	unsigned short_failing = 0;
	std::vector<apr_time_t> sent_times, lost_times;

	CutFleet(const Plan &with, const CutPlan &c) : Fleet(with), cut(c)
	{
	}

	unsigned cut_vms() const
	{
		return (unsigned)(cut.cut_share * plan.vms + 0.5);
	}

	bool is_cut(unsigned v) const
	{
		return cut_at && v < cut_vms();
	}

	bool is_lost(unsigned v) const
	{
		unsigned sound = plan.vms - cut_vms();

		return lost_at && v >= cut_vms() &&
		       v - cut_vms() < (unsigned)(cut.lost_share * sound);
	}

	tr_path &path_of(unsigned v)
	{
		return vms[v]->e.roster.services[0].path;
	}

	void begin(unsigned v, const tr_placement &p,
		   const std::vector<uint32_t> &tried) override
	{
		const tr_path &path = path_of(v);

		sent_times.push_back(now);
		if (!is_cut(v)) {
			size_t losses = lost_requests;

			Fleet::begin(v, p, tried);
			if (lost_requests > losses)
				lost_times.push_back(now);
			return;
		}
		Request r{ v,	  p.row,	   now,	 0, false,
			   false, TR_STAGE_NORMAL, tried };

		r.tried.push_back(p.row);
		if (cut.reads && !path.cut && !path.suspected && !path.detours)
			send_in_vain(r);
		else
			dial(r,
			     path.cut ? RELAY_TIME : PEER_DELAY + RELAY_TIME);
	}

	/* Sends the request on an open connection whose path is cut. */
	void send_in_vain(Request &r)
	{
		Vm &vm = *vms[r.vm];
		tr_instance *row = &vm.e.roster.rows[r.row];

		r.silent = true;
		r.ends_at = now + plan.hangs_for;
		never_arrived++;
		row->in_flight++;
		r.used_before = row->used_at;
		row->used_at = now;
		tr_roster_mark_dirty(&vm.e.roster, row);
		vm.report_soon = true;
		pending.push_back(r);
	}

	void dial(const Request &r, apr_time_t takes)
	{
		tr_instance *row = &vms[r.vm]->e.roster.rows[r.row];

		row->connecting++;
		row->used_at = now;
		dials.push_back({ now + takes, r, false });
	}

	/* The connection through another VM has come about. */
	void dialled(const Dial &d)
	{
		Request r = d.request;
		Vm &vm = *vms[r.vm];
		tr_instance *row = &vm.e.roster.rows[r.row];
		Target &t = targets[r.row];

		if (d.is_check && !is_cut(r.vm)) {
			tr_path_connected(&path_of(r.vm), now);
			return;
		}
		if (!d.is_check) {
			row->connecting--;
			row->in_flight++;
			tr_roster_mark_dirty(&vm.e.roster, row);
			vm.report_soon = true;
			r.reached = true;
			do
				r.relay = (int)(cut_vms() +
						tr_random_below(
							&random,
							plan.vms - cut_vms()));
			while (is_lost((unsigned)r.relay));
			r.hangs = t.gray && tr_random_unit(&random) < 0.75;
			r.sent_at = now;
			r.ends_at = now + (r.hangs ? plan.hangs_for
						   : draw_response_time());
			arrive(t, r);
			if (r.hangs)
				lost_times.push_back(now);
			pending.push_back(r);
		}
		if (!tr_path_detoured(&path_of(r.vm)))
			return;
		if (cut.withdraws)
			withdraw_all(r.vm);
		hedge_all(r.vm);
	}

	/* The path is known to be cut: what was sent on it counts as neither
	 * in flight nor use any more. */
	void withdraw_all(unsigned v)
	{
		for (Request &r : pending) {
			tr_instance *row = &vms[v]->e.roster.rows[r.row];

			if (r.vm != v || !r.silent || r.uncounted)
				continue;
			r.reported = r.stage;
			uncount(r, row);
			if (row->used_at == r.sent_at)
				row->used_at = r.used_before;
			vms[v]->report_now = true;
		}
	}

	/* Sends reads that were sent in vain to other targets. */
	void hedge_all(unsigned v)
	{
		std::vector<Request> again;

		for (Request &r : pending) {
			if (r.vm != v || !r.silent || !cut.reads)
				continue;
			again.push_back(r);
			/* Abandoned when the second attempt is answered. */
			r.ends_at = now + USUAL;
		}
		for (const Request &r : again)
			send(v, r.tried);
	}

	void report_stage(Request &r) override
	{
		tr_service_stats *svc = &vms[r.vm]->e.roster.services[0];
		tr_path &path = path_of(r.vm);

		if (!r.silent && !r.reached)
			return;
		while (r.stage < TR_STAGE_OVERDUE) {
			auto next = (tr_request_stage)(r.stage + 1);

			if (now - r.sent_at <
			    tr_gray_stage_start(
				    next, tr_service_stats_mean_time(svc, AIM),
				    tr_service_stats_spread(svc)))
				break;
			r.stage = next;
			if (next >= TR_STAGE_LATE && r.relay < 0)
				tr_path_suspect(&path,
						std::max(r.sent_at,
							 now - HEARD_LATELY));
			if (r.waits_since == 0 || r.reported + 1 == next)
				r.waits_since = now;
		}
		report_reached(r);
	}

	/* Reports the stages that were reached, unless they may be due to the
	 * path. */
	void report_reached(Request &r)
	{
		const tr_path &path = path_of(r.vm);
		Vm &vm = *vms[r.vm];
		tr_instance *row = &vm.e.roster.rows[r.row];

		while (r.reported < r.stage) {
			if (r.relay < 0 && cut.evidence_waits &&
			    tr_path_must_wait(&path, r.waits_since, now))
				return;
			r.reported = (tr_request_stage)(r.reported + 1);
			if (r.relay >= 0 || !path.cut)
				report_outcome(
					vm, r.row,
					tr_gray_stage_symptom(r.reported),
					now - r.sent_at);
			else if (r.reported == TR_STAGE_OVERDUE && !r.uncounted)
				uncount(r, row);
		}
	}

	/* What is overdue on a cut path counts as connecting. */
	void uncount(Request &r, tr_instance *row)
	{
		row->in_flight--;
		row->connecting++;
		r.uncounted = true;
		tr_roster_mark_dirty(&vms[r.vm]->e.roster, row);
	}

	void end(const Request &r) override
	{
		Vm &vm = *vms[r.vm];
		tr_instance *row = &vm.e.roster.rows[r.row];

		if (!r.silent) {
			Request flushed = r;

			if (r.relay < 0 && r.reached && !r.hangs)
				tr_path_heard(&path_of(r.vm), now);
			report_reached(flushed);
			Fleet::end(flushed);
			return;
		}
		if (!cut.reads)
			lost_times.push_back(r.sent_at);
		if (r.uncounted)
			row->connecting--;
		else
			row->in_flight--;
		tr_roster_mark_dirty(&vm.e.roster, row);
		vm.report_soon = true;
	}

	/* The answers to what the VMs have under way never come. */
	void begin_cut()
	{
		cut_at = now;
		for (Request &r : pending) {
			if (!is_cut(r.vm))
				continue;
			targets[r.row].in_flight--;
			r.silent = true;
			r.ends_at = r.sent_at + plan.hangs_for;
		}
	}

	/* Requests through VMs that are lost end without evidence; what was
	 * sent just before did not arrive. */
	void lose_vms()
	{
		lost_at = now;
		for (Request &r : pending) {
			Target &t = targets[r.row];

			if (r.relay < 0 || !is_lost((unsigned)r.relay))
				continue;
			t.in_flight--;
			r.silent = true;
			r.stage = r.reported = TR_STAGE_OVERDUE;
			r.ends_at = now;
			lost_times.push_back(r.sent_at);
			if (now - r.sent_at > RELAY_TIME || t.arrivals.empty())
				continue;
			t.arrivals.pop_back();
			never_arrived++;
		}
	}

	void check_paths()
	{
		for (unsigned v = 0; v < plan.vms; v++) {
			tr_path &path = path_of(v);
			bool checking = false;

			if (path.cut || !tr_path_check_due(&path, now))
				continue;
			for (const Dial &d : dials)
				checking |= d.is_check && d.request.vm == v;
			if (checking)
				continue;
			path.checked_at = now;
			Request r{};

			r.vm = v;
			dials.push_back({ now + (is_cut(v) ? PEER_DELAY : 0) +
						  RELAY_TIME + VM_STEP,
					  r, true });
		}
	}

	void advance_dials()
	{
		std::vector<Dial> done;

		for (const Dial &d : dials)
			if (now >= d.done_at)
				done.push_back(d);
		dials.erase(std::remove_if(dials.begin(), dials.end(),
					   [&](const Dial &d) {
						   return now >= d.done_at;
					   }),
			    dials.end());
		for (const Dial &d : done)
			dialled(d);
	}

	unsigned draw_vm()
	{
		unsigned v;

		do
			v = tr_random_below(&random, plan.vms);
		while (is_lost(v));
		return v;
	}

	void advance(double &credit)
	{
		now += TIME_STEP;
		change_states();
		receive_messages();
		advance_dials();
		advance_requests();
		check_paths();
		for (auto &vm : vms)
			tr_roster_step(&vm->e.roster, now);
		credit += plan.rate * (double)TIME_STEP / 1e6;
		for (; credit >= 1; credit--)
			send(draw_vm(), {});
		send_reports();
	}

	/* Tells whether some, but fewer than the share, of the counted targets
	 * got requests. */
	bool is_floor_short() const
	{
		unsigned total = 0;
		unsigned in_use = 0;

		for (const Target &t : targets) {
			if (!counted(t))
				continue;
			total++;
			in_use += used(t);
		}
		return in_use && in_use < 0.7 * total;
	}

	/* Notes for which reasons the idle targets got no requests. */
	void note_reasons()
	{
		std::vector<View> views;

		for (size_t v = 0; v < vms.size(); v += 6)
			views.push_back(view_of(*vms[v]));
		for (uint32_t i = 0; i < targets.size(); i++)
			if (counted(targets[i]) && !used(targets[i]))
				reasons[common_reason(views, i)]++;
	}

	/* Tells whether operators check the floor: the part of the requests
	 * sent in the window ending at a time that is lost. */
	bool failing_at(apr_time_t at) const
	{
		unsigned sent = 0;
		unsigned lost = 0;

		for (apr_time_t t : sent_times)
			sent += t > at - WINDOW && t <= at;
		for (apr_time_t t : lost_times)
			lost += t > at - WINDOW && t <= at;
		return lost * 10 > sent && lost * 2 < sent;
	}

	void run_cut()
	{
		std::vector<apr_time_t> short_at;
		apr_time_t until = now + WARM_UP;
		double credit = 0;

		while (now < until)
			advance(credit);
		begin_cut();
		for (until += MEASURED; now < until;) {
			if (cut.lost_share > 0 && !lost_at &&
			    now - cut_at >= WINDOW)
				lose_vms();
			advance(credit);
			if (now % CHECK_INTERVAL >= TIME_STEP)
				continue;
			checks++;
			if (is_floor_short()) {
				short_at.push_back(now);
				note_reasons();
			}
		}
		short_checks = (unsigned)short_at.size();
		/* So that what is under way is known to be lost or not. */
		for (until += TR_SEC(4); now < until;)
			advance(credit);
		for (apr_time_t at : short_at)
			short_failing += failing_at(at);
	}
};

struct CutFigures {
	unsigned checks = 0;
	unsigned short_checks = 0;
	unsigned short_failing = 0;
	unsigned never_arrived = 0;
	unsigned short_seeds = 0;
	std::map<std::string, unsigned> reasons;
};

/* A service of the size at which targets were idle beside a cut. */
Plan small_service(double rate)
{
	Plan plan;

	plan.vms = 44;
	plan.targets = 8;
	plan.slots = 4;
	plan.rate = rate;
	plan.hangs_for = TR_MSEC(2500);
	return plan;
}

/* Returns the seeds, or as many from 1 on as the environment asks for. */
std::vector<unsigned> seeds_or(std::vector<unsigned> seeds)
{
	const char *text = getenv("FLOOR_CUT_SEEDS");

	if (!text)
		return seeds;
	seeds.resize((unsigned)atoi(text));
	for (unsigned i = 0; i < seeds.size(); i++)
		seeds[i] = i + 1;
	return seeds;
}

CutFigures play(Plan plan, const CutPlan &cut,
		const std::vector<unsigned> &seeds)
{
	CutFigures sum;

	for (unsigned seed : seeds) {
		plan.seed = seed * 7919;
		CutFleet fleet(plan, cut);

		fleet.run_cut();
		sum.checks += fleet.checks;
		sum.short_checks += fleet.short_checks;
		sum.short_failing += fleet.short_failing;
		sum.never_arrived += fleet.never_arrived;
		sum.short_seeds += fleet.short_checks > 0;
		for (const auto &r : fleet.reasons)
			sum.reasons[r.first] += r.second;
	}
	printf("rate %.0f: %u of %u checks short, at %u of %zu seeds, %u of "
	       "them while requests fail; %u requests never arrived%s\n",
	       plan.rate, sum.short_checks, sum.checks, sum.short_seeds,
	       seeds.size(), sum.short_failing, sum.never_arrived,
	       report(sum.reasons).c_str());
	return sum;
}

/* Checks that no moment is short at which operators check the floor. */
void expect_floor(const CutPlan &cut, const std::vector<unsigned> &seeds)
{
	for (double rate : { 30.0, 69.0 }) {
		CutFigures found = play(small_service(rate), cut, seeds);

		EXPECT_EQ(found.short_failing, 0u) << "at rate " << rate;
	}
}

/* Guards against cuts that show nothing: without what VMs do about them, they
 * leave targets idle. */
TEST(FloorCutLoad, TheCutsAreHardEnough)
{
	CutPlan cut;

	cut.reads = true;
	cut.evidence_waits = cut.withdraws = false;
	EXPECT_GT(play(small_service(30), cut, { 15, 21, 51 }).short_checks,
		  0u);
}

/* Guards against sound targets that are idle after a silent cut, since answers
 * that it has taken counted as failures of theirs. */
TEST(FloorCutLoad, ASilentCutLeavesTheTargetsOfOrdersInUse)
{
	expect_floor({}, seeds_or({ 5, 45, 51, 88, 129, 157 }));
}

/* Guards against the same for reads that never reached their targets, on
 * connections that the cut has taken. */
TEST(FloorCutLoad, ASilentCutLeavesTheTargetsOfReadsInUse)
{
	CutPlan cut;

	cut.reads = true;
	expect_floor(cut, seeds_or({ 15, 21, 51, 129, 157, 173 }));
}

/* Guards against the same where VMs are lost through which others reach the
 * targets. */
TEST(FloorCutLoad, TheLossOfVmsInBetweenLeavesTheTargetsInUse)
{
	CutPlan cut;

	cut.reads = true;
	cut.lost_share = 0.25;
	expect_floor(cut, seeds_or({ 15, 21, 80, 155, 173, 282 }));
}

} // namespace
