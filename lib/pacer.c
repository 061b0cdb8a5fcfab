#include "pacer.h"

/* Seconds of the rate that can be saved up, for the first moments of a fault.
 */
#define SAVED_S 3.0

/* Is anything left of the rate, in bytes a second? */
bool tr_pacer_allows(struct tr_pacer *pacer, double rate, apr_time_t now)
{
	double most = rate * SAVED_S;

	if (!pacer->at)
		pacer->spare = most;
	else
		pacer->spare += rate * (double)(now - pacer->at) / 1e6;
	if (pacer->spare > most)
		pacer->spare = most;
	pacer->at = now;
	return pacer->spare > 0;
}

/* What was sent counts, also where it had to go whatever was left. */
void tr_pacer_consume(struct tr_pacer *pacer, double bytes)
{
	pacer->spare -= bytes;
}
