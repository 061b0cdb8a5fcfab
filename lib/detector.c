/*
 * The detectors. The CUSUM detector collects evidence and avoids suspect
 * targets; ejections that it leads to need an order of the service's owner, see
 * permit.c.
 */
#include "detector.h"

#include <math.h>
#include <string.h>

#define SELF_MIN_TARGETS   3
#define SELF_FAILING_SHARE 0.5
#define SELF_PEERS_SHARE   0.2
#define RATE_WINDOW	   TR_SEC(5)
#define RATE_WEIGHT_OLD	   0.5
#define SECONDS_PER_DAY	   86400.0
#define URGENT_GAP	   TR_SEC(1)
#define URGENT_SHARE	   0.4
#define AVOID_RELEASE	   0.5
/*
 * Probes that the whole cell sends to a suspect target within the detection
 * time. All of them must fail before it is ejected; a target that was stalled
 * for only a part of that time will have answered one.
 */
#define PROBES_PER_DETECTION 16
#define MIN_INTERVAL	     TR_MSEC(10)
#define PROBE_INTERVAL_MAX   TR_MSEC(2000)

#define HEALTH_FAILURES		 2
#define CONSECUTIVE_FAILURES	 5
#define LOCAL_EJECTION_TIME	 TR_SEC(10)
#define SUCCESS_RATE_MIN_SAMPLES 20.0
#define SUCCESS_RATE_DEVIATIONS	 1.9
#define LOCAL_MAX_PERCENT	 30

/*
 * Adapts the interval at which this VM probes a suspect target: it shrinks by a
 * quarter after a success and doubles after a failure, so that a target that
 * fails half its requests stays at few. The bounds are for the whole cell,
 * hence the factor of its number of VMs.
 */
static void adjust_probe_interval(const struct tr_service *svc,
				  struct tr_target *target,
				  enum tr_signal signal)
{
	apr_time_t vms = svc->cell.count ? (apr_time_t)svc->cell.count : 1;

	if (signal == TR_SIGNAL_SUCCESS)
		target->probe_interval = target->probe_interval / 4 * 3;
	else
		target->probe_interval *= 2;
	if (target->probe_interval < MIN_INTERVAL * vms)
		target->probe_interval = MIN_INTERVAL * vms;
	if (target->probe_interval > PROBE_INTERVAL_MAX * vms)
		target->probe_interval = PROBE_INTERVAL_MAX * vms;
}

/* Returns this VM's index in the cell, used to spread the probes of its VMs. */
static apr_time_t index_in_cell(const struct tr_board *board,
				const struct tr_service *svc)
{
	for (size_t i = 0; i < svc->cell.count; i++)
		if (board->fleet.vms[svc->cell.members[i]].id == board->vm_id)
			return (apr_time_t)i;
	return 0;
}

/*
 * Starts to probe a suspect target: the requests of the cell are spread evenly
 * over the detection time that the document gives, and show whether the fault
 * lasts.
 */
static void start_probing(const struct tr_board *board,
			  const struct tr_service *svc,
			  struct tr_target *target, apr_time_t now)
{
	apr_time_t vms = svc->cell.count ? (apr_time_t)svc->cell.count : 1;
	apr_time_t step = TR_MSEC(svc->document->ejection.detect_ms) /
			  PROBES_PER_DETECTION;

	target->probe_interval = step * vms;
	target->last_probe_at = now - step * index_in_cell(board, svc);
}

static void cusum_outcome(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target, enum tr_signal signal,
			  apr_time_t now)
{
	struct tr_outcome_batch batch = {
		.source = TR_SOURCE_SELF,
		.vantage = tr_board_vantage(board, svc),
		.well = signal == TR_SIGNAL_SUCCESS,
		.bad = signal == TR_SIGNAL_FAILURE,
		.bad_run = signal == TR_SIGNAL_FAILURE,
	};

	if (signal == TR_SIGNAL_NONE)
		return;
	if (target->avoided || target->order.kind != TR_ORDER_NONE)
		adjust_probe_interval(svc, target, signal);
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
 * Returns whether most targets fail for this VM but not for its peers, which
 * means that the fault is in this VM or its network path. Peers then ignore its
 * reports, since it would otherwise accuse every target.
 */
static bool suspects_itself(const struct tr_service *svc)
{
	unsigned used = 0;
	unsigned failing = 0;
	double accused_by_peers = 0;
	double total = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_evidence *ev = &svc->targets[i].evidence;
		double accusers = 0;

		if (ev->by_source[TR_SOURCE_SELF] > 0)
			failing += ev->by_source[TR_SOURCE_SELF] >
				   svc->rules.avoid;
		used += ev->source_at[TR_SOURCE_SELF] != 0;
		for (int s = 1; s < TR_SOURCES; s++)
			accusers += ev->by_source[s] > svc->rules.avoid;
		accused_by_peers += accusers > 0;
		total += 1;
	}
	return used >= SELF_MIN_TARGETS &&
	       failing >= used * SELF_FAILING_SHARE &&
	       accused_by_peers <= total * SELF_PEERS_SHARE;
}

static void update_rules(struct tr_service *svc, apr_time_t now)
{
	double per_day;

	if (now - svc->outcomes_at < RATE_WINDOW)
		return;
	if (svc->outcomes_at && svc->targets_count) {
		per_day = svc->outcomes_window * 1e6 /
			  (double)(now - svc->outcomes_at) * SECONDS_PER_DAY *
			  (double)(svc->cell.count ? svc->cell.count : 1) /
			  svc->targets_count;
		svc->outcomes_per_day =
			svc->outcomes_per_day * RATE_WEIGHT_OLD +
			per_day * (1 - RATE_WEIGHT_OLD);
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
					       svc->rules.min_base_rate);
	for (unsigned i = 0; i < svc->targets_count; i++)
		rates[i] = tr_evidence_latest_rate(&svc->targets[i].evidence);
	latest = tr_evidence_base_rate(rates, svc->targets_count,
				       svc->rules.min_base_rate);
	if (latest > svc->base_rate)
		svc->base_rate = latest;
}

static unsigned count_avoidable(const struct tr_service *svc, int vantage)
{
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_evidence *ev = &svc->targets[i].evidence;
		double sum =
			vantage < 0 ? ev->cell_sum : ev->vantage_sum[vantage];

		n += sum >= svc->rules.avoid;
	}
	return n;
}

/*
 * Finds faults that at least half of the targets show at once: these are faults
 * of the service, or of the path from one vantage, and ejecting targets would
 * only cost capacity. Without this, targets are ejected down to the floor
 * within a second of such a fault: at high request rates, the base rate follows
 * later than the sums.
 */
static void update_shared_fault(struct tr_service *svc)
{
	unsigned half = (svc->targets_count + 1) / 2;

	svc->shared_fault = count_avoidable(svc, -1) >= half;
	svc->shared_fault_vantages = 0;
	for (int v = 0; v < TR_MAX_VANTAGES; v++)
		if (count_avoidable(svc, v) >= half)
			svc->shared_fault_vantages |= 1U << v;
}

/*
 * Returns the vantages from which the evidence suffices to eject the target, as
 * a bit mask, without those that see a shared fault; 0 for none.
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
	double vantage_sum =
		vantage >= 0 ? target->evidence.vantage_sum[vantage] : 0;
	double sum = target->evidence.cell_sum > vantage_sum
			     ? target->evidence.cell_sum
			     : vantage_sum;

	if (!target->avoided && sum >= svc->rules.avoid) {
		target->avoided = true;
		start_probing(board, svc, target, now);
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
	update_shared_fault(svc);
	if (suspects_itself(svc) == board->suspects_itself)
		return;
	board->suspects_itself = !board->suspects_itself;
	tr_board_event(board,
		       board->suspects_itself ? TR_EVENT_SUSPECT_SELF
					      : TR_EVENT_TRUST_SELF,
		       svc->name, board->vm_name,
		       "most targets fail from this VM only");
}

/* The baseline detectors: what common proxies do, on each VM alone. */

static unsigned local_ejected_count(const struct tr_service *svc,
				    apr_time_t now)
{
	unsigned out = 0;

	for (unsigned i = 0; i < svc->targets_count; i++)
		out += svc->targets[i].local.ejected_until > now;
	return out;
}

static void local_eject(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, apr_time_t now)
{
	unsigned max = svc->targets_count * LOCAL_MAX_PERCENT / 100;

	if (target->local.ejected_until > now)
		return;
	if (local_ejected_count(svc, now) >= (max ? max : 1))
		return;
	target->local.times++;
	target->local.ejected_until =
		now + LOCAL_EJECTION_TIME * target->local.times;
	svc->counts.ejections++;
	tr_board_event(board, TR_EVENT_EJECT, svc->name, target->name,
		       "%s, this VM alone", svc->detector->name);
}

static void consecutive_outcome(struct tr_board *board, struct tr_service *svc,
				struct tr_target *target, enum tr_signal signal,
				apr_time_t now)
{
	if (signal == TR_SIGNAL_SUCCESS)
		target->local.consecutive_failures = 0;
	if (signal != TR_SIGNAL_FAILURE ||
	    ++target->local.consecutive_failures < CONSECUTIVE_FAILURES)
		return;
	target->local.consecutive_failures = 0;
	local_eject(board, svc, target, now);
}

static void success_rate_outcome(struct tr_board *board, struct tr_service *svc,
				 struct tr_target *target,
				 enum tr_signal signal, apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)now;
	target->evidence.recent_well += signal == TR_SIGNAL_SUCCESS;
	target->evidence.recent_bad += signal == TR_SIGNAL_FAILURE;
}

static double success_rate(const struct tr_evidence *ev)
{
	double n = ev->recent_well + ev->recent_bad;

	return n >= SUCCESS_RATE_MIN_SAMPLES ? ev->recent_well / n : -1;
}

static void success_rate_step(struct tr_board *board, struct tr_service *svc,
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
	if (n < SELF_MIN_TARGETS)
		return;
	least = sum / n -
		SUCCESS_RATE_DEVIATIONS *
			sqrt(fmax(0, squares / n - sum / n * sum / n));
	for (unsigned i = 0; i < svc->targets_count; i++) {
		double rate = success_rate(&svc->targets[i].evidence);

		if (rate >= 0 && rate < least)
			local_eject(board, svc, &svc->targets[i], now);
	}
}

static void health_check(struct tr_board *board, struct tr_service *svc,
			 struct tr_target *target, bool well, apr_time_t now)
{
	target->local.consecutive_failures =
		well ? 0 : target->local.consecutive_failures + 1;
	if (well)
		target->local.ejected_until = 0;
	else if (target->local.consecutive_failures >= HEALTH_FAILURES)
		local_eject(board, svc, target, now);
}

static void ignore_outcome(struct tr_board *board, struct tr_service *svc,
			   struct tr_target *target, enum tr_signal signal,
			   apr_time_t now)
{
	(void)board;
	(void)svc;
	(void)target;
	(void)signal;
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
	[TR_DETECTOR_HEALTH] = { "health", false, ignore_outcome, health_check,
				 ignore_step },
	[TR_DETECTOR_CONSECUTIVE] = { "consecutive", false, consecutive_outcome,
				      ignore_health, ignore_step },
	[TR_DETECTOR_SUCCESS_RATE] = { "success-rate", false,
				       success_rate_outcome, ignore_health,
				       success_rate_step },
};

/* Returns the operations of a detector. */
const struct tr_detector_ops *tr_detector(enum tr_detector_kind kind)
{
	return &detectors[kind];
}

/* Returns the detector of that name, or NULL. */
const struct tr_detector_ops *tr_detector_by_name(const char *name)
{
	for (size_t i = 0; i < sizeof(detectors) / sizeof(detectors[0]); i++)
		if (!strcmp(detectors[i].name, name))
			return &detectors[i];
	return NULL;
}
