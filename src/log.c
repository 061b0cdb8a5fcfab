/* Writes log lines to standard error, as text or JSON. */
#include "log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "cleanup.h"

static struct {
	enum log_level level;
	bool json;
	const char *process;
} log_config = { LOG_LEVEL_INFO, false, "toucanreel" };

static const char *const level_names[] = { "error", "warning", "info",
					   "debug" };

static const GLogLevelFlags glib_levels[] = {
	G_LOG_LEVEL_CRITICAL,
	G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_INFO,
	G_LOG_LEVEL_DEBUG,
};

static const char *get_field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!g_strcmp0(fields[i].key, key))
			return fields[i].value;
	return "";
}

static void format_time(char *buf, size_t size)
{
	struct timespec now;
	struct tm tm;
	size_t len;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	len = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + len, size - len, ".%03ldZ", now.tv_nsec / 1000000);
}

static void write_json(const char *when, const char *level, const char *module,
		       const char *message)
{
	auto_json json_t *line =
		json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", when, "level",
			  level, "process", log_config.process, "module",
			  module, "message", message);
	auto_free char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	if (text)
		fprintf(stderr, "%s\n", text);
}

static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields,
				  gsize n, gpointer ctx)
{
	const char *level_name = get_field(fields, n, "TR_LEVEL");
	const char *module = get_field(fields, n, "TR_MODULE");
	const char *message = get_field(fields, n, "MESSAGE");
	char when[40];

	(void)level;
	(void)ctx;
	format_time(when, sizeof(when));
	if (log_config.json)
		write_json(when, level_name, module, message);
	else
		fprintf(stderr, "%s %-7s %s %s: %s\n", when, level_name,
			log_config.process, module, message);
	return G_LOG_WRITER_HANDLED;
}

/* Sets the level, the format and the process name of the log. */
void log_setup(enum log_level level, bool json, const char *process)
{
	log_config.level = level;
	log_config.json = json;
	log_config.process = process;
	g_log_set_writer_func(write_log, NULL, NULL);
}

/*
 * Logs a message of at most 511 bytes; longer ones are truncated. To be called
 * through the macros of log.h.
 */
void log_write(enum log_level level, const char *module, const char *fmt, ...)
{
	char message[512];
	va_list ap;

	if (level > log_config.level)
		return;
	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	g_log_structured("toucanreel", glib_levels[level], "TR_LEVEL",
			 level_names[level], "TR_MODULE", module, "MESSAGE",
			 "%s", message);
}
