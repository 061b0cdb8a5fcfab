/* Losses over time as one self-contained picture: a bar a second, a colour a
 * cause, the part of the second's requests as its height. */
#include <glib.h>

#include "losses.h"

#define BAR    14
#define LEFT   60
#define TOP    24
#define HEIGHT 260
#define LEGEND 340
#define ROW    18
/* Seconds between two marks below the bars. */
#define MARK_S 5

static const char *const colours[LOSS_CAUSES] = {
	"#adb5bd", "#f4a261", "#e9c46a", "#457b9d", "#9d4edd",
	"#d62828", "#6c757d", "#2a9d8f", "#1d3557", "#264653",
	"#8d6e63", "#000000", "#cfe8fc",
};

static double part(const struct loss_second *s, int cause)
{
	return s->asked ? (double)s->lost[cause] / s->asked : 0;
}

static double highest(const struct losses *losses)
{
	double most = 0.05;

	for (guint i = 0; i < losses->seconds->len; i++) {
		const struct loss_second *s =
			&g_array_index(losses->seconds, struct loss_second, i);
		double sum = 0;

		for (int c = 0; c < LOSS_CAUSES; c++)
			sum += part(s, c);
		most = MAX(most, sum);
	}
	return most;
}

static void draw_bar(GString *out, const struct loss_second *s, guint at,
		     double most)
{
	double y = TOP + HEIGHT;

	for (int c = 0; c < LOSS_CAUSES; c++) {
		double h = part(s, c) / most * HEIGHT;

		if (h <= 0)
			continue;
		y -= h;
		g_string_append_printf(
			out,
			"<rect x='%u' y='%.1f' width='%d' height='%.1f' "
			"fill='%s'><title>second %u: %u of %u, %s</title>"
			"</rect>\n",
			LEFT + at * BAR, y, BAR - 2, h, colours[c], at,
			s->lost[c], s->asked, loss_cause_text(c));
	}
	if (at % MARK_S == 0)
		g_string_append_printf(out, "<text x='%u' y='%d'>%u s</text>\n",
				       LEFT + at * BAR, TOP + HEIGHT + 14, at);
}

static void draw_axis(GString *out, double most, unsigned width)
{
	for (int i = 0; i <= 4; i++) {
		int y = TOP + HEIGHT - HEIGHT * i / 4;

		g_string_append_printf(
			out,
			"<line x1='%d' x2='%u' y1='%d' y2='%d' "
			"stroke='#e5e5e5'/><text x='8' y='%d'>%.1f%%</text>\n",
			LEFT, width, y, y, y + 4, most * 25 * i);
	}
}

static void draw_legend(GString *out, unsigned x)
{
	for (int c = 0; c < LOSS_CAUSES; c++)
		g_string_append_printf(
			out,
			"<rect x='%u' y='%d' width='10' height='10' "
			"fill='%s'/><text x='%u' y='%d'>%s</text>\n",
			x, TOP + c * ROW, colours[c], x + 16, TOP + c * ROW + 9,
			loss_cause_text(c));
}

/* The picture, for g_free. */
char *losses_svg(const struct losses *losses)
{
	unsigned width = LEFT + losses->seconds->len * BAR + BAR;
	double most = highest(losses);
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%u' "
		"height='%d' font-family='sans-serif' font-size='11'>\n"
		"<rect width='100%%' height='100%%' fill='#fff'/>\n",
		width + LEGEND, TOP + HEIGHT + 30);
	draw_axis(out, most, width);
	for (guint i = 0; i < losses->seconds->len; i++)
		draw_bar(out,
			 &g_array_index(losses->seconds, struct loss_second, i),
			 i, most);
	draw_legend(out, width + 12);
	g_string_append(out, "</svg>\n");
	return g_string_free(out, FALSE);
}
