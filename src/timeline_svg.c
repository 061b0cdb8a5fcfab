/*
 * Draws the timeline as a self-contained SVG: a lane per process, a mark per
 * event and a legend of the kinds. Each mark has its text as a tooltip.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "command.h"

#define LANE_HEIGHT   18
#define MARGIN_LEFT   190
#define MARGIN_RIGHT  30
#define MARGIN_TOP    74
#define IMAGE_WIDTH   1500
#define TICKS	      10
#define LEGEND_COLUMN 150
#define LEGEND_ROWS   2
#define MARK_RADIUS   4

struct style {
	const char *kind;
	const char *colour;
	const char *label;
};

static const struct style styles[] = {
	{ "fault-injected", "#d62728", "fault" },
	{ "target-avoided", "#ff9f1c", "avoided" },
	{ "target-ejected", "#9d0208", "ejected" },
	{ "target-on-probation", "#b388eb", "probation" },
	{ "target-restored", "#2a9d3a", "restored" },
	{ "target-used-again", "#74c69d", "used again" },
	{ "floor-held", "#000000", "floor held" },
	{ "target-leaving", "#8d6e63", "leaving" },
	{ "document-in-force", "#1f77b4", "document" },
	{ "document-refused", "#e83f6f", "refused" },
	{ "list-in-force", "#a0c4e8", "list" },
	{ "owner", "#5a189a", "owner" },
	{ "owner-lost", "#c77dff", "owner lost" },
	{ "peer-down", "#6c757d", "peer down" },
	{ "peer-up", "#ced4da", "peer up" },
	{ "peer-replaced", "#495057", "peer replaced" },
	{ "start", "#2b9348", "start" },
	{ "stop", "#7f4f24", "stop" },
	{ "other", "#adb5bd", "other" },
};

#define STYLE_COUNT (sizeof(styles) / sizeof(styles[0]))

static const struct style *find_style(const char *kind)
{
	for (size_t i = 0; i < STYLE_COUNT; i++)
		if (!strcmp(styles[i].kind, kind))
			return &styles[i];
	return &styles[STYLE_COUNT - 1];
}

struct timeline {
	GString *out;
	GPtrArray *lanes;
	json_int_t first;
	json_int_t last;
};

static const char *get_text(json_t *ev, const char *key)
{
	const char *text = json_string_value(json_object_get(ev, key));

	return text ? text : "";
}

static guint find_or_add_lane(struct timeline *p, const char *process)
{
	for (guint i = 0; i < p->lanes->len; i++)
		if (!strcmp(g_ptr_array_index(p->lanes, i), process))
			return i;
	g_ptr_array_add(p->lanes, (gpointer)process);
	return p->lanes->len - 1;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void collect_bounds(struct timeline *p, json_t *events)
{
	size_t i;
	json_t *ev;

	json_array_foreach(events, i, ev)
	{
		json_int_t wall =
			json_integer_value(json_object_get(ev, "wall"));

		if (!i || wall < p->first)
			p->first = wall;
		if (wall > p->last)
			p->last = wall;
		find_or_add_lane(p, get_text(ev, "process"));
	}
	if (p->last <= p->first)
		p->last = p->first + 1;
	g_ptr_array_sort(p->lanes, by_name);
}

static double time_to_x(const struct timeline *p, json_int_t wall)
{
	return MARGIN_LEFT + (double)(wall - p->first) /
				     (double)(p->last - p->first) *
				     (IMAGE_WIDTH - MARGIN_LEFT - MARGIN_RIGHT);
}

static void draw_legend(struct timeline *p)
{
	size_t per_row = (STYLE_COUNT + LEGEND_ROWS - 1) / LEGEND_ROWS;

	for (size_t i = 0; i < STYLE_COUNT; i++) {
		double x = 12 + (double)(i % per_row) * LEGEND_COLUMN;
		size_t row = i / per_row;
		double y = 30 + (double)row * 16;

		g_string_append_printf(
			p->out,
			"<circle cx='%.0f' cy='%.0f' r='%d' fill='%s'/>"
			"<text x='%.0f' y='%.0f'>%s</text>\n",
			x, y, MARK_RADIUS, styles[i].colour, x + 9, y + 4,
			styles[i].label);
	}
}

static void draw_axis(struct timeline *p, int height)
{
	for (int i = 0; i <= TICKS; i++) {
		json_int_t wall = p->first + (p->last - p->first) * i / TICKS;
		double x = time_to_x(p, wall);

		g_string_append_printf(
			p->out,
			"<line x1='%.1f' y1='%d' x2='%.1f' y2='%d' "
			"stroke='#e5e5e5'/>"
			"<text x='%.1f' y='%d' text-anchor='middle'>+%.2f "
			"s</text>\n",
			x, MARGIN_TOP - 4, x, height - 4, x, MARGIN_TOP - 8,
			(double)(wall - p->first) / 1e6);
	}
}

static void draw_lanes(struct timeline *p)
{
	for (guint i = 0; i < p->lanes->len; i++) {
		int y = MARGIN_TOP + (int)i * LANE_HEIGHT;

		g_string_append_printf(
			p->out,
			"<rect x='0' y='%d' width='%d' height='%d' "
			"fill='%s'/><text x='12' y='%d'>%s</text>\n",
			y, IMAGE_WIDTH, LANE_HEIGHT,
			i % 2 ? "#f8f8f8" : "#ffffff", y + 13,
			(const char *)g_ptr_array_index(p->lanes, i));
	}
}

static void draw_event(struct timeline *p, json_t *ev)
{
	json_int_t wall = json_integer_value(json_object_get(ev, "wall"));
	const struct style *style = find_style(get_text(ev, "kind"));
	guint lane = find_or_add_lane(p, get_text(ev, "process"));
	char *tip = g_markup_printf_escaped(
		"+%.3f s %s %s %s: %s", (double)(wall - p->first) / 1e6,
		get_text(ev, "kind"), get_text(ev, "service"),
		get_text(ev, "subject"), get_text(ev, "detail"));

	g_string_append_printf(p->out,
			       "<circle cx='%.1f' cy='%d' r='%d' fill='%s'>"
			       "<title>%s</title></circle>\n",
			       time_to_x(p, wall),
			       MARGIN_TOP + (int)lane * LANE_HEIGHT +
				       LANE_HEIGHT / 2,
			       MARK_RADIUS, style->colour, tip);
	g_free(tip);
}

/* Returns the SVG text of sorted events; the caller frees it. */
char *timeline_svg(json_t *events)
{
	struct timeline p = { g_string_new(NULL), g_ptr_array_new(), 0, 0 };
	int height;
	char *text;
	size_t i;
	json_t *ev;

	collect_bounds(&p, events);
	height = MARGIN_TOP + (int)p.lanes->len * LANE_HEIGHT + 10;
	g_string_append_printf(
		p.out,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
		"height='%d' font-family='sans-serif' font-size='11'>\n"
		"<rect width='%d' height='%d' fill='white'/>\n"
		"<text x='12' y='16' font-size='14'>toucanreel timeline: %zu "
		"events of %u processes</text>\n",
		IMAGE_WIDTH, height, IMAGE_WIDTH, height,
		json_array_size(events), p.lanes->len);
	draw_lanes(&p);
	draw_axis(&p, height);
	draw_legend(&p);
	json_array_foreach(events, i, ev) draw_event(&p, ev);
	g_string_append(p.out, "</svg>\n");
	text = strdup(p.out->str);
	g_string_free(p.out, TRUE);
	g_ptr_array_free(p.lanes, TRUE);
	return text;
}
