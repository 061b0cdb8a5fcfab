#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cleanup.h"
#include "client.h"
#include "command.h"
#include "gather.h"
#include "loop.h"
#include "standin.h"

#define MAX_OTHERS 512

struct filter {
	const char *service; /* or NULL for all */
	json_int_t since;    /* wall clock, in microseconds */
};

/* Appends the matching events of a process, each with the process's name. */
static void add_events(json_t *all, json_t *process, const struct filter *f)
{
	size_t i;
	json_t *ev;

	json_array_foreach(json_object_get(process, "events"), i, ev)
	{
		const char *service =
			json_string_value(json_object_get(ev, "service"));

		if (json_integer_value(json_object_get(ev, "wall")) < f->since)
			continue;
		if (f->service && service && *service &&
		    strcmp(service, f->service) != 0)
			continue;
		json_object_set(ev, "process",
				json_object_get(process, "process"));
		json_array_append(all, ev);
	}
}

/* Orders by hybrid logical clock, so that causes come before their effects. */
static int compare_events(const void *a, const void *b)
{
	json_t *x = *(json_t *const *)a;
	json_t *y = *(json_t *const *)b;
	static const char *const keys[] = { "wall", "count" };

	for (int k = 0; k < 2; k++) {
		json_int_t m = json_integer_value(json_object_get(x, keys[k]));
		json_int_t n = json_integer_value(json_object_get(y, keys[k]));

		if (m != n)
			return m < n ? -1 : 1;
	}
	return strcmp(json_string_value(json_object_get(x, "process")),
		      json_string_value(json_object_get(y, "process")));
}

static json_t *sort_events(json_t *events)
{
	size_t n = json_array_size(events);
	json_t **rows = calloc(n + 1, sizeof(*rows));
	json_t *out = json_array();

	for (size_t i = 0; rows && i < n; i++)
		rows[i] = json_array_get(events, i);
	if (rows)
		qsort(rows, n, sizeof(*rows), compare_events);
	for (size_t i = 0; rows && i < n; i++)
		json_array_append(out, rows[i]);
	free(rows);
	return out;
}

static void print_text(json_t *events)
{
	size_t i;
	json_t *ev;

	json_array_foreach(events, i, ev)
	{
		json_int_t wall =
			json_integer_value(json_object_get(ev, "wall"));
		time_t s = (time_t)(wall / 1000000);
		char when[32];
		struct tm tm;

		gmtime_r(&s, &tm);
		strftime(when, sizeof(when), "%H:%M:%S", &tm);
		printf("%s.%03d %-22s %-22s %-20s %-24s %s\n", when,
		       (int)(wall / 1000 % 1000),
		       json_string_value(json_object_get(ev, "process")),
		       json_string_value(json_object_get(ev, "kind")),
		       json_string_value(json_object_get(ev, "service")),
		       json_string_value(json_object_get(ev, "subject")),
		       json_string_value(json_object_get(ev, "detail")));
	}
}

static json_t *collect_events(struct standin *s, struct client *client,
			      const char *vm, const struct arg_str *also,
			      const struct filter *f)
{
	auto_json json_t *fleet =
		gather_from_fleet(s->loop, client, vm, "/v1/events");
	auto_json json_t *others = NULL;
	auto_json json_t *all = json_array();
	const char *urls[MAX_OTHERS];
	char text[MAX_OTHERS][96];
	size_t i;
	json_t *process;
	int n = 0;

	if (!fleet)
		return NULL;
	for (; n < also->count && n < MAX_OTHERS; n++) {
		snprintf(text[n], sizeof(text[n]), "http://%s/v1/events",
			 also->sval[n]);
		urls[n] = text[n];
	}
	others = gather_json(s->loop, client, urls, (unsigned)n);
	json_array_foreach(fleet, i, process) add_events(all, process, f);
	json_array_foreach(others, i, process) add_events(all, process, f);
	return sort_events(all);
}

static int print_events(json_t *events, const char *format)
{
	auto_free char *svg = NULL;

	if (!strcmp(format, "json")) {
		json_dumpf(events, stdout, JSON_INDENT(1));
		printf("\n");
	} else if (!strcmp(format, "svg")) {
		svg = timeline_svg(events);
		fputs(svg ? svg : "", stdout);
	} else if (!strcmp(format, "text")) {
		print_text(events);
	} else {
		fprintf(stderr,
			"timeline: --format: '%s': expected text, "
			"json or svg\n",
			format);
		return EXIT_USAGE;
	}
	return EXIT_SUCCESS;
}

/* toucanreel timeline: prints the merged events of all processes. */
int command_timeline(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *vm =
		arg_str1(NULL, "vm", "IP:PORT", "operator address of any VM");
	struct arg_str *also = arg_strn(NULL, "also", "IP:PORT", 0, MAX_OTHERS,
					"other processes with /v1/events");
	struct arg_str *format = arg_str0(NULL, "format", "text|json|svg",
					  "output format (text)");
	struct arg_str *service = arg_str0(NULL, "service", "NAME",
					   "only events of this service");
	struct arg_int *last = arg_int0(NULL, "last", "SECONDS",
					"only events of the last seconds");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, vm, also, format, service, last, end };
	struct filter f = { 0 };
	struct standin s;
	struct client *client;
	auto_json json_t *events = NULL;
	int code = EXIT_SUCCESS;

	if (!command_parse(argc, argv, table, "timeline", &code))
		goto done;
	code = EXIT_USAGE;
	if (standin_init(&s, "timeline"))
		goto done;
	client = client_new(s.loop, NULL);
	f.service = service->count ? service->sval[0] : NULL;
	if (last->count)
		f.since = (json_int_t)loop_wall_time(NULL) -
			  (json_int_t)last->ival[0] * 1000000;
	events = collect_events(&s, client, vm->sval[0], also, &f);
	if (events) {
		code = print_events(events,
				    format->count ? format->sval[0] : "text");
	} else {
		fprintf(stderr,
			"timeline: %s: cannot read the fleet; expected the "
			"operator address of a VM\n",
			vm->sval[0]);
		code = EXIT_FOUND_FAULT;
	}
	client_destroy(client);
	standin_destroy(&s);
done:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
