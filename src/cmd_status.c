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

static const char *get_text(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static long get_number(json_t *object, const char *key)
{
	return (long)json_integer_value(json_object_get(object, key));
}

static json_t *find_by_name(json_t *list, const char *name)
{
	size_t i;
	json_t *row;

	json_array_foreach(list, i, row)
	{
		if (!strcmp(get_text(row, "name"), name))
			return row;
	}
	return NULL;
}

static json_t *find_service(json_t *vm, const char *name)
{
	return find_by_name(json_object_get(vm, "services"), name);
}

static void print_vm(json_t *vm)
{
	json_t *proxy = json_object_get(vm, "proxy");
	json_t *platform = json_object_get(vm, "platform");
	json_t *list = json_object_get(vm, "services");
	size_t i;
	json_t *svc;

	printf("%-20s %-8s %-22s %8ld %8ld %8ld %8ld %6ld  %-4s ",
	       get_text(vm, "vm"), get_text(vm, "data_centre"),
	       get_text(vm, "state"), get_number(proxy, "requests"),
	       get_number(proxy, "answered"), get_number(proxy, "not_run"),
	       get_number(proxy, "unknown"), get_number(proxy, "in_flight"),
	       json_is_true(json_object_get(platform, "up")) ? "up" : "DOWN");
	json_array_foreach(list, i, svc)
	{
		if (!json_is_true(json_object_get(svc, "in_cell")))
			continue;
		printf(" %s%s", get_text(svc, "name"),
		       json_is_true(json_object_get(svc, "owner")) ? "*" : "");
	}
	printf("\n");
}

/* The state of a target, summed over the VMs of its service's cell. */
struct target_summary {
	unsigned in_use, avoided, ejected, other;
	double evidence;
	long sent;
};

static void add_to_summary(struct target_summary *summary, json_t *target)
{
	const char *state = get_text(target, "state");
	double evidence = json_real_value(json_object_get(target, "evidence"));

	if (json_is_true(json_object_get(target, "honoured")))
		summary->ejected++;
	else if (!strcmp(state, "in-use"))
		summary->in_use++;
	else if (!strcmp(state, "avoided"))
		summary->avoided++;
	else
		summary->other++;
	if (evidence > summary->evidence)
		summary->evidence = evidence;
	summary->sent += get_number(target, "sent");
}

static void print_target(json_t *vms, const char *service, const char *name)
{
	struct target_summary summary = { 0 };
	size_t i;
	json_t *vm;

	json_array_foreach(vms, i, vm)
	{
		json_t *svc = find_service(vm, service);
		json_t *target =
			find_by_name(json_object_get(svc, "targets"), name);

		if (target && json_is_true(json_object_get(svc, "in_cell")))
			add_to_summary(&summary, target);
	}
	printf("    %-26s in use at %2u, avoided at %2u, ejected at %2u, "
	       "other %2u; evidence %5.1f; sent %ld\n",
	       name, summary.in_use, summary.avoided, summary.ejected,
	       summary.other, summary.evidence, summary.sent);
}

static void print_service(json_t *vms, json_t *svc)
{
	const char *name = get_text(svc, "name");
	json_t *targets = json_object_get(svc, "targets");
	long oldest = 0;
	long newest = 0;
	const char *owner = "nobody";
	const char *refused = "";
	size_t i;
	json_t *row;

	json_array_foreach(vms, i, row)
	{
		json_t *other = find_service(row, name);
		json_t *config = json_object_get(other, "config");
		long revision = get_number(config, "document_revision");

		if (!other || !json_is_true(json_object_get(other, "in_cell")))
			continue;
		oldest = !oldest || revision < oldest ? revision : oldest;
		newest = revision > newest ? revision : newest;
		if (json_is_true(json_object_get(other, "owner")))
			owner = get_text(row, "vm");
		if (*get_text(config, "refused_reason"))
			refused = get_text(config, "refused_reason");
	}
	printf("\n%s: revision %ld", name, newest);
	if (oldest != newest)
		printf(" (oldest %ld)", oldest);
	printf(", floor %ld, orders by %s, evidence threshold %.1f, "
	       "base failure rate %.1f%%\n",
	       get_number(svc, "floor"), owner,
	       json_real_value(json_object_get(svc, "sick_at")),
	       json_real_value(json_object_get(svc, "base_rate")) * 100);
	if (*refused)
		printf("    REFUSED: %s\n", refused);
	json_array_foreach(targets, i, row)
		print_target(vms, name, get_text(row, "name"));
}

static void print_services(json_t *vms)
{
	auto_json json_t *printed = json_object();
	size_t i;
	json_t *vm;

	json_array_foreach(vms, i, vm)
	{
		size_t j;
		json_t *svc;

		json_array_foreach(json_object_get(vm, "services"), j, svc)
		{
			const char *name = get_text(svc, "name");

			if (json_object_get(printed, name) ||
			    !json_is_true(json_object_get(svc, "in_cell")))
				continue;
			json_object_set_new(printed, name, json_true());
			print_service(vms, svc);
		}
	}
}

static void print_table(json_t *vms)
{
	size_t i;
	json_t *vm;

	printf("%-20s %-8s %-22s %8s %8s %8s %8s %6s  %-4s  %s\n", "VM",
	       "centre", "state", "requests", "answered", "not-run", "unknown",
	       "active", "plat", "serves (* = owner)");
	json_array_foreach(vms, i, vm) print_vm(vm);
	print_services(vms);
}

static int print_status(struct standin *s, struct client *client,
			const char *vm, bool json)
{
	auto_json json_t *vms =
		gather_from_fleet(s->loop, client, vm, "/status");

	if (!vms) {
		fprintf(stderr,
			"status: %s: cannot read the fleet; expected the "
			"operator address of a VM\n",
			vm);
		return EXIT_FOUND_FAULT;
	}
	if (json) {
		json_dumpf(vms, stdout, JSON_INDENT(1));
		printf("\n");
	} else {
		print_table(vms);
	}
	return EXIT_SUCCESS;
}

static void stop_loop(void *ctx)
{
	loop_stop(ctx);
}

/* toucanreel status: prints the state of all VMs, once or every second. */
int command_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *vm =
		arg_str1(NULL, "vm", "IP:PORT", "operator address of any VM");
	struct arg_lit *watch = arg_lit0("w", "watch", "repeat every second");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
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
		code = print_status(&s, client, vm->sval[0], json->count > 0);
		fflush(stdout);
		if (watch->count) {
			loop_add_timer(s.loop, WATCH_PERIOD, stop_loop, s.loop);
			loop_run(s.loop);
		}
	} while (watch->count && !s.stopped);
	client_destroy(client);
	standin_destroy(&s);
done:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
