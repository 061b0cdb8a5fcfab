#include "detector.h"

#include <math.h>
#include <string.h>

#define SELF_LEAST_TARGETS 3
#define SELF_SICK_RATE	   0.5
#define SELF_PEERS_RATE	   0.2
#define RATE_WINDOW	   TR_SEC(5)
#define RATE_KEEP	   0.5
#define SECONDS_PER_DAY	   86400.0
#define URGENT_GAP	   TR_SEC(1)
#define URGENT_SHARE	   0.4
#define AVOID_RELEASE	   0.5
/* Trickles of the whole cell to a target under suspicion in the detection time:
 * so many in a row must fail until it is ejected, and a target that was stalled
 * for a part of that time has answered one of them. */
#define TRICKLES_A_DETECTION 16
#define GAP_LEAST	     TR_MSEC(10)
#define GAP_MOST	     TR_MSEC(2000)

#define HEALTH_IN_A_ROW	   2
#define ROW_IN_A_ROW	   5
#define ROW_OUT		   TR_SEC(10)
#define RATE_LEAST_COUNT   20.0
#define RATE_DEVIATIONS	   1.9
#define LOCAL_MOST_PERCENT 30

/*
 * What a target under suspicion gets from this VM: one request in a gap that
 * shrinks by a quarter when it went well and doubles when not, so that a target
 * that does half its work badly stays at a trickle. Gaps are those of the whole
 * cell, times its VMs.
 */
static void adjust_trickle(const struct tr_service *svc,
			   struct tr_target *target, enum tr_signal sign)
{
	apr_time_t vms = svc->cell.count ? (apr_time_t)svc->cell.count : 1;

	if (sign == TR_SIGNAL_SUCCESS)
		target->probe_interval = target->probe_interval / 4 * 3;
	else
		target->probe_interval *= 2;
	if (target->probe_interval < GAP_LEAST * vms)
		target->probe_interval = GAP_LEAST * vms;
	if (target->probe_interval > GAP_MOST * vms)
		target->probe_interval = GAP_MOST * vms;
}

/* This VM's place in the cell, so that trickles of its VMs do not clump. */
static apr_time_t place_in_cell(const struct tr_board *board,
				const struct tr_service *svc)
{
	for (size_t i = 0; i < svc->cell.count; i++)
		if (board->fleet.vms[svc->cell.members[i]].id == board->vm_id)
			return (apr_time_t)i;
	return 0;
}

/*
 * Begin a trickle: requests of the cell, evenly spaced over the detection time
 * that the team asks for, which tell whether the trouble lasts.
 */
static void start_trickle(const struct tr_board *board,
			  const struct tr_service *svc,
			  struct tr_target *target, apr_time_t now)
{
	apr_time_t vms = svc->cell.count ? (apr_time_t)svc->cell.count : 1;
	apr_time_t step = TR_MSEC(svc->document->ejection.detect_ms) /
			  TRICKLES_A_DETECTION;

	target->probe_interval = step * vms;
	target->last_probe_at = now - step * place_in_cell(board, svc);
}

static void cusum_outcome(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target, enum tr_signal sign,
			  apr_time_t now)
{
	struct tr_outcome_batch batch = {
		.source = TR_SOURCE_SELF,
		.vantage = tr_board_vantage(board, svc),
		.well = sign == TR_SIGNAL_SUCCESS,
		.bad = sign == TR_SIGNAL_FAILURE,
		.bad_run = sign == TR_SIGNAL_FAILURE,
	};

	if (sign == TR_SIGNAL_NONE)
		return;
	if (target->avoided || target->order.kind != TR_ORDER_NONE)
		adjust_trickle(svc, target, sign);
	target->evidence.own.well += batch.well;
	target->evidence.own.bad += batch.bad;
	target->evidence.own.bad_run =
		batch.bad ? target->evidence.own.bad_run + 1 : 0;
	tr_evidence_add(&target->evidence, &batch, svc->base_rate, now);
	if (batch.bad && !target->avoided &&
	    target->order.kind == TR_ORDER_NONE &&
	    target->evidence.cell_sum > svc->rules.avoid * URGENT_SHARE &&
	    now - svc->last_urgent_at >= URGENT_GAP)
		svc->last_urgent_at = now;
	svc->outcomes_window += 1;
}

/*
 * Does this VM see most of its targets fail while its peers see them well?
 * Then the fault is its own or its path's. It stops adding to the evidence,
 * since one VM with a broken path would else speak against every target.
 */
static bool suspects_itself(const struct tr_service *svc)
{
	unsigned mine = 0;
	unsigned failing = 0;
	double peers_bad = 0;
	double peers_all = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_evidence *ev = &svc->targets[i].evidence;
		double others = 0;

		if (ev->by_source[TR_SOURCE_SELF] > 0)
			failing += ev->by_source[TR_SOURCE_SELF] >
				   svc->rules.avoid;
		mine += ev->source_at[TR_SOURCE_SELF] != 0;
		for (int s = 1; s < TR_SOURCES; s++)
			others += ev->by_source[s] > svc->rules.avoid;
		peers_bad += others > 0;
		peers_all += 1;
	}
	return mine >= SELF_LEAST_TARGETS && failing >= mine * SELF_SICK_RATE &&
	       peers_bad <= peers_all * SELF_PEERS_RATE;
}

static void update_rules(struct tr_service *svc, apr_time_t now)
{
	double a_day;

	if (now - svc->outcomes_at < RATE_WINDOW)
		return;
	if (svc->outcomes_at && svc->targets_count) {
		a_day = svc->outcomes_window * 1e6 /
			(double)(now - svc->outcomes_at) * SECONDS_PER_DAY *
			(double)(svc->cell.count ? svc->cell.count : 1) /
			svc->targets_count;
		svc->outcomes_per_day = svc->outcomes_per_day * RATE_KEEP +
					a_day * (1 - RATE_KEEP);
	}
	svc->outcomes_window = 0;
	svc->outcomes_at = now;
	tr_evidence_rules_init(&svc->rules, &svc->document->ejection,
			       svc->outcomes_per_day);
}

static void update_base_rate(struct tr_service *svc)
{
	double rates[TR_MAX_TARGETS];
	double latest;

	for (unsigned i = 0; i < svc->targets_count; i++)
		rates[i] = tr_evidence_rate(&svc->targets[i].evidence);
	svc->base_rate = tr_evidence_base_rate(rates, svc->targets_count,
					       svc->rules.least_base);
	for (unsigned i = 0; i < svc->targets_count; i++)
		rates[i] = tr_evidence_latest_rate(&svc->targets[i].evidence);
	latest = tr_evidence_base_rate(rates, svc->targets_count,
				       svc->rules.least_base);
	if (latest > svc->base_rate)
		svc->base_rate = latest;
}

static unsigned count_above(const struct tr_service *svc, int vantage)
{
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_evidence *ev = &svc->targets[i].evidence;
		double sum = vantage < 0 ? ev->cell_sum : ev->here[vantage];

		n += sum >= svc->rules.avoid;
	}
	return n;
}

/*
 * What at least half of the targets show at once is a fault of the service, or
 * of the path from one vantage, and ejecting would burn capacity for nothing.
 * One would notice by the floor reached within a second of such a fault. The
 * base rate follows too, but later than the sums when requests are many.
 */
static void update_shared(struct tr_service *svc)
{
	unsigned half = (svc->targets_count + 1) / 2;

	svc->shared_fault = count_above(svc, -1) >= half;
	svc->shared_fault_vantages = 0;
	for (int v = 0; v < TR_MAX_VANTAGES; v++)
		if (count_above(svc, v) >= half)
			svc->shared_fault_vantages |= 1U << v;
}

/*
 * From which vantages is there enough against the target for the fleet to stop
 * using it? 0: from none.
 */
uint32_t tr_detector_sick_vantages(const struct tr_service *svc,
				   const struct tr_target *target,
				   apr_time_t now)
{
	uint32_t from =
		tr_evidence_sick_vantages(&target->evidence, &svc->rules, now);

	if (from == TR_EVERY_VANTAGE)
		return svc->shared_fault ? 0 : from;
	return from & ~svc->shared_fault_vantages;
}

static void update_avoided(struct tr_board *board, struct tr_service *svc,
			   struct tr_target *target, apr_time_t now)
{
	int vantage = tr_board_vantage(board, svc);
	double here = vantage >= 0 ? target->evidence.here[vantage] : 0;
	double sum = target->evidence.cell_sum > here
			     ? target->evidence.cell_sum
			     : here;

	if (!target->avoided && sum >= svc->rules.avoid) {
		target->avoided = true;
		start_trickle(board, svc, target, now);
		tr_board_event(board, TR_EVENT_AVOID, svc->name, target->name,
			       "evidence %.1f of %.1f", sum, svc->rules.sick);
	} else if (target->avoided && sum < svc->rules.avoid * AVOID_RELEASE) {
		target->avoided = false;
		tr_board_event(board, TR_EVENT_USE, svc->name, target->name,
			       "evidence %.1f of %.1f", sum, svc->rules.sick);
	}
}

static void cusum_step(struct tr_board *board, struct tr_service *svc,
		       apr_time_t now)
{
	update_rules(svc, now);
	for (unsigned i = 0; i < svc->targets_count; i++) {
		tr_evidence_decay(&svc->targets[i].evidence, now);
		update_avoided(board, svc, &svc->targets[i], now);
	}
	update_base_rate(svc);
	update_shared(svc);
	if (suspects_itself(svc) == board->suspects_itself)
		return;
	board->suspects_itself = !board->suspects_itself;
	tr_board_event(board,
		       board->suspects_itself ? TR_EVENT_SUSPECT_SELF
					      : TR_EVENT_TRUST_SELF,
		       svc->name, board->vm_name,
		       "most targets fail from here only");
}

/* The baselines: what common proxies do, each VM alone. */

static unsigned local_out(const struct tr_service *svc, apr_time_t now)
{
	unsigned out = 0;

	for (unsigned i = 0; i < svc->targets_count; i++)
		out += svc->targets[i].local.ejected_until > now;
	return out;
}

static void local_eject(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, apr_time_t now)
{
	unsigned most = svc->targets_count * LOCAL_MOST_PERCENT / 100;

	if (target->local.ejected_until > now)
		return;
	if (local_out(svc, now) >= (most ? most : 1))
		return;
	target->local.times++;
	target->local.ejected_until = now + ROW_OUT * target->local.times;
	svc->counts.ejections++;
	tr_board_event(board, TR_EVENT_EJECT, svc->name, target->name,
		       "%s, this VM alone", svc->detector->name);
}

static void row_outcome(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, enum tr_signal sign,
			apr_time_t now)
{
	if (sign == TR_SIGNAL_SUCCESS)
		target->local.consecutive_failures = 0;
	if (sign != TR_SIGNAL_FAILURE ||
	    ++target->local.consecutive_failures < ROW_IN_A_ROW)
		return;
	target->local.consecutive_failures = 0;
	local_eject(board, svc, target, now);
}

static void rate_outcome(struct tr_board *board, struct tr_service *svc,
			 struct tr_target *target, enum tr_signal sign,
			 apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)now;
	target->evidence.recent_well += sign == TR_SIGNAL_SUCCESS;
	target->evidence.recent_bad += sign == TR_SIGNAL_FAILURE;
}

static double success_rate(const struct tr_evidence *ev)
{
	double n = ev->recent_well + ev->recent_bad;

	return n >= RATE_LEAST_COUNT ? ev->recent_well / n : -1;
}

static void rate_step(struct tr_board *board, struct tr_service *svc,
		      apr_time_t now)
{
	double sum = 0;
	double squares = 0;
	double least;
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		double rate;

		tr_evidence_decay(&svc->targets[i].evidence, now);
		rate = success_rate(&svc->targets[i].evidence);
		if (rate < 0)
			continue;
		sum += rate;
		squares += rate * rate;
		n++;
	}
	if (n < SELF_LEAST_TARGETS)
		return;
	least = sum / n -
		RATE_DEVIATIONS *
			sqrt(fmax(0, squares / n - sum / n * sum / n));
	for (unsigned i = 0; i < svc->targets_count; i++) {
		double rate = success_rate(&svc->targets[i].evidence);

		if (rate >= 0 && rate < least)
			local_eject(board, svc, &svc->targets[i], now);
	}
}

static void health_health(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target, bool well, apr_time_t now)
{
	target->local.consecutive_failures =
		well ? 0 : target->local.consecutive_failures + 1;
	if (well)
		target->local.ejected_until = 0;
	else if (target->local.consecutive_failures >= HEALTH_IN_A_ROW)
		local_eject(board, svc, target, now);
}

static void ignore_outcome(struct tr_board *board, struct tr_service *svc,
			   struct tr_target *target, enum tr_signal sign,
			   apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)target;
	(void)sign;
	(void)now;
}

static void ignore_health(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target, bool well, apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)target;
	(void)well;
	(void)now;
}

static void ignore_step(struct tr_board *board, struct tr_service *svc,
			apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)now;
}

static const struct tr_detector_ops detectors[] = {
	[TR_DETECTOR_CUSUM] = { "cusum", true, cusum_outcome, ignore_health,
				cusum_step },
	[TR_DETECTOR_HEALTH] = { "health", false, ignore_outcome, health_health,
				 ignore_step },
	[TR_DETECTOR_CONSECUTIVE] = { "consecutive", false, row_outcome,
				      ignore_health, ignore_step },
	[TR_DETECTOR_SUCCESS_RATE] = { "success-rate", false, rate_outcome,
				       ignore_health, rate_step },
};

/* The table of a way to detect; the first is the product's own. */
const struct tr_detector_ops *tr_detector(enum tr_detector_kind kind)
{
	return &detectors[kind];
}

const struct tr_detector_ops *tr_detector_by_name(const char *name)
{
	for (size_t i = 0; i < sizeof(detectors) / sizeof(detectors[0]); i++)
		if (!strcmp(detectors[i].name, name))
			return &detectors[i];
	return NULL;
}
