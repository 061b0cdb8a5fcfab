#include "yamlfile.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#include "error.h"

#define MAX_FILE_SIZE (1024 * 1024)

/*
 * Collects libcyaml's log output, its only source of details about an error:
 * first the message, then a backtrace from the innermost field outwards.
 */
struct capture {
	char message[192];
	GString *path; /* of the field, such as "routes[2].path" */
	int line;      /* innermost line of the backtrace, 0 for none */
	bool in_backtrace;
};

static void prepend_part(GString *path, const char *part)
{
	if (path->len && path->str[0] != '[')
		g_string_prepend_c(path, '.');
	g_string_prepend(path, part);
}

static void capture_location(struct capture *cap, const char *line)
{
	char name[96];
	char part[112];
	int entry;
	int at = 0;

	if (sscanf(line, " in mapping field '%95[^']' (line: %d", name, &at) >=
	    1) {
		prepend_part(cap->path, name);
	} else if (sscanf(line, " in sequence entry '%d' (line: %d", &entry,
			  &at) >= 1) {
		snprintf(part, sizeof(part), "[%d]", entry - 1);
		prepend_part(cap->path, part);
	} else {
		sscanf(line, " in mapping (line: %d", &at);
	}
	if (!cap->line)
		cap->line = at;
}

static void capture_log(cyaml_log_t level, void *ctx, const char *fmt,
			va_list ap)
{
	struct capture *cap = ctx;
	char line[256];
	const char *text = line;

	(void)level;
	vsnprintf(line, sizeof(line), fmt, ap);
	line[strcspn(line, "\n")] = 0;
	if (!strncmp(text, "Load: ", 6))
		text += 6;
	if (!strncmp(text, "Backtrace", 9))
		cap->in_backtrace = true;
	else if (cap->in_backtrace)
		capture_location(cap, text);
	else if (!*cap->message)
		g_strlcpy(cap->message, text, sizeof(cap->message));
}

static yaml_node_t *map_value(yaml_document_t *doc, yaml_node_t *map,
			      const char *key, size_t len, int *line)
{
	yaml_node_pair_t *pair = map->data.mapping.pairs.start;

	for (; pair < map->data.mapping.pairs.top; pair++) {
		yaml_node_t *k = yaml_document_get_node(doc, pair->key);

		if (k->type == YAML_SCALAR_NODE &&
		    k->data.scalar.length == len &&
		    !memcmp(k->data.scalar.value, key, len)) {
			*line = (int)k->start_mark.line + 1;
			return yaml_document_get_node(doc, pair->value);
		}
	}
	return NULL;
}

static yaml_node_t *list_entry(yaml_document_t *doc, yaml_node_t *list,
			       size_t index, int *line)
{
	yaml_node_t *node;
	size_t n = (size_t)(list->data.sequence.items.top -
			    list->data.sequence.items.start);

	if (index >= n)
		return NULL;
	node = yaml_document_get_node(doc,
				      list->data.sequence.items.start[index]);
	*line = (int)node->start_mark.line + 1;
	return node;
}

static int find_line(yaml_document_t *doc, const char *path)
{
	yaml_node_t *node = yaml_document_get_root_node(doc);
	int line = node ? (int)node->start_mark.line + 1 : 1;

	while (node && *path) {
		size_t len;

		if (*path == '[' && node->type == YAML_SEQUENCE_NODE) {
			node = list_entry(doc, node,
					  strtoul(path + 1, NULL, 10), &line);
			path += strcspn(path, "]");
			path += *path == ']';
			continue;
		}
		path += *path == '.';
		len = strcspn(path, ".[");
		if (node->type != YAML_MAPPING_NODE)
			break;
		node = map_value(doc, node, path, len, &line);
		path += len;
	}
	return line;
}

/*
 * Returns the line of a field such as "routes[2].path", or of the innermost
 * enclosing field that exists. 0 if the text is not valid YAML.
 */
int yamlfile_find_line(const char *text, size_t len, const char *path)
{
	yaml_parser_t parser;
	yaml_document_t doc;
	int line = 0;

	if (!yaml_parser_initialize(&parser))
		return 0;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (yaml_parser_load(&parser, &doc)) {
		line = find_line(&doc, path);
		yaml_document_delete(&doc);
	}
	yaml_parser_delete(&parser);
	return line;
}

static const cyaml_schema_field_t *find_field(const cyaml_schema_field_t *f,
					      const char *name, size_t len)
{
	for (; f && f->key; f++)
		if (strlen(f->key) == len && !strncmp(f->key, name, len))
			return f;
	return NULL;
}

static const struct cyaml_schema_value *
schema_at(const struct cyaml_schema_value *schema, const char *path)
{
	while (schema && *path) {
		size_t len;
		const cyaml_schema_field_t *field;

		if (*path == '[') {
			if (schema->type != CYAML_SEQUENCE)
				return NULL;
			schema = schema->sequence.entry;
			path += strcspn(path, "]");
			path += *path == ']';
			continue;
		}
		path += *path == '.';
		len = strcspn(path, ".[");
		if (schema->type != CYAML_MAPPING)
			return NULL;
		field = find_field(schema->mapping.fields, path, len);
		schema = field ? &field->value : NULL;
		path += len;
	}
	return schema;
}

/* Appends the values of an enum, or the field names of a mapping. */
static void append_choices(const struct cyaml_schema_value *schema,
			   GString *out)
{
	if (schema->type == CYAML_ENUM) {
		for (uint32_t i = 0; i < schema->enumeration.count; i++)
			g_string_append_printf(
				out, "%s%s", i ? ", " : "",
				schema->enumeration.strings[i].str);
		return;
	}
	for (const cyaml_schema_field_t *f = schema->mapping.fields; f->key;
	     f++)
		g_string_append_printf(out, "%s%s", out->len ? ", " : "",
				       f->key);
}

static void append_expected(const struct cyaml_schema_value *schema,
			    GString *out)
{
	GString *choices = g_string_new(NULL);

	switch (schema ? schema->type : CYAML_IGNORE) {
	case CYAML_INT:
	case CYAML_UINT:
		g_string_append(out, "expected a whole number");
		break;
	case CYAML_FLOAT:
		g_string_append(out, "expected a number");
		break;
	case CYAML_BOOL:
		g_string_append(out, "expected true or false");
		break;
	case CYAML_STRING:
		g_string_append(out, "expected text");
		break;
	case CYAML_SEQUENCE:
		g_string_append(out, "expected a list");
		break;
	case CYAML_MAPPING:
		g_string_append(out, "expected fields");
		break;
	case CYAML_ENUM:
		append_choices(schema, choices);
		g_string_append_printf(out, "expected one of %s", choices->str);
		break;
	default:
		break;
	}
	g_string_free(choices, TRUE);
}

/* Copies the part of the message between its first and last single quote. */
static void extract_quoted(const char *message, char *value, size_t size)
{
	const char *open = strchr(message, '\'');

	*value = 0;
	if (!open)
		return;
	g_strlcpy(value, open + 1, size);
	if (strrchr(value, '\''))
		*strrchr(value, '\'') = 0;
}

static void set_unknown_field_error(struct capture *cap, const char *key,
				    const struct cyaml_schema_value *schema,
				    struct tr_error *err)
{
	const struct cyaml_schema_value *at = schema_at(schema, cap->path->str);
	GString *choices = g_string_new(NULL);

	if (at && at->type == CYAML_MAPPING)
		append_choices(at, choices);
	if (cap->path->len)
		g_string_append_c(cap->path, '.');
	g_string_append(cap->path, key);
	tr_error_set(err, TR_UNKNOWN_FIELD, cap->path->str, "",
		     "expected one of %s", choices->str);
	g_string_free(choices, TRUE);
}

/* Sets err from what libcyaml logged and returned. */
static void translate_error(struct capture *cap, cyaml_err_t code,
			    const struct cyaml_schema_value *schema,
			    struct tr_error *err)
{
	GString *expected = g_string_new(NULL);
	const char *colon = strrchr(cap->message, ':');
	const char *tail = colon ? colon + 2 : "";
	char value[64];

	extract_quoted(cap->message, value, sizeof(value));
	append_expected(schema_at(schema, cap->path->str), expected);
	if (code == CYAML_ERR_INVALID_KEY)
		set_unknown_field_error(cap, tail, schema, err);
	else if (strstr(cap->message, "Missing required"))
		tr_error_set(err, TR_MISSING_FIELD, tail, "",
			     "expected it to be given");
	else if (strstr(cap->message, "already seen"))
		tr_error_set(err, TR_DUPLICATE, cap->path->str, "",
			     "expected the field only once");
	else if (code == CYAML_ERR_LIBYAML_PARSER)
		tr_error_set(err, TR_SYNTAX, cap->path->str, "",
			     "expected YAML: %s", tail);
	else
		tr_error_set(err, TR_WRONG_TYPE, cap->path->str, value, "%s",
			     expected->len ? expected->str : cap->message);
	g_string_free(expected, TRUE);
}

/*
 * Loads YAML by a schema. If it does not match, returns NULL and sets err with
 * the line, the field, its value and what was expected.
 */
void *yamlfile_load(const char *text, size_t len,
		    const struct cyaml_schema_value *schema,
		    struct tr_error *err)
{
	struct capture cap = { .path = g_string_new(NULL) };
	const cyaml_config_t config = {
		.log_fn = capture_log,
		.log_ctx = &cap,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
	void *data = NULL;
	cyaml_err_t code;
	int line;

	code = cyaml_load_data((const uint8_t *)text, len, &config, schema,
			       &data, NULL);
	if (code != CYAML_OK) {
		translate_error(&cap, code, schema, err);
		line = yamlfile_find_line(text, len, err->field);
		err->line = line ? line : cap.line;
		data = NULL;
	} else if (!data) {
		tr_error_set(err, TR_MISSING_FIELD, "", "",
			     "expected fields, found an empty document");
		err->line = 1;
	}
	g_string_free(cap.path, TRUE);
	return data;
}

void yamlfile_free(const struct cyaml_schema_value *schema, void *data)
{
	const cyaml_config_t config = { .mem_fn = cyaml_mem };

	if (data)
		cyaml_free(&config, schema, data, 0);
}

/*
 * Reads a whole file of at most MAX_FILE_SIZE bytes, which the caller frees.
 * Returns NULL and sets err on failure.
 */
char *yamlfile_read(const char *path, size_t *len, struct tr_error *err)
{
	FILE *f = fopen(path, "rb");
	char *text = f ? malloc(MAX_FILE_SIZE + 1) : NULL;

	snprintf(err->file, sizeof(err->file), "%s", path);
	if (text) {
		*len = fread(text, 1, MAX_FILE_SIZE + 1, f);
		if (ferror(f) || *len > MAX_FILE_SIZE) {
			free(text);
			text = NULL;
		} else {
			text[*len] = 0;
		}
	}
	if (f)
		fclose(f);
	if (!text)
		tr_error_set(err, TR_FILE_UNREADABLE, "", "",
			     "expected a readable file of at most 1 MB");
	return text;
}
