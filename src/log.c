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
} setup = { LOG_LEVEL_INFO, false, "toucanreel" };

static const char *const level_words[] = { "error", "warning", "info",
					   "debug" };

static const GLogLevelFlags glib_levels[] = {
	G_LOG_LEVEL_CRITICAL,
	G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_INFO,
	G_LOG_LEVEL_DEBUG,
};

static const char *field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!g_strcmp0(fields[i].key, key))
			return fields[i].value;
	return "";
}

static void stamp(char *buf, size_t size)
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
	auto_json json_t *line = json_pack(
		"{s:s, s:s, s:s, s:s, s:s}", "time", when, "level", level,
		"process", setup.process, "module", module, "message", message);
	auto_free char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	if (text)
		fprintf(stderr, "%s\n", text);
}

static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields,
			       gsize n, gpointer ctx)
{
	const char *word = field(fields, n, "TR_LEVEL");
	const char *module = field(fields, n, "TR_MODULE");
	const char *message = field(fields, n, "MESSAGE");
	char when[40];

	(void)level;
	(void)ctx;
	stamp(when, sizeof(when));
	if (setup.json)
		write_json(when, word, module, message);
	else
		fprintf(stderr, "%s %-7s %s %s: %s\n", when, word,
			setup.process, module, message);
	return G_LOG_WRITER_HANDLED;
}

/* Send the log to standard error, as text or as JSON lines. */
void log_setup(enum log_level level, bool json, const char *process)
{
	setup.level = level;
	setup.json = json;
	setup.process = process;
	g_log_set_writer_func(writer, NULL, NULL);
}

/* Log one message of a module. Use the macros of log.h. */
void log_write(enum log_level level, const char *module, const char *fmt, ...)
{
	char message[512];
	va_list ap;

	if (level > setup.level)
		return;
	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	g_log_structured("toucanreel", glib_levels[level], "TR_LEVEL",
			 level_words[level], "TR_MODULE", module, "MESSAGE",
			 "%s", message);
}
