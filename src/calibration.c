/*
 * What is stated of targets when they are chosen, held against what happened
 * there. A chance that is stated too low sends what must run once to suspects;
 * one that is too high leaves sound targets idle and sends reads twice.
 */
#include "calibration.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* A row says something from so many attempts on, and is off when what happened
 * is so many times what was stated, or as much less. */
#define TELLS_FROM 100
#define OFF_BY	   1.5

/* Where the ranges begin. */
static const double edges[CALIBRATION_BINS] = {
	0, 0.03, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3, 0.5, 0.7,
};

static unsigned bin_of(double risk)
{
	unsigned i = 0;

	while (i + 1 < CALIBRATION_BINS && risk >= edges[i + 1])
		i++;
	return i;
}

/* The first target's risk, as in "i-1:0.05:2,i-2:0.30:0"; false without one. */
static bool first_risk(const char *tried, double *risk)
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
	bool repeatable = !strcmp(logline_get(line, "kind"), "safe");
	bool more = strchr(tried, ',') != NULL;
	bool failed = logline_number(line, "status") >= 500;
	struct calibration_bin *bin;
	double risk;

	/* Of what must run once only a target that ran nothing has a next. */
	if (!first_risk(tried, &risk) || (!repeatable && more))
		return;
	bin = repeatable ? &c->repeatable[bin_of(risk)]
			 : &c->once[bin_of(risk)];
	bin->attempts++;
	bin->stated += risk;
	bin->wrong += failed || more;
}

/* Count all requests that had a target. */
void calibration_count(struct calibration *c, const GPtrArray *lines)
{
	memset(c, 0, sizeof(*c));
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (!strcmp(logline_get(line, "event"), "request"))
			count_line(c, line);
	}
}

static bool is_off(const struct calibration_bin *bin)
{
	double stated = bin->stated / bin->attempts;
	double wrong = (double)bin->wrong / bin->attempts;

	return bin->attempts >= TELLS_FROM &&
	       (wrong > OFF_BY * stated || wrong * OFF_BY < stated);
}

static unsigned print_bins(const struct calibration_bin *bins,
			   const char *title, FILE *out)
{
	unsigned off = 0;

	fprintf(out, "%s\n", title);
	for (unsigned i = 0; i < CALIBRATION_BINS; i++) {
		const struct calibration_bin *bin = &bins[i];

		if (!bin->attempts)
			continue;
		off += is_off(bin);
		fprintf(out,
			"  from %.2f  %6u attempts  stated %.3f  went wrong %.3f%s\n",
			edges[i], bin->attempts, bin->stated / bin->attempts,
			(double)bin->wrong / bin->attempts,
			is_off(bin) ? "  off" : "");
	}
	return off;
}

/* The table as text; how many rows are off. */
unsigned calibration_print(const struct calibration *c, FILE *out)
{
	return print_bins(c->once, "what must run once, by its target's chance",
			  out) +
	       print_bins(c->repeatable,
			  "what may be sent once more; that counts as wrong",
			  out);
}
