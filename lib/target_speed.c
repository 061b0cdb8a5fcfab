/*
 * Learns a target's speed from the stages of its answers. The stages begin at
 * fixed quantiles of a log-normal distribution, so their frequencies tell by
 * how much the target's response times are shifted against the service's. Each
 * answer moves the estimate by its score divided by the precision reached, as
 * an extended Kalman filter does, so that no counts have to be kept.
 */
#include "target_speed.h"

#include <math.h>

/*
 * Time constant of the decay, in seconds. A target answers about three requests
 * a second, so an estimate rests on two dozen answers. A change of speed is
 * noticed within about as long as a gray failure lasts.
 */
#define DECAY_S 8.0
/*
 * The same for what is learned while the target is nearly full. A target that
 * slows is kept below that point and so gives little new evidence; with the
 * shorter time it would be tried beyond the point again every few seconds.
 */
#define FULL_DECAY_S 24.0
/*
 * Inverse of the prior variance of an offset. Targets of a service rarely
 * differ by more than a factor of two; with a wider prior, a target whose
 * answers were all prompt would count as several times faster than it is.
 */
#define PRIOR_PRECISION 2.0
/*
 * Largest offset of either sign. Beyond it nearly all answers are in the first
 * or in the last stage and tell no more.
 */
#define MAX_OFFSET 3.0
/* A target is nearly full while more than this share of its slots is in use. */
#define NEARLY_FULL_SHARE 0.8
/*
 * Factor from which a target counts as slowing when nearly full. The estimate
 * of its logarithm has a standard deviation of about 0.2, so some targets that
 * don't slow reach this too. That does no harm: they are used up to the same
 * point as the others that slow, and beyond it where no other has room.
 */
#define SLOWING_FACTOR 1.25
/* Probabilities below this are rounding errors. */
#define MIN_PROBABILITY 1e-9

static double normal_density(double x)
{
	return exp(-x * x / 2) / sqrt(2 * M_PI);
}

static double normal_distribution(double x)
{
	return erfc(-x / M_SQRT2) / 2;
}

/* Returns the stage in which the answer came, or -1 if it is no answer. */
static int answer_stage(enum tr_symptom symptom)
{
	for (int s = TR_STAGE_NORMAL; s <= TR_STAGE_OVERDUE; s++)
		if (tr_gray_answer_symptom((enum tr_request_stage)s) == symptom)
			return s;
	return -1;
}

/*
 * Returns the derivative of the log-likelihood of an answer in the stage with
 * respect to the shift of the response times. Sets *information to the mean of
 * its square over all stages.
 */
static double score(int stage, double shift, double *information)
{
	double density = 0;
	double below = 0;
	double result = 0;

	*information = 0;
	for (int s = TR_STAGE_NORMAL; s <= TR_STAGE_OVERDUE; s++) {
		bool last = s == TR_STAGE_OVERDUE;
		double end = last ? 0
				  : tr_gray_stage_deviation(
					    (enum tr_request_stage)(s + 1)) -
					     shift;
		double end_density = last ? 0 : normal_density(end);
		double end_below = last ? 1 : normal_distribution(end);
		double probability = fmax(end_below - below, MIN_PROBABILITY);
		double derivative = (density - end_density) / probability;

		*information += probability * derivative * derivative;
		if (s == stage)
			result = derivative;
		density = end_density;
		below = end_below;
	}
	return result;
}

/* Returns the share of the information that is left since updated_at. */
static double kept_share(apr_time_t updated_at, double decay_s, apr_time_t now)
{
	return exp(-fmax((double)(now - updated_at), 0) / 1e6 / decay_s);
}

/*
 * Returns the offset after only the given share of its information is left,
 * which moves it towards 0.
 */
static struct tr_speed_offset decayed(const struct tr_speed_offset *offset,
				      double kept)
{
	double information = offset->information;
	double weight = kept * (information + PRIOR_PRECISION) /
			(kept * information + PRIOR_PRECISION);

	return (struct tr_speed_offset){
		.mean = (float)(offset->mean * weight),
		.information = (float)(information * kept),
	};
}

/* Moves both offsets of a target to the given time. */
static void decay(struct tr_target_speed *speed, apr_time_t now)
{
	apr_time_t since = speed->updated_at;

	speed->usual = decayed(&speed->usual, kept_share(since, DECAY_S, now));
	speed->full =
		decayed(&speed->full, kept_share(since, FULL_DECAY_S, now));
	speed->updated_at = now;
}

/* Adds answers that came in the stage, shifted by base besides the offset. */
static void add_answers(struct tr_speed_offset *offset, double base, int stage,
			unsigned times)
{
	double information;
	double derivative = score(stage, base + offset->mean, &information);
	double mean;

	offset->information += (float)(times * information);
	mean = offset->mean +
	       times * derivative / (offset->information + PRIOR_PRECISION);
	offset->mean = (float)fmin(MAX_OFFSET, fmax(-MAX_OFFSET, mean));
}

/*
 * Returns how many requests a target with these slots holds at most without
 * being nearly full; one at least.
 */
uint32_t tr_target_speed_room(uint32_t slots)
{
	uint32_t room = (uint32_t)(NEARLY_FULL_SHARE * slots);

	return room ? room : 1;
}

/* Adds the latest sample. */
void tr_held_history_add(struct tr_held_history *history, uint32_t held)
{
	history->next = (uint8_t)((history->next + 1) % TR_HELD_SAMPLES);
	history->held[history->next] =
		(uint8_t)(held < UINT8_MAX ? held : UINT8_MAX);
}

/*
 * Returns the sample that was taken this many samples before the latest, or the
 * oldest one.
 */
uint32_t tr_held_history_at(const struct tr_held_history *history,
			    unsigned samples_ago)
{
	if (samples_ago >= TR_HELD_SAMPLES)
		samples_ago = TR_HELD_SAMPLES - 1;
	return history->held[(history->next + TR_HELD_SAMPLES - samples_ago) %
			     TR_HELD_SAMPLES];
}

/*
 * Returns about how long a request took that the target answered with this
 * symptom, as a factor of the service's mean time; 0 if it is no answer. The
 * mean of a normal distribution within an interval is its mean plus the score.
 */
double tr_target_speed_took(const struct tr_target_speed *speed,
			    const struct tr_service_speed *service,
			    enum tr_symptom symptom, double spread)
{
	double shift = service->offset.mean + speed->usual.mean;
	int stage = answer_stage(symptom);
	double information;

	if (stage < 0)
		return 0;
	shift += score(stage, shift, &information);
	return exp(spread * shift - spread * spread / 2);
}

/* Adds outcomes of the service's requests. Those without an answer don't count.
 */
void tr_service_speed_add(struct tr_service_speed *service,
			  enum tr_symptom symptom, unsigned times,
			  apr_time_t now)
{
	double kept = kept_share(service->updated_at, DECAY_S, now);
	int stage = answer_stage(symptom);

	if (stage < 0)
		return;
	service->offset = decayed(&service->offset, kept);
	service->updated_at = now;
	add_answers(&service->offset, 0, stage, times);
}

/*
 * Adds outcomes of requests at a target. Those without an answer don't count:
 * a target that hangs is gray, not slow. nearly_full: it held more than
 * tr_target_speed_room() requests when they were sent.
 */
void tr_target_speed_add(struct tr_target_speed *speed,
			 const struct tr_service_speed *service,
			 enum tr_symptom symptom, unsigned times,
			 bool nearly_full, apr_time_t now)
{
	double base = service->offset.mean;
	int stage = answer_stage(symptom);

	if (stage < 0)
		return;
	decay(speed, now);
	if (nearly_full)
		add_answers(&speed->full, base + speed->usual.mean, stage,
			    times);
	else
		add_answers(&speed->usual, base, stage, times);
}

/*
 * Returns by what factors requests take longer at the target than at the
 * service's targets together; 1 if nothing is known. spread is the standard
 * deviation of the logarithm of the service's response times.
 */
struct tr_speed_factors
tr_target_speed_factors(const struct tr_target_speed *speed, double spread,
			apr_time_t now)
{
	struct tr_speed_factors factors = { 1, 1, false };
	struct tr_target_speed current = *speed;
	double usual;
	double extra;

	if (!speed->updated_at)
		return factors;
	decay(&current, now);
	usual = spread * current.usual.mean;
	extra = fmax(0, spread * current.full.mean);
	factors.usual = exp(usual);
	factors.full = exp(usual + extra);
	factors.slows = extra >= log(SLOWING_FACTOR);
	return factors;
}

/*
 * Returns how many answers the factors rest on, as the equivalent number of
 * recent ones at a target of usual speed.
 */
double tr_target_speed_answers(const struct tr_target_speed *speed,
			       apr_time_t now)
{
	struct tr_target_speed current = *speed;
	double per_answer;

	decay(&current, now);
	score(TR_STAGE_NORMAL, 0, &per_answer);
	return (current.usual.information + current.full.information) /
	       per_answer;
}
