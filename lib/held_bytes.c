/*
 * Bounds the bytes in flight at a target: one that holds more than its memory
 * crashes, and all requests there are lost with it.
 */
#include "held_bytes.h"

/* Largest weight of the mean: once settled, the newest body counts 1 in 40. */
#define MAX_WEIGHT 40.0
/*
 * Bodies of usual size that a target holds at least, whatever its slots: with
 * one, the next body would always wait for the end of the one before.
 */
#define MIN_BODIES 2
/* Bytes in the unit of reports. */
#define KILOBYTE 1000
/* Each change is reported in this many messages, in case one is lost. */
#define REPORTS 2

/* Tells whether a body of this size is counted. */
bool tr_held_bytes_counts(uint64_t body)
{
	return body >= TR_HELD_BODY_MIN;
}

/* Adds a body that is sent. Those that aren't counted don't matter. */
void tr_usual_body_add(struct tr_usual_body *usual, uint64_t body)
{
	if (!tr_held_bytes_counts(body))
		return;
	if (usual->weight < MAX_WEIGHT)
		usual->weight += 1;
	usual->bytes += ((double)body - usual->bytes) / usual->weight;
}

/* Adds the body of one of this VM's requests to the target. */
void tr_held_bytes_add(struct tr_held_bytes *held, uint64_t body)
{
	if (!tr_held_bytes_counts(body))
		return;
	held->own += body;
	held->used = true;
	held->reports_due = REPORTS;
}

/*
 * Removes the body of one of this VM's requests that has ended. answered: by an
 * answer, which shows that the target bore what it held until now.
 */
void tr_held_bytes_remove(struct tr_held_bytes *held, uint64_t body,
			  bool answered)
{
	if (!tr_held_bytes_counts(body))
		return;
	if (answered && held->own + held->others > held->borne)
		held->borne = held->own + held->others;
	held->own -= body;
	held->reports_due = REPORTS;
}

/* Reports what this VM's requests hold once more, if they hold anything. */
void tr_held_bytes_report_again(struct tr_held_bytes *held)
{
	if (held->own)
		held->reports_due = REPORTS;
}

/* Returns the bytes of this VM's requests, in kilobytes rounded up. */
uint32_t tr_held_bytes_kilobytes(const struct tr_held_bytes *held)
{
	uint64_t kilobytes = (held->own + KILOBYTE - 1) / KILOBYTE;

	return kilobytes < UINT32_MAX ? (uint32_t)kilobytes : UINT32_MAX;
}

/* Replaces what another VM reported before by what it reports now. */
void tr_held_bytes_reported(struct tr_held_bytes *held, uint32_t before,
			    uint32_t kilobytes)
{
	uint64_t removed = (uint64_t)before * KILOBYTE;

	/* The row may have been freed and used anew since that report. */
	held->others -= removed < held->others ? removed : held->others;
	held->others += (uint64_t)kilobytes * KILOBYTE;
}

/*
 * Returns how many bytes the target may hold: the most that it was seen to
 * bear, and at least a body of usual size for each of its slots, since it says
 * that it serves that many at a time.
 */
uint64_t tr_held_bytes_bound(const struct tr_held_bytes *held,
			     const struct tr_usual_body *usual, uint32_t slots)
{
	uint32_t bodies = slots > MIN_BODIES ? slots : MIN_BODIES;
	uint64_t least = (uint64_t)(usual->bytes * bodies);

	return held->borne > least ? held->borne : least;
}

/*
 * Tells whether the body can be sent to the target. Before a first body no size
 * is usual, and it can.
 */
bool tr_held_bytes_can_take(const struct tr_held_bytes *held,
			    const struct tr_usual_body *usual, uint32_t slots,
			    uint64_t body)
{
	if (!tr_held_bytes_counts(body) || usual->weight <= 0)
		return true;
	return held->own + held->others + body <=
	       tr_held_bytes_bound(held, usual, slots);
}
