/* The YAML schema, defaults and checks of the settings file. */
#include "settings.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "document.h"
#include "error.h"
#include "log.h"
#include "yamlfile.h"

#define TEXT_CHARS 256
#define OPT	   CYAML_FLAG_OPTIONAL
#define PTR	   CYAML_FLAG_POINTER
#define SETTINGS   struct settings

static const cyaml_strval_t level_values[] = {
	{ "error", LOG_LEVEL_ERROR },
	{ "warning", LOG_LEVEL_WARNING },
	{ "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
};

static const cyaml_schema_value_t string_entry = {
	CYAML_VALUE_STRING(PTR, char, 1, TEXT_CHARS),
};

static const cyaml_schema_field_t fields[] = {
	CYAML_FIELD_STRING_PTR("name", PTR, SETTINGS, name, 1, TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("address", PTR, SETTINGS, address, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("data_centre", PTR, SETTINGS, data_centre, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("region", PTR | OPT, SETTINGS, region, 1,
			       TEXT_CHARS),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, SETTINGS, port),
	CYAML_FIELD_UINT("peer_port", CYAML_FLAG_DEFAULT, SETTINGS, peer_port),
	CYAML_FIELD_UINT("operator_port", CYAML_FLAG_DEFAULT, SETTINGS,
			 operator_port),
	CYAML_FIELD_STRING_PTR("platform", PTR, SETTINGS, platform, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("fleet_key", PTR, SETTINGS, fleet_key, 1,
			       TEXT_CHARS),
	CYAML_FIELD_STRING_PTR("previous_fleet_key", PTR | OPT, SETTINGS,
			       previous_fleet_key, 1, TEXT_CHARS),
	CYAML_FIELD_UINT("keys_remembered", OPT, SETTINGS, keys_remembered),
	CYAML_FIELD_UINT("key_lifetime_s", OPT, SETTINGS, key_lifetime_s),
	CYAML_FIELD_UINT("answers_mb", OPT, SETTINGS, answers_mb),
	CYAML_FIELD_UINT("body_buffer_kb", OPT, SETTINGS, body_buffer_kb),
	CYAML_FIELD_UINT("connections", OPT, SETTINGS, connections),
	CYAML_FIELD_UINT("stop_after_s", OPT, SETTINGS, stop_after_s),
	CYAML_FIELD_ENUM("log_level", OPT | CYAML_FLAG_STRICT, SETTINGS,
			 log_level, level_values,
			 CYAML_ARRAY_LEN(level_values)),
	CYAML_FIELD_STRING_PTR("log_format", PTR | OPT, SETTINGS, log_format, 1,
			       TEXT_CHARS),
	CYAML_FIELD_SEQUENCE("seeds", PTR | OPT, SETTINGS, seeds, &string_entry,
			     0, 16),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, SETTINGS, fields),
};

static void set_defaults(struct settings *s)
{
	if (!s->keys_remembered)
		s->keys_remembered = 65536;
	if (!s->key_lifetime_s)
		s->key_lifetime_s = 300;
	if (!s->answers_mb)
		s->answers_mb = 32;
	if (!s->body_buffer_kb)
		s->body_buffer_kb = 256;
	if (!s->connections)
		s->connections = 4096;
	if (!s->stop_after_s)
		s->stop_after_s = 60;
}

static int check_ranges(const struct settings *s, struct tr_error *err)
{
	const struct {
		const char *field;
		uint32_t value, min, max;
	} ranges[] = {
		{ "port", s->port, 1, 65535 },
		{ "peer_port", s->peer_port, 1, 65535 },
		{ "operator_port", s->operator_port, 1, 65535 },
		{ "keys_remembered", s->keys_remembered, 16, 4194304 },
		{ "key_lifetime_s", s->key_lifetime_s, 1, 86400 },
		{ "answers_mb", s->answers_mb, 1, 1024 },
		{ "body_buffer_kb", s->body_buffer_kb, 16, 65536 },
		{ "connections", s->connections, 16, 60000 },
		{ "stop_after_s", s->stop_after_s, 1, 3600 },
	};
	char text[16];

	for (size_t i = 0; i < sizeof(ranges) / sizeof(ranges[0]); i++) {
		if (ranges[i].value >= ranges[i].min &&
		    ranges[i].value <= ranges[i].max)
			continue;
		snprintf(text, sizeof(text), "%u", ranges[i].value);
		return tr_error_set(err, TR_OUT_OF_RANGE, ranges[i].field, text,
				    "expected %u to %u", ranges[i].min,
				    ranges[i].max);
	}
	return 0;
}

static int check(struct settings *s, struct tr_error *err)
{
	unsigned char ip[4];

	if (inet_pton(AF_INET, s->address, ip) != 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "address", s->address,
				    "expected an IPv4 number");
	if (strlen(s->name) > TR_NAME_MAX)
		return tr_error_set(err, TR_OUT_OF_RANGE, "name", s->name,
				    "expected at most %d characters",
				    TR_NAME_MAX);
	if (strncmp(s->platform, "http://", 7) != 0)
		return tr_error_set(err, TR_OUT_OF_RANGE, "platform",
				    s->platform, "expected http://IP:PORT");
	if (s->port == s->operator_port)
		return tr_error_set(err, TR_CONTRADICTION, "operator_port", "",
				    "expected a port other than that of port");
	if (s->log_format && strcmp(s->log_format, "json") != 0 &&
	    strcmp(s->log_format, "text") != 0)
		return tr_error_set(err, TR_OUT_OF_RANGE, "log_format",
				    s->log_format, "expected text or json");
	s->log_json = s->log_format && !strcmp(s->log_format, "json");
	return check_ranges(s, err);
}

/*
 * Reads and validates the settings of a VM. Returns NULL and sets err if the
 * file cannot be read or is invalid.
 */
struct settings *settings_load(const char *path, struct tr_error *err)
{
	struct settings *s;
	size_t len = 0;
	auto_free char *text = yamlfile_read(path, &len, err);

	if (!text)
		return NULL;
	s = yamlfile_load(text, len, &schema, err);
	if (!s)
		return NULL;
	set_defaults(s);
	if (!check(s, err))
		return s;
	err->line = yamlfile_find_line(text, len, err->field);
	settings_free(s);
	return NULL;
}

void settings_free(struct settings *settings)
{
	yamlfile_free(&schema, settings);
}

static int read_key(const char *path, unsigned char *bytes,
		    struct tr_error *err)
{
	size_t len = 0;
	size_t got = 0;
	auto_free char *text = yamlfile_read(path, &len, err);

	if (!text)
		return -1;
	if (!sodium_hex2bin(bytes, TR_SECRET_SIZE, text, len, "\n", &got,
			    NULL) &&
	    got == TR_SECRET_SIZE)
		return 0;
	return tr_error_set(err, TR_WRONG_TYPE, "", "",
			    "expected a key of %d bytes in hexadecimal",
			    TR_SECRET_SIZE);
}

/*
 * Reads the fleet key, and the previous one during a key rotation. Returns 0,
 * or -1 with err set.
 */
int settings_load_secret(const struct settings *settings,
			 struct tr_secret *secret, struct tr_error *err)
{
	memset(secret, 0, sizeof(*secret));
	if (read_key(settings->fleet_key, secret->bytes, err))
		return -1;
	if (!settings->previous_fleet_key)
		return 0;
	secret->has_previous = 1;
	return read_key(settings->previous_fleet_key, secret->previous, err);
}
