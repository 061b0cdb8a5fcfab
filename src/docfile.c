/* The YAML schema of service documents, see lib/document.h. */
#include "docfile.h"

#include <stdio.h>
#include <string.h>

#include "document.h"
#include "error.h"
#include "yamlfile.h"

#define MAX_NAME_CHARS	    128
#define MAX_DOCUMENT_ROUTES 512
#define OPT		    CYAML_FLAG_OPTIONAL
#define OPT_PTR		    (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define DOC		    struct tr_document

static const cyaml_strval_t repeat_values[] = {
	{ "idempotent", TR_REPEAT_IDEMPOTENT },
	{ "never", TR_REPEAT_NEVER },
};

static const cyaml_strval_t priority_values[] = {
	{ "must-get-through", TR_PRIORITY_MUST },
	{ "normal", TR_PRIORITY_NORMAL },
	{ "shed-first", TR_PRIORITY_SHED_FIRST },
};

static const cyaml_strval_t detector_values[] = {
	{ "cusum", TR_DETECTOR_CUSUM },
	{ "health", TR_DETECTOR_HEALTH },
	{ "consecutive", TR_DETECTOR_CONSECUTIVE },
	{ "success-rate", TR_DETECTOR_SUCCESS_RATE },
};

static const cyaml_schema_value_t string_entry = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, MAX_NAME_CHARS),
};

static const cyaml_schema_field_t route_fields[] = {
	CYAML_FIELD_STRING_PTR("path", CYAML_FLAG_POINTER, struct tr_route,
			       path, 0, 1024),
	CYAML_FIELD_SEQUENCE("methods", OPT_PTR, struct tr_route, methods,
			     &string_entry, 0, 8),
	CYAML_FIELD_ENUM("repeat", CYAML_FLAG_STRICT, struct tr_route, repeat,
			 repeat_values, CYAML_ARRAY_LEN(repeat_values)),
	CYAML_FIELD_ENUM("priority", CYAML_FLAG_STRICT, struct tr_route,
			 priority, priority_values,
			 CYAML_ARRAY_LEN(priority_values)),
	CYAML_FIELD_UINT("deadline_ms", OPT, struct tr_route, deadline_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t route = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct tr_route, route_fields),
};

static const cyaml_schema_field_t target_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER,
			       struct tr_listed_target, name, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER,
			       struct tr_listed_target, address, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_STRING_PTR("data_centre", CYAML_FLAG_POINTER,
			       struct tr_listed_target, data_centre, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t target = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct tr_listed_target,
			    target_fields),
};

static const cyaml_schema_field_t ejection_fields[] = {
	CYAML_FIELD_FLOAT("false_per_day", OPT, struct tr_ejection_rules,
			  false_per_day),
	CYAML_FIELD_UINT("detect_ms", OPT, struct tr_ejection_rules, detect_ms),
	CYAML_FIELD_ENUM("detector", OPT | CYAML_FLAG_STRICT,
			 struct tr_ejection_rules, detector, detector_values,
			 CYAML_ARRAY_LEN(detector_values)),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t fields[] = {
	CYAML_FIELD_STRING_PTR("service", CYAML_FLAG_POINTER, DOC, service, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_STRING_PTR("team", CYAML_FLAG_POINTER, DOC, team, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER, DOC,
			     data_centres, &string_entry, 0, CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR("target_list", OPT_PTR, DOC, target_list, 0,
			       MAX_NAME_CHARS),
	CYAML_FIELD_SEQUENCE("targets", OPT_PTR, DOC, targets, &target, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_UINT("floor", CYAML_FLAG_DEFAULT, DOC, floor),
	CYAML_FIELD_MAPPING("ejection", OPT, DOC, ejection, ejection_fields),
	CYAML_FIELD_UINT("slots", OPT, DOC, slots),
	CYAML_FIELD_UINT("connections", OPT, DOC, connections),
	CYAML_FIELD_UINT("cell", OPT, DOC, cell),
	CYAML_FIELD_UINT("keep_s", OPT, DOC, keep_s),
	CYAML_FIELD_UINT("leave_s", OPT, DOC, leave_s),
	CYAML_FIELD_UINT("cold_s", OPT, DOC, cold_s),
	CYAML_FIELD_UINT("deadline_ms", OPT, DOC, deadline_ms),
	CYAML_FIELD_UINT("max_body_mb", OPT, DOC, max_body_mb),
	CYAML_FIELD_UINT("retry_percent", OPT, DOC, retry_percent),
	CYAML_FIELD_UINT("queue", OPT, DOC, queue),
	CYAML_FIELD_UINT("share_percent", OPT, DOC, share_percent),
	CYAML_FIELD_SEQUENCE("routes", CYAML_FLAG_POINTER, DOC, routes, &route,
			     0, MAX_DOCUMENT_ROUTES),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, DOC, fields),
};

/*
 * Parses and validates the document of a service, and fills in defaults. name
 * stands for the file in errors. The daemon and "toucanreel check" both use
 * this function, so that they refuse the same documents with the same errors.
 * Returns NULL and sets err on failure; docfile_free frees the document.
 */
struct tr_document *docfile_parse(const char *text, size_t len,
				  const char *name, struct tr_error *err)
{
	struct tr_document *doc;

	memset(err, 0, sizeof(*err));
	snprintf(err->file, sizeof(err->file), "%s", name);
	doc = yamlfile_load(text, len, &schema, err);
	if (!doc)
		return NULL;
	tr_document_defaults(doc);
	if (!tr_document_check(doc, err))
		return doc;
	err->line = yamlfile_find_line(text, len, err->field);
	docfile_free(doc);
	return NULL;
}

void docfile_free(struct tr_document *doc)
{
	yamlfile_free(&schema, doc);
}
