#include "entry_settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "cleanup.h"
#include "error.h"
#include "mechanism.h"
#include "stream.h"
#include "yamlfile.h"

#define TEXT_CHARS 256
/* A VM whose link is not told is taken for one on the thinnest of those that
 * fleets run on. */
#define LINK_MBPS 10
/* Where they are not set: the window and the bound that platforms set. */
#define LIMIT_WINDOW 5000000
#define KEY_PROOF    5000000
/* A shorter window can't be kept by VMs that hear of each other after 50 ms. */
#define LIMIT_WINDOW_LEAST 100000
#define OPT		   CYAML_FLAG_OPTIONAL
#define PTR		   CYAML_FLAG_POINTER
#define SET		   struct entry_settings
#define BOUNDS		   struct entry_bounds

static const cyaml_schema_value_t word = {
	CYAML_VALUE_STRING(PTR, char, 1, TEXT_CHARS),
};

static const cyaml_schema_field_t bounds_fields[] = {
	CYAML_FIELD_FLOAT("repeat_ratio", CYAML_FLAG_DEFAULT, BOUNDS,
			  repeat_ratio),
	CYAML_FIELD_UINT("repeat_slack", CYAML_FLAG_DEFAULT, BOUNDS,
			 repeat_slack),
	CYAML_FIELD_FLOAT("floor_share", CYAML_FLAG_DEFAULT, BOUNDS,
			  floor_share),
	CYAML_FIELD_BOOL("fail_closed", OPT, BOUNDS, fail_closed),
	CYAML_FIELD_FLOAT("limit_over", OPT, BOUNDS, limit_over),
	CYAML_FIELD_UINT("limit_slack", OPT, BOUNDS, limit_slack),
	CYAML_FIELD_STRING_PTR("limit_window", PTR | OPT, BOUNDS, limit_window,
			       1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("key_proof", PTR | OPT, BOUNDS, key_proof, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("repeat_window", PTR, BOUNDS, repeat_window, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("keep_most", PTR, BOUNDS, keep_most, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("grace", PTR, BOUNDS, grace, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("drain", PTR, BOUNDS, drain, 1, TEXT_CHARS),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t fields[] = {
	CYAML_FIELD_STRING_PTR("name", PTR, SET, name, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("ip", PTR, SET, ip, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("data_centre", PTR, SET, data_centre, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("region", PTR | OPT, SET, region, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("front", PTR, SET, front, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("ready", PTR, SET, ready, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("directory", PTR, SET, directory, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("store", PTR, SET, store, 1, TEXT_CHARS),
	CYAML_FIELD_UINT("peer_port", CYAML_FLAG_DEFAULT, SET, peer_port),
	CYAML_FIELD_UINT("metrics_port", OPT, SET, metrics_port),
	CYAML_FIELD_FLOAT("link_mbps", OPT, SET, link_mbps),
	CYAML_FIELD_BOOL("first_start", OPT, SET, first_start),
	CYAML_FIELD_SEQUENCE("seeds", PTR, SET, seeds, &word, 0, 64),
	CYAML_FIELD_MAPPING("bounds", CYAML_FLAG_DEFAULT, SET, bounds,
			    bounds_fields),
	CYAML_FIELD_SEQUENCE("switched_off", PTR | OPT, SET, switched_off,
			     &word, 0, TR_MECHANISMS),
	CYAML_FIELD_IGNORE("rest", OPT),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, SET, fields),
};

static int check_address(const char *field, const char *value,
			 struct tr_error *err)
{
	struct sockaddr_in addr;

	if (!stream_parse_address(value, &addr))
		return 0;
	return tr_error_set(err, TR_OUT_OF_RANGE, field, value,
			    "expected IP:PORT");
}

/* "250ms" or "2.5s" in us. */
static int check_time(const char *field, const char *value, int64_t *us,
		      struct tr_error *err)
{
	char *unit;
	double n = g_ascii_strtod(value, &unit);

	*us = (int64_t)(n * (!strcmp(unit, "s") ? 1e6 : 1e3));
	if (unit != value && *us > 0 &&
	    (!strcmp(unit, "s") || !strcmp(unit, "ms")))
		return 0;
	return tr_error_set(err, TR_OUT_OF_RANGE, field, value,
			    "expected a time such as 250ms or 2.5s");
}

/* For experiments: what is named here is switched off. */
static int switch_off(const struct entry_settings *s, struct tr_error *err)
{
	g_autoptr(GString) names = g_string_new("expected one of");

	for (int i = 0; i < TR_MECHANISMS; i++)
		g_string_append_printf(names, " %s",
				       tr_mechanism_name((enum tr_mechanism)i));
	tr_mechanisms_enable_all();
	for (unsigned i = 0; i < s->switched_off_count; i++)
		if (tr_mechanism_disable(s->switched_off[i]))
			return tr_error_set(err, TR_OUT_OF_RANGE,
					    "switched_off", s->switched_off[i],
					    "%s", names->str);
	return 0;
}

/* Bounds of callers' keys and of limits, which may be left out. */
static int check_keys(struct entry_settings *s, struct tr_error *err)
{
	struct entry_bounds *b = &s->bounds;

	s->limit_window_us = LIMIT_WINDOW;
	s->key_proof_us = KEY_PROOF;
	if (b->limit_window &&
	    check_time("bounds.limit_window", b->limit_window,
		       &s->limit_window_us, err))
		return -1;
	if (s->limit_window_us < LIMIT_WINDOW_LEAST)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.limit_window",
				    b->limit_window,
				    "expected a time of 100ms or more");
	if (b->key_proof &&
	    check_time("bounds.key_proof", b->key_proof, &s->key_proof_us, err))
		return -1;
	if (b->limit_over >= 0)
		return 0;
	return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.limit_over", "",
			    "expected a share of 0 or more");
}

static int check(struct entry_settings *s, struct tr_error *err)
{
	struct in_addr ip;

	if (inet_pton(AF_INET, s->ip, &ip) != 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "ip", s->ip,
				    "expected an IPv4 number");
	if (check_address("front", s->front, err) ||
	    check_address("ready", s->ready, err) ||
	    check_address("directory", s->directory, err) ||
	    check_address("store", s->store, err))
		return -1;
	if (!s->peer_port || s->peer_port > 65535 || s->metrics_port > 65535)
		return tr_error_set(err, TR_OUT_OF_RANGE, "peer_port", "",
				    "expected a port from 1 to 65535");
	if (!s->link_mbps)
		s->link_mbps = LINK_MBPS;
	if (!(s->link_mbps >= 1))
		return tr_error_set(err, TR_OUT_OF_RANGE, "link_mbps", "",
				    "expected megabits a second, 1 or more");
	for (unsigned i = 0; i < s->seeds_count; i++)
		if (check_address("seeds", s->seeds[i], err))
			return -1;
	if (s->bounds.repeat_ratio < 0 || s->bounds.repeat_ratio > 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.repeat_ratio",
				    "", "expected a share from 0 to 1");
	if (s->bounds.floor_share < 0 || s->bounds.floor_share > 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.floor_share",
				    "", "expected a share from 0 to 1");
	if (check_keys(s, err))
		return -1;
	return check_time("bounds.repeat_window", s->bounds.repeat_window,
			  &s->repeat_window_us, err) ||
			       check_time("bounds.keep_most",
					  s->bounds.keep_most, &s->keep_most_us,
					  err) ||
			       check_time("bounds.grace", s->bounds.grace,
					  &s->grace_us, err) ||
			       check_time("bounds.drain", s->bounds.drain,
					  &s->drain_us, err)
		       ? -1
		       : 0;
}

/* Read and check the settings. NULL and err when they are wrong. */
struct entry_settings *entry_settings_load(const char *path,
					   struct tr_error *err)
{
	struct entry_settings *s;
	size_t len = 0;
	auto_free char *text = yamlfile_read(path, &len, err);

	if (!text)
		return NULL;
	s = yamlfile_load(text, len, &schema, err);
	if (!s)
		return NULL;
	if (!check(s, err) && !switch_off(s, err))
		return s;
	err->line = yamlfile_line(text, len, err->field);
	entry_settings_free(s);
	return NULL;
}

void entry_settings_free(struct entry_settings *settings)
{
	yamlfile_free(&schema, settings);
}
