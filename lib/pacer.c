#include "pacer.h"

/*
 * Size of the bucket in seconds of its rate, which allows a burst when a fault
 * begins.
 */
#define BURST_S 3.0

/*
 * Refills the bucket at rate, in bytes a second, and returns whether any tokens
 * are left.
 */
bool tr_pacer_allows(struct tr_pacer *pacer, double rate, apr_time_t now)
{
	double max = rate * BURST_S;

	if (!pacer->at)
		pacer->tokens = max;
	else
		pacer->tokens += rate * (double)(now - pacer->at) / 1e6;
	if (pacer->tokens > max)
		pacer->tokens = max;
	pacer->at = now;
	return pacer->tokens > 0;
}

/*
 * Takes bytes that were sent. The bucket may fall below zero: some messages are
 * sent whatever is left, and later ones wait for it.
 */
void tr_pacer_consume(struct tr_pacer *pacer, double bytes)
{
	pacer->tokens -= bytes;
}
