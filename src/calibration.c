/*
 * Compares the probability of being gray that was predicted for a target when
 * it was chosen with the rate of failures there. Predictions that are too low
 * send non-retryable requests to suspect targets; ones that are too high leave
 * healthy targets idle and send reads twice.
 */
#include "calibration.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* A bin with at least MIN_ATTEMPTS is miscalibrated if the rate of failures and
 * the predicted one differ by more than a factor of MAX_RATIO. */
#define MIN_ATTEMPTS 100
#define MAX_RATIO    1.5

/* The lower bounds of the bins. */
static const double bin_edges[CALIBRATION_BINS] = {
	0, 0.03, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3, 0.5, 0.7,
};

static unsigned find_bin(double risk)
{
	unsigned i = 0;

	while (i + 1 < CALIBRATION_BINS && risk >= bin_edges[i + 1])
		i++;
	return i;
}

/*
 * Parses the risk of the first target in a list such as
 * "i-1:0.05:2,i-2:0.30:0". Returns false if there is none.
 */
static bool parse_first_risk(const char *tried, double *risk)
{
	const char *colon = strchr(tried, ':');

	if (!colon)
		return false;
	*risk = strtod(colon + 1, NULL);
	return true;
}

static void count_line(struct calibration *c, const struct logline *line)
{
	const char *tried = logline_get(line, "tried");
	bool retryable = !strcmp(logline_get(line, "kind"), "safe");
	bool resent = strchr(tried, ',') != NULL;
	bool failed = logline_number(line, "status") >= 500;
	struct calibration_bin *bin;
	double risk;

	/* A non-retryable request is sent to a second target only if the first
	 * did not run it. It is not counted. */
	if (!parse_first_risk(tried, &risk) || (!retryable && resent))
		return;
	bin = retryable ? &c->retryable[find_bin(risk)]
			: &c->non_retryable[find_bin(risk)];
	bin->attempts++;
	bin->predicted += risk;
	bin->failures += failed || resent;
}

/* Counts the requests of the log that had a target. */
void calibration_count(struct calibration *c, const GPtrArray *lines)
{
	memset(c, 0, sizeof(*c));
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (!strcmp(logline_get(line, "event"), "request"))
			count_line(c, line);
	}
}

static bool is_miscalibrated(const struct calibration_bin *bin)
{
	double predicted = bin->predicted / bin->attempts;
	double failures = (double)bin->failures / bin->attempts;

	return bin->attempts >= MIN_ATTEMPTS &&
	       (failures > MAX_RATIO * predicted ||
		failures * MAX_RATIO < predicted);
}

static unsigned print_bins(const struct calibration_bin *bins,
			   const char *title, FILE *out)
{
	unsigned miscalibrated = 0;

	fprintf(out, "%s\n", title);
	for (unsigned i = 0; i < CALIBRATION_BINS; i++) {
		const struct calibration_bin *bin = &bins[i];

		if (!bin->attempts)
			continue;
		miscalibrated += is_miscalibrated(bin);
		fprintf(out,
			"  from %.2f  %6u attempts  predicted %.3f  failed %.3f%s\n",
			bin_edges[i], bin->attempts,
			bin->predicted / bin->attempts,
			(double)bin->failures / bin->attempts,
			is_miscalibrated(bin) ? "  off" : "");
	}
	return miscalibrated;
}

/*
 * Prints the bins that are not empty as text. Returns the number of
 * miscalibrated ones, which are marked "off".
 */
unsigned calibration_print(const struct calibration *c, FILE *out)
{
	return print_bins(
		       c->non_retryable,
		       "non-retryable requests, by the predicted risk of the target",
		       out) +
	       print_bins(
		       c->retryable,
		       "retryable requests; sending one again counts as a failure",
		       out);
}
