/* Logging through GLib, with a level and the name of the module. */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

void log_setup(enum log_level level, bool json, const char *process);
void log_write(enum log_level level, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Each file that logs defines LOG_MODULE before it includes this header. */
#define log_error(...)	 log_write(LOG_LEVEL_ERROR, LOG_MODULE, __VA_ARGS__)
#define log_warning(...) log_write(LOG_LEVEL_WARNING, LOG_MODULE, __VA_ARGS__)
#define log_info(...)	 log_write(LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define log_debug(...)	 log_write(LOG_LEVEL_DEBUG, LOG_MODULE, __VA_ARGS__)

#endif
