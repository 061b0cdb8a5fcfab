#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "cleanup.h"
#include "client.h"
#include "command.h"
#include "gather.h"
#include "loop.h"
#include "standin.h"

/* toucanreel lookup: prints the response that a caller would get. */
int command_lookup(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *entry = arg_str1(NULL, "entry", "IP:PORT",
					 "address of any VM for callers");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_str *centre = arg_str0(NULL, "data-centre", "NAME",
					  "the caller's data centre");
	struct arg_int *keys =
		arg_int0(NULL, "keys", "N", "number of keys to mint");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, entry, service, centre, keys, end };
	struct standin s;
	struct client *client;
	auto_json json_t *answers = NULL;
	char url[512];
	const char *urls[1] = { url };
	int code = EXIT_SUCCESS;

	if (!command_parse(argc, argv, table, "lookup", &code))
		goto done;
	code = EXIT_USAGE;
	if (standin_init(&s, "lookup"))
		goto done;
	client = client_new(s.loop, NULL);
	snprintf(url, sizeof(url), "http://%s/v1/lookup?service=%s&keys=%d%s%s",
		 entry->sval[0], service->sval[0],
		 keys->count ? keys->ival[0] : 0,
		 centre->count ? "&data_centre=" : "",
		 centre->count ? centre->sval[0] : "");
	answers = gather_json(s.loop, client, urls, 1);
	if (json_array_size(answers)) {
		json_dumpf(json_array_get(answers, 0), stdout, JSON_INDENT(1));
		printf("\n");
		code = EXIT_SUCCESS;
	} else {
		fprintf(stderr, "lookup: %s: no response for service '%s'\n",
			entry->sval[0], service->sval[0]);
		code = EXIT_FOUND_FAULT;
	}
	client_destroy(client);
	standin_destroy(&s);
done:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
