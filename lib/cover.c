/*
 * The share of a service's targets that must be kept at work. Suspicion alone
 * could empty a service: gray spells end by themselves, and with a third of the
 * targets under suspicion the others get all the work. One would notice by
 * sound targets that get no request for seconds. So when too few are at work,
 * one more is due, whatever is suspected of it.
 */
#include "cover.h"

#include <math.h>

#include "clock.h"

/* The span in which operators look is two seconds; a little less, so that the
 * request that is due is on its way before it ends. */
#define USED_SPAN TR_MSEC(1450)
/* A request that may be sent once more is due sooner, so that suspects get it
 * rather than one that must run once: at a service where one in five may, 0.043
 * instead of 0.045 of all requests failed (18 paired days). Half of the other
 * span gained no more. */
#define SCOUT_SPAN TR_MSEC(800)
/* Time in which the fleet sends the request that is due to a target, in s, each
 * VM by chance: several times what news takes, since what is sent to a gray
 * target is mostly lost, and short enough that it is on its way in the span. */
#define EVEN_S 0.2
/* A target that has failed is no sound one for so long (the operators' rule).
 * Nearly half of the suspects are so at any time, so it halves what must be
 * sent to them. */
#define UNSOUND_FOR TR_SEC(2)
/* Operators leave out the targets that are disturbed, some four in ten on the
 * days they look at, and nobody tells which they are: of the rest the share at
 * work is another one by chance, and the more so the fewer they are. So much
 * more is kept at work, in standard deviations of that. In the load test two
 * lose 0.009 more of what must run once at 140 targets and keep nothing more;
 * without any, one window in 8 is short at a service of 28. */
#define COUNTED	   0.6
#define DEVIATIONS 1.0
/* From this share of failing requests on all are kept at work that can be:
 * operators look from there. */
#define FAILING 0.1
/* Targets that are gray with more than this chance are let idle: hardly one in
 * two of them is sound, and three in four requests at a gray one are lost. With
 * 0.5 one window in 14 is short at a service of 22 targets, one in 50 with 0.6,
 * for 0.004 of its requests; at 82 targets neither makes a difference (the load
 * test). The second holds while many fail; without it what fails there keeps
 * the failing share up by itself (0.070 instead of 0.032 of a quiet day's
 * requests failed, 96 VMs before 183 targets). */
#define RISKIEST	 0.6
#define RISKIEST_FAILING 0.7
/* Requests a target within the last seconds from which on each can have its
 * own. */
#define LEAST_WORK 1.0

/* Begin to look at a service. scout tells that the request may be sent once
 * more. */
void tr_cover_init(struct tr_cover *cover, bool scout)
{
	*cover = (struct tr_cover){
		.span = scout ? SCOUT_SPAN : USED_SPAN,
	};
}

/* Keep those that are most probably well, in order. */
static void add_idle(struct tr_cover *cover, uint32_t row, double risk)
{
	unsigned i = cover->idle_count;

	if (i < TR_COVER_IDLE)
		cover->idle_count++;
	else if (risk >= cover->idle[--i].risk)
		return;
	for (; i && risk < cover->idle[i - 1].risk; i--)
		cover->idle[i] = cover->idle[i - 1];
	cover->idle[i] = (struct tr_cover_idle){ row, risk };
}

/*
 * Look at one target of the service, with its chance of being gray; fits tells
 * whether a request could be sent to it now.
 */
void tr_cover_see(struct tr_cover *cover, const struct tr_instance *row,
		  uint32_t at, double risk, bool fits, apr_time_t now)
{
	apr_time_t idle = now - row->used_at;
	double well = 1 - risk;

	if (idle < cover->span) {
		cover->sound += well;
		cover->used += well;
		return;
	}
	if ((row->failed_at && now - row->failed_at < UNSOUND_FOR) ||
	    now - row->known_since < UNSOUND_FOR)
		return;
	cover->sound += well;
	if (fits)
		add_idle(cover, at, risk);
}

/* A target that another group keeps at work. */
void tr_cover_see_away(struct tr_cover *cover, double risk)
{
	cover->sound_away += 1 - risk;
}

static double margin(const struct tr_cover *cover, double share)
{
	double counted = COUNTED * (cover->sound + cover->sound_away);

	if (counted < 1)
		return 1 - share;
	return DEVIATIONS * sqrt(share * (1 - share) / counted);
}

/*
 * The target that is due for this request so that the share is at work, or
 * TR_NO_ROW. drawn is a number drawn evenly from 0 to 1.
 *
 * Each target counts by the chance that it is well: a gray one is no sound one.
 * While each counted as one, seven in ten of all had to be at work where three
 * in ten were gray, so that of what must run once one in fifty was sent to
 * suspects for nothing else.
 *
 * All VMs see the same targets idle, and hear of each other's requests only
 * later. So each sends by a chance, by which all VMs together send one request
 * to each target that is due in some times what news takes.
 */
uint32_t tr_cover_due(const struct tr_cover *cover, double share,
		      const struct tr_cover_work *work, double drawn)
{
	bool few_fail = work->failing < FAILING;
	double riskiest = few_fail ? RISKIEST : RISKIEST_FAILING;
	double wanted = cover->sound;
	double at = drawn * work->rate * EVEN_S;

	if (few_fail)
		wanted *= fmin(1, share + margin(cover, share));
	if (work->outcomes < LEAST_WORK * cover->sound ||
	    at >= wanted - cover->used || at >= cover->idle_count ||
	    cover->idle[(unsigned)at].risk > riskiest)
		return TR_NO_ROW;
	return cover->idle[(unsigned)at].row;
}
