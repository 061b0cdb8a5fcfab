#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "command.h"
#include "docfile.h"
#include "document.h"
#include "error.h"
#include "yamlfile.h"

static void print_text(const char *path, const struct tr_document *doc,
		       const struct tr_error *err)
{
	char text[512];

	if (doc) {
		printf("%s: ok: service %s, floor %u, %u routes\n", path,
		       doc->service, doc->floor, doc->routes_count);
		return;
	}
	tr_error_format(err, text, sizeof(text));
	printf("%s\n", text);
}

static void print_json(const char *path, const struct tr_document *doc,
		       const struct tr_error *err)
{
	auto_json json_t *line = NULL;
	auto_free char *text = NULL;

	if (doc)
		line = json_pack("{s:s, s:b, s:s}", "file", path, "ok", 1,
				 "service", doc->service);
	else
		line = json_pack("{s:s, s:b, s:i, s:s, s:i, s:s, s:s, s:s}",
				 "file", path, "ok", 0, "line", err->line,
				 "field", err->field, "code", (int)err->code,
				 "word", tr_result_name(err->code), "value",
				 err->value, "expected", err->expected);
	text = json_dumps(line, JSON_COMPACT);
	printf("%s\n", text ? text : "");
}

static int check_file(const char *path, bool json)
{
	struct tr_error err = { 0 };
	struct tr_document *doc = NULL;
	size_t len = 0;
	auto_free char *text = yamlfile_read(path, &len, &err);
	int code = EXIT_SUCCESS;

	if (text)
		doc = docfile_parse(text, len, path, &err);
	if (json)
		print_json(path, doc, &err);
	else
		print_text(path, doc, &err);
	if (!doc)
		code = err.code == TR_FILE_UNREADABLE ? EXIT_USAGE
						      : EXIT_FOUND_FAULT;
	docfile_free(doc);
	return code;
}

/*
 * toucanreel check. Returns 0 if all documents are valid, EXIT_FOUND_FAULT if
 * one is not, or EXIT_USAGE if one cannot be read.
 */
int command_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *format =
		arg_str0(NULL, "format", "text|json", "output format (text)");
	struct arg_file *files = arg_filen(NULL, NULL, "DOCUMENT", 1, 512,
					   "documents to validate");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, format, files, end };
	int code = EXIT_SUCCESS;

	if (!command_parse(argc, argv, table, "check", &code))
		goto done;
	if (format->count && strcmp(format->sval[0], "json") != 0 &&
	    strcmp(format->sval[0], "text") != 0) {
		fprintf(stderr,
			"check: --format: '%s': expected text or json\n",
			format->sval[0]);
		code = EXIT_USAGE;
		goto done;
	}
	for (int i = 0; i < files->count; i++) {
		int result = check_file(
			files->filename[i],
			format->count && !strcmp(format->sval[0], "json"));

		code = result > code ? result : code;
	}
done:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
