#ifndef STREAM_H
#define STREAM_H

/* Non-blocking TCP connections on the event loop, with buffered output. */
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "buffers.h"
#include "loop.h"

/* Why a stream ended. */
enum stream_end {
	STREAM_CLOSED, /* by the peer, in order */
	STREAM_RESET,  /* with an error */
	STREAM_CONNECT_FAILED,
};

/* Callbacks of a stream's owner. connected and drained may be NULL. */
struct stream_callbacks {
	void (*connected)(void *ctx);
	void (*received)(void *ctx, const char *data, size_t len);
	void (*ended)(void *ctx, enum stream_end why);
	void (*drained)(void *ctx); /* all output was sent */
};

/* A TCP connection. No callback runs after stream_close(). */
struct stream {
	struct loop *loop;
	const struct stream_callbacks *calls;
	void *ctx;
	int fd;
	bool connecting;
	bool refused;	   /* nothing listened at the peer */
	bool wants_write;  /* the loop watches for writability */
	bool paused;	   /* nothing is read */
	bool write_failed; /* nothing more can be sent */
	bool lost;	   /* a write failed, and not by an orderly end */
	GByteArray *out;   /* output buffer */
	size_t out_offset; /* bytes of out that were sent */
	uint64_t sent;	   /* bytes, since it was opened */
	/* The account of the output buffer, or NULL. */
	struct tr_buffers *buffers;
	uint32_t buffer; /* its handle */
};

int stream_connect(struct stream *s, struct loop *loop,
		   const struct sockaddr_in *to, const char *from_ip,
		   const struct stream_callbacks *calls, void *ctx);
int stream_adopt(struct stream *s, struct loop *loop, int fd,
		 const struct stream_callbacks *calls, void *ctx);
void stream_account(struct stream *s, struct tr_buffers *buffers,
		    const struct tr_buffer_use *use);
void stream_write(struct stream *s, const void *data, size_t len);
bool stream_is_drained(const struct stream *s);
size_t stream_pending(const struct stream *s);
void stream_pause(struct stream *s);
void stream_resume(struct stream *s);
void stream_move(struct stream *to, struct stream *from,
		 const struct stream_callbacks *calls, void *ctx);
void stream_close(struct stream *s);
int stream_parse_address(const char *text, struct sockaddr_in *addr);
int stream_listen(const char *address);

#endif
