/* Reads and checks the settings file of an entry VM. */
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
/*
 * Bandwidth assumed if the settings give none: the slowest link that fleets run
 * on.
 */
#define DEFAULT_LINK_MBPS 10
/* Memory assumed if the settings give none, and the least: a VM of a small
 * fleet takes a third of it without any request. */
#define DEFAULT_MEMORY_MB 128
#define MIN_MEMORY_MB	  16
/* Defaults in microseconds: the window and the bound that platforms set. */
#define DEFAULT_LIMIT_WINDOW 5000000
#define DEFAULT_KEY_PROOF    5000000
/*
 * In microseconds. VMs hear of each other after 50 ms, so they cannot keep a
 * limit over a shorter window.
 */
#define MIN_LIMIT_WINDOW 100000
#define MAX_TERMS	 64
#define OPT		 CYAML_FLAG_OPTIONAL
#define PTR		 CYAML_FLAG_POINTER
#define SETTINGS	 struct entry_settings
#define BOUNDS		 struct entry_bounds

static const cyaml_schema_value_t text_schema = {
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

static const cyaml_schema_field_t settings_fields[] = {
	CYAML_FIELD_STRING_PTR("name", PTR, SETTINGS, name, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("ip", PTR, SETTINGS, ip, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("data_centre", PTR, SETTINGS, data_centre, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("region", PTR | OPT, SETTINGS, region, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("front", PTR, SETTINGS, front, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("ready", PTR, SETTINGS, ready, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("directory", PTR, SETTINGS, directory, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("store", PTR, SETTINGS, store, 1, TEXT_CHARS),
	CYAML_FIELD_UINT("peer_port", CYAML_FLAG_DEFAULT, SETTINGS, peer_port),
	CYAML_FIELD_UINT("metrics_port", OPT, SETTINGS, metrics_port),
	CYAML_FIELD_FLOAT("link_mbps", OPT, SETTINGS, link_mbps),
	CYAML_FIELD_UINT("memory_mb", OPT, SETTINGS, memory_mb),
	CYAML_FIELD_BOOL("first_start", OPT, SETTINGS, first_start),
	CYAML_FIELD_SEQUENCE("seeds", PTR, SETTINGS, seeds, &text_schema, 0,
			     64),
	CYAML_FIELD_MAPPING("bounds", CYAML_FLAG_DEFAULT, SETTINGS, bounds,
			    bounds_fields),
	CYAML_FIELD_SEQUENCE("terms", PTR | OPT, SETTINGS, terms, &text_schema,
			     0, MAX_TERMS),
	CYAML_FIELD_BOOL("overload_control", OPT, SETTINGS, overload_control),
	CYAML_FIELD_BOOL("leave_data_centre", OPT, SETTINGS, leave_data_centre),
	CYAML_FIELD_BOOL("learn_target_speed", OPT, SETTINGS,
			 learn_target_speed),
	CYAML_FIELD_BOOL("bound_target_bytes", OPT, SETTINGS,
			 bound_target_bytes),
	CYAML_FIELD_BOOL("weigh_vms", OPT, SETTINGS, weigh_vms),
	CYAML_FIELD_FLOAT("cpu_share", OPT, SETTINGS, cpu_share),
	CYAML_FIELD_SEQUENCE("switched_off", PTR | OPT, SETTINGS, switched_off,
			     &text_schema, 0, TR_MECHANISMS),
	CYAML_FIELD_IGNORE("rest", OPT),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, SETTINGS, settings_fields),
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

/* Parses a duration such as "250ms" or "2.5s" into microseconds. */
static int check_duration(const char *field, const char *value, int64_t *us,
			  struct tr_error *err)
{
	char *unit;
	double n = g_ascii_strtod(value, &unit);

	*us = (int64_t)(n * (!strcmp(unit, "s") ? 1e6 : 1e3));
	if (unit != value && *us > 0 &&
	    (!strcmp(unit, "s") || !strcmp(unit, "ms")))
		return 0;
	return tr_error_set(err, TR_OUT_OF_RANGE, field, value,
			    "expected a duration such as 250ms or 2.5s");
}

/* Switches off the mechanisms that the settings name, for experiments. */
static int apply_switched_off(const struct entry_settings *s,
			      struct tr_error *err)
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

/*
 * Checks the optional bounds on callers' keys and on limits, and sets their
 * defaults.
 */
static int check_key_bounds(struct entry_settings *s, struct tr_error *err)
{
	struct entry_bounds *b = &s->bounds;

	s->limit_window_us = DEFAULT_LIMIT_WINDOW;
	s->key_proof_us = DEFAULT_KEY_PROOF;
	if (b->limit_window &&
	    check_duration("bounds.limit_window", b->limit_window,
			   &s->limit_window_us, err))
		return -1;
	if (s->limit_window_us < MIN_LIMIT_WINDOW)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.limit_window",
				    b->limit_window,
				    "expected a duration of 100ms or more");
	if (b->key_proof && check_duration("bounds.key_proof", b->key_proof,
					   &s->key_proof_us, err))
		return -1;
	if (b->limit_over >= 0)
		return 0;
	return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.limit_over", "",
			    "expected a number of 0 or more");
}

static int check(struct entry_settings *s, struct tr_error *err)
{
	struct in_addr ip;

	if (inet_pton(AF_INET, s->ip, &ip) != 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "ip", s->ip,
				    "expected an IPv4 address");
	if (check_address("front", s->front, err) ||
	    check_address("ready", s->ready, err) ||
	    check_address("directory", s->directory, err) ||
	    check_address("store", s->store, err))
		return -1;
	if (!s->peer_port || s->peer_port > 65535 || s->metrics_port > 65535)
		return tr_error_set(err, TR_OUT_OF_RANGE, "peer_port", "",
				    "expected a port from 1 to 65535");
	if (!s->link_mbps)
		s->link_mbps = DEFAULT_LINK_MBPS;
	if (!(s->link_mbps >= 1))
		return tr_error_set(err, TR_OUT_OF_RANGE, "link_mbps", "",
				    "expected megabits per second, 1 or more");
	if (!s->memory_mb)
		s->memory_mb = DEFAULT_MEMORY_MB;
	if (s->memory_mb < MIN_MEMORY_MB)
		return tr_error_set(err, TR_OUT_OF_RANGE, "memory_mb", "",
				    "expected megabytes, 16 or more");
	if (!(s->cpu_share >= 0))
		return tr_error_set(err, TR_OUT_OF_RANGE, "cpu_share", "",
				    "expected a number of cores, 0 or more");
	for (unsigned i = 0; i < s->seeds_count; i++)
		if (check_address("seeds", s->seeds[i], err))
			return -1;
	if (s->bounds.repeat_ratio < 0 || s->bounds.repeat_ratio > 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.repeat_ratio",
				    "", "expected a number from 0 to 1");
	if (s->bounds.floor_share < 0 || s->bounds.floor_share > 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "bounds.floor_share",
				    "", "expected a number from 0 to 1");
	if (check_key_bounds(s, err))
		return -1;
	return check_duration("bounds.repeat_window", s->bounds.repeat_window,
			      &s->repeat_window_us, err) ||
			       check_duration("bounds.keep_most",
					      s->bounds.keep_most,
					      &s->keep_most_us, err) ||
			       check_duration("bounds.grace", s->bounds.grace,
					      &s->grace_us, err) ||
			       check_duration("bounds.drain", s->bounds.drain,
					      &s->drain_us, err)
		       ? -1
		       : 0;
}

/* Whether a term of the platform is in force. */
bool entry_settings_has_term(const struct entry_settings *s, const char *term)
{
	for (unsigned i = 0; i < s->terms_count; i++)
		if (!strcmp(s->terms[i], term))
			return true;
	return false;
}

/*
 * Reads and checks the settings. Returns NULL and fills err if they are
 * invalid.
 */
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
	if (!check(s, err) && !apply_switched_off(s, err))
		return s;
	err->line = yamlfile_find_line(text, len, err->field);
	entry_settings_free(s);
	return NULL;
}

void entry_settings_free(struct entry_settings *settings)
{
	yamlfile_free(&schema, settings);
}
