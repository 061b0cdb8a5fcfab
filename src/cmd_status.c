#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "command.h"
#include "gather.h"
#include "loop.h"
#include "standin.h"

#define WATCH_PERIOD TR_SEC(1)
#define CLEAR_SCREEN "\033[H\033[2J"

static const char *text_of(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static long number_of(json_t *object, const char *key)
{
	return (long)json_integer_value(json_object_get(object, key));
}

static json_t *find_named(json_t *list, const char *name)
{
	size_t i;
	json_t *row;

	json_array_foreach(list, i, row)
	{
		if (!strcmp(text_of(row, "name"), name))
			return row;
	}
	return NULL;
}

static json_t *service_of(json_t *vm, const char *name)
{
	return find_named(json_object_get(vm, "services"), name);
}

static void print_vm(json_t *vm)
{
	json_t *proxy = json_object_get(vm, "proxy");
	json_t *platform = json_object_get(vm, "platform");
	json_t *list = json_object_get(vm, "services");
	size_t i;
	json_t *svc;

	printf("%-20s %-8s %-22s %8ld %8ld %8ld %8ld %6ld  %-4s ",
	       text_of(vm, "vm"), text_of(vm, "data_centre"),
	       text_of(vm, "state"), number_of(proxy, "requests"),
	       number_of(proxy, "answered"), number_of(proxy, "not_run"),
	       number_of(proxy, "unknown"), number_of(proxy, "in_flight"),
	       json_is_true(json_object_get(platform, "up")) ? "up" : "DOWN");
	json_array_foreach(list, i, svc)
	{
		if (!json_is_true(json_object_get(svc, "in_cell")))
			continue;
		printf(" %s%s", text_of(svc, "name"),
		       json_is_true(json_object_get(svc, "owner")) ? "*" : "");
	}
	printf("\n");
}

/* How one target stands over the VMs of its cell. */
struct target_view {
	unsigned in_use, avoided, ejected, other;
	double evidence;
	long sent;
};

static void add_view(struct target_view *view, json_t *target)
{
	const char *state = text_of(target, "state");
	double evidence = json_real_value(json_object_get(target, "evidence"));

	if (json_is_true(json_object_get(target, "honoured")))
		view->ejected++;
	else if (!strcmp(state, "in-use"))
		view->in_use++;
	else if (!strcmp(state, "avoided"))
		view->avoided++;
	else
		view->other++;
	if (evidence > view->evidence)
		view->evidence = evidence;
	view->sent += number_of(target, "sent");
}

static void print_target(json_t *all, const char *service, const char *name)
{
	struct target_view view = { 0 };
	size_t i;
	json_t *vm;

	json_array_foreach(all, i, vm)
	{
		json_t *svc = service_of(vm, service);
		json_t *target =
			find_named(json_object_get(svc, "targets"), name);

		if (target && json_is_true(json_object_get(svc, "in_cell")))
			add_view(&view, target);
	}
	printf("    %-26s in use at %2u, avoided at %2u, ejected at %2u, "
	       "other %2u; evidence %5.1f; sent %ld\n",
	       name, view.in_use, view.avoided, view.ejected, view.other,
	       view.evidence, view.sent);
}

static void print_service(json_t *all, json_t *svc)
{
	const char *name = text_of(svc, "name");
	json_t *targets = json_object_get(svc, "targets");
	long least = 0;
	long most = 0;
	const char *owner = "nobody";
	const char *refused = "";
	size_t i;
	json_t *row;

	json_array_foreach(all, i, row)
	{
		json_t *theirs = service_of(row, name);
		json_t *config = json_object_get(theirs, "config");
		long revision = number_of(config, "document_revision");

		if (!theirs ||
		    !json_is_true(json_object_get(theirs, "in_cell")))
			continue;
		least = !least || revision < least ? revision : least;
		most = revision > most ? revision : most;
		if (json_is_true(json_object_get(theirs, "owner")))
			owner = text_of(row, "vm");
		if (*text_of(config, "refused_reason"))
			refused = text_of(config, "refused_reason");
	}
	printf("\n%s: revision %ld", name, most);
	if (least != most)
		printf(" (%ld at the last VM)", least);
	printf(", floor %ld, orders by %s, sick at %.1f, usual failures "
	       "%.1f%%\n",
	       number_of(svc, "floor"), owner,
	       json_real_value(json_object_get(svc, "sick_at")),
	       json_real_value(json_object_get(svc, "base_rate")) * 100);
	if (*refused)
		printf("    REFUSED: %s\n", refused);
	json_array_foreach(targets, i, row)
		print_target(all, name, text_of(row, "name"));
}

static void print_services(json_t *all)
{
	auto_json json_t *done = json_object();
	size_t i;
	json_t *vm;

	json_array_foreach(all, i, vm)
	{
		size_t j;
		json_t *svc;

		json_array_foreach(json_object_get(vm, "services"), j, svc)
		{
			const char *name = text_of(svc, "name");

			if (json_object_get(done, name) ||
			    !json_is_true(json_object_get(svc, "in_cell")))
				continue;
			json_object_set_new(done, name, json_true());
			print_service(all, svc);
		}
	}
}

static void print_table(json_t *all)
{
	size_t i;
	json_t *vm;

	printf("%-20s %-8s %-22s %8s %8s %8s %8s %6s  %-4s  %s\n", "VM",
	       "centre", "state", "requests", "answered", "not-run", "unknown",
	       "now", "plat", "serves (* gives orders)");
	json_array_foreach(all, i, vm) print_vm(vm);
	print_services(all);
}

static int show(struct standin *s, struct client *client, const char *vm,
		bool json)
{
	auto_json json_t *all =
		gather_from_fleet(s->loop, client, vm, "/status");

	if (!all) {
		fprintf(stderr,
			"status: %s: expected the operator address of "
			"a VM that knows the fleet\n",
			vm);
		return EXIT_FOUND_FAULT;
	}
	if (json) {
		json_dumpf(all, stdout, JSON_INDENT(1));
		printf("\n");
	} else {
		print_table(all);
	}
	return EXIT_SUCCESS;
}

static void tick(void *ctx)
{
	loop_stop(ctx);
}

/* toucanreel status: a table over all VMs, once or again and again. */
int command_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "say how to use it");
	struct arg_str *vm =
		arg_str1(NULL, "vm", "IP:PORT", "operator address of any VM");
	struct arg_lit *watch = arg_lit0("w", "watch", "again each second");
	struct arg_lit *json = arg_lit0(NULL, "json", "as JSON");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, vm, watch, json, end };
	struct standin s;
	struct client *client;
	int code = EXIT_SUCCESS;

	if (!command_parse(argc, argv, table, "status", &code))
		goto done;
	code = EXIT_USAGE;
	if (standin_init(&s, "status"))
		goto done;
	client = client_new(s.loop, NULL);
	do {
		if (watch->count)
			printf(CLEAR_SCREEN);
		code = show(&s, client, vm->sval[0], json->count > 0);
		fflush(stdout);
		if (watch->count) {
			loop_after(s.loop, WATCH_PERIOD, tick, s.loop);
			loop_run(s.loop);
		}
	} while (watch->count && !s.stopped);
	client_destroy(client);
	standin_destroy(&s);
done:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
