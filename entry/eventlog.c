/*
 * Event log: one line of key=value pairs per decision, on standard output.
 * Lines are buffered and written once per turn of the event loop. When the
 * reader of the pipe stalls they are dropped and counted, because a process
 * that blocks on its log serves no requests.
 */
#include "eventlog.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 768
#define BUFFER_SIZE    65536

static struct {
	char vm[64];
	char buf[BUFFER_SIZE];
	size_t len;
	uint64_t dropped[EVENT_CLASSES];
	uint64_t reported_dropped;
} state;

static const char *const class_names[EVENT_CLASSES] = { "life", "failure",
							"belief", "request" };

/*
 * How full a line of each class may make the buffer, in bytes. Lines of
 * requests leave space for the other classes.
 */
static const size_t class_limit[EVENT_CLASSES] = { BUFFER_SIZE, BUFFER_SIZE,
						   BUFFER_SIZE * 3 / 4,
						   BUFFER_SIZE / 2 };

/*
 * Sets the name of this VM that each line carries. Makes a pipe on standard
 * output non-blocking, so that a slow reader never delays the process.
 */
void eventlog_setup(const char *vm)
{
	struct stat st;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	snprintf(state.vm, sizeof(state.vm), "%s", vm);
	if (flags >= 0 && !fstat(STDOUT_FILENO, &st) && S_ISFIFO(st.st_mode))
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void append(const char *text, size_t len)
{
	memcpy(state.buf + state.len, text, len);
	state.len += len;
}

/*
 * Buffers one line; drops and counts it if the buffer is too full for its
 * class.
 */
void eventlog(enum event_class class, const char *event, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	struct timespec wall;
	va_list ap;
	int n;
	int m;

	clock_gettime(CLOCK_REALTIME, &wall);
	n = snprintf(line, sizeof(line),
		     "time=%" PRId64 ".%06ld vm=%s class=%s event=%s ",
		     (int64_t)wall.tv_sec, wall.tv_nsec / 1000, state.vm,
		     class_names[class], event);
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (state.len + (size_t)n > class_limit[class]) {
		state.dropped[class]++;
		return;
	}
	append(line, (size_t)n);
}

/* Returns how many lines of the class were dropped. */
uint64_t eventlog_dropped(enum event_class class)
{
	return state.dropped[class];
}

/* Writes as much of the buffer as standard output takes. */
void eventlog_flush(void)
{
	ssize_t n;

	if (!state.len)
		return;
	n = write(STDOUT_FILENO, state.buf, state.len);
	if (n < 0 && errno != EAGAIN && errno != EINTR)
		n = (ssize_t)state.len;
	if (n <= 0)
		return;
	state.len -= (size_t)n;
	memmove(state.buf, state.buf + n, state.len);
}
