#ifndef STREAM_H
#define STREAM_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "loop.h"

/* Why a stream ended, as seen from here. */
enum stream_end {
	STREAM_CLOSED,
	STREAM_RESET,
	STREAM_UNREACHED,
};

struct stream_callbacks {
	void (*connected)(void *ctx);
	void (*received)(void *ctx, const char *data, size_t len);
	void (*ended)(void *ctx, enum stream_end why);
	void (*drained)(void *ctx);
};

/* A TCP connection on the loop; refused: nobody listens at its other end. None
 * of its calls comes after stream_close. */
struct stream {
	struct loop *loop;
	const struct stream_callbacks *calls;
	void *ctx;
	int fd;
	bool connecting;
	bool refused;
	bool wants_write;
	GByteArray *out;
	size_t out_at;
	uint64_t sent;
};

int stream_connect(struct stream *s, struct loop *loop,
		   const struct sockaddr_in *to, const char *from_ip,
		   const struct stream_callbacks *calls, void *ctx);
int stream_adopt(struct stream *s, struct loop *loop, int fd,
		 const struct stream_callbacks *calls, void *ctx);
void stream_write(struct stream *s, const void *data, size_t len);
bool stream_is_drained(const struct stream *s);
void stream_resume(struct stream *s);
void stream_move(struct stream *to, struct stream *from,
		 const struct stream_callbacks *calls, void *ctx);
void stream_close(struct stream *s);
int stream_parse_address(const char *text, struct sockaddr_in *addr);
int stream_listen(const char *address);

#endif
