/*
 * One line a decision, as key=value, on standard output. Lines are gathered and
 * written at each turn of the loop; when the reader of the pipe stalls they are
 * dropped and counted, because a process that waits for its log serves nobody.
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
#define GATHERED_MOST  65536

static struct {
	char vm[64];
	char buf[GATHERED_MOST];
	size_t len;
	uint64_t left_out[EVENT_CLASSES];
	uint64_t reported_left_out;
} state;

static const char *const class_words[EVENT_CLASSES] = { "life", "failure",
							"belief", "request" };

/* Bytes a class may fill the buffer to: requests leave room for the rest. */
static const size_t room[EVENT_CLASSES] = { GATHERED_MOST, GATHERED_MOST,
					    GATHERED_MOST * 3 / 4,
					    GATHERED_MOST / 2 };

/* Name the process in each line, and never wait for the reader. */
void eventlog_setup(const char *vm)
{
	struct stat st;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	snprintf(state.vm, sizeof(state.vm), "%s", vm);
	if (flags >= 0 && !fstat(STDOUT_FILENO, &st) && S_ISFIFO(st.st_mode))
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void put(const char *text, size_t len)
{
	memcpy(state.buf + state.len, text, len);
	state.len += len;
}

/* Write one line; see the header for what is left out under load. */
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
		     class_words[class], event);
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (state.len + (size_t)n > room[class]) {
		state.left_out[class]++;
		return;
	}
	put(line, (size_t)n);
}

uint64_t eventlog_dropped(enum event_class class)
{
	return state.left_out[class];
}

/* Write what was gathered, as far as the reader takes it. */
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
