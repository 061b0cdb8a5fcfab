/*
 * Draws losses over time as a self-contained SVG: one bar per second, one
 * colour per cause. The height is the share of that second's requests.
 */
#include <glib.h>

#include "losses.h"

#define BAR_WIDTH    14
#define MARGIN_LEFT  60
#define MARGIN_TOP   24
#define CHART_HEIGHT 260
#define LEGEND_WIDTH 340
/* Height of a row of the legend. */
#define ROW 18
/* Seconds between two ticks of the time axis. */
#define TICK_S 5

static const char *const colours[LOSS_CAUSE_COUNT] = {
	"#adb5bd", "#f4a261", "#e9c46a", "#457b9d", "#9d4edd",
	"#d62828", "#6c757d", "#2a9d8f", "#1d3557", "#264653",
	"#8d6e63", "#000000", "#cfe8fc",
};

static double loss_share(const struct loss_second *s, int cause)
{
	return s->requests ? (double)s->lost[cause] / s->requests : 0;
}

static double max_loss_share(const struct losses *losses)
{
	double max_share = 0.05;

	for (guint i = 0; i < losses->seconds->len; i++) {
		const struct loss_second *s =
			&g_array_index(losses->seconds, struct loss_second, i);
		double sum = 0;

		for (int c = 0; c < LOSS_CAUSE_COUNT; c++)
			sum += loss_share(s, c);
		max_share = MAX(max_share, sum);
	}
	return max_share;
}

static void draw_bar(GString *out, const struct loss_second *s, guint at,
		     double max_share)
{
	double y = MARGIN_TOP + CHART_HEIGHT;

	for (int c = 0; c < LOSS_CAUSE_COUNT; c++) {
		double h = loss_share(s, c) / max_share * CHART_HEIGHT;

		if (h <= 0)
			continue;
		y -= h;
		g_string_append_printf(
			out,
			"<rect x='%u' y='%.1f' width='%d' height='%.1f' "
			"fill='%s'><title>second %u: %u of %u, %s</title>"
			"</rect>\n",
			MARGIN_LEFT + at * BAR_WIDTH, y, BAR_WIDTH - 2, h,
			colours[c], at, s->lost[c], s->requests,
			loss_cause_description(c));
	}
	if (at % TICK_S == 0)
		g_string_append_printf(out, "<text x='%u' y='%d'>%u s</text>\n",
				       MARGIN_LEFT + at * BAR_WIDTH,
				       MARGIN_TOP + CHART_HEIGHT + 14, at);
}

static void draw_axis(GString *out, double max_share, unsigned width)
{
	for (int i = 0; i <= 4; i++) {
		int y = MARGIN_TOP + CHART_HEIGHT - CHART_HEIGHT * i / 4;

		g_string_append_printf(
			out,
			"<line x1='%d' x2='%u' y1='%d' y2='%d' "
			"stroke='#e5e5e5'/><text x='8' y='%d'>%.1f%%</text>\n",
			MARGIN_LEFT, width, y, y, y + 4, max_share * 25 * i);
	}
}

static void draw_legend(GString *out, unsigned x)
{
	for (int c = 0; c < LOSS_CAUSE_COUNT; c++)
		g_string_append_printf(
			out,
			"<rect x='%u' y='%d' width='10' height='10' "
			"fill='%s'/><text x='%u' y='%d'>%s</text>\n",
			x, MARGIN_TOP + c * ROW, colours[c], x + 16,
			MARGIN_TOP + c * ROW + 9, loss_cause_description(c));
}

/* Returns the SVG text; release it with g_free. */
char *losses_svg(const struct losses *losses)
{
	unsigned width =
		MARGIN_LEFT + losses->seconds->len * BAR_WIDTH + BAR_WIDTH;
	double max_share = max_loss_share(losses);
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%u' "
		"height='%d' font-family='sans-serif' font-size='11'>\n"
		"<rect width='100%%' height='100%%' fill='#fff'/>\n",
		width + LEGEND_WIDTH, MARGIN_TOP + CHART_HEIGHT + 30);
	draw_axis(out, max_share, width);
	for (guint i = 0; i < losses->seconds->len; i++)
		draw_bar(out,
			 &g_array_index(losses->seconds, struct loss_second, i),
			 i, max_share);
	draw_legend(out, width + 12);
	g_string_append(out, "</svg>\n");
	return g_string_free(out, FALSE);
}
