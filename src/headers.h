/* Names of the HTTP headers. */
#ifndef HEADERS_H
#define HEADERS_H

/* Between callers and the daemon, see docs/INTERFACE.md. */
#define HEADER_SERVICE	       "Toucanreel-Service"
#define HEADER_KEY	       "Toucanreel-Key"
#define HEADER_DEADLINE	       "Toucanreel-Deadline-Ms"
#define HEADER_ORGANISATION    "Toucanreel-Organisation"
#define HEADER_OUTCOME	       "Toucanreel-Outcome"
#define HEADER_CODE	       "Toucanreel-Code"
#define HEADER_RETRY_AFTER     "Toucanreel-Retry-After-Ms"
#define HEADER_REPLAYED	       "Toucanreel-Replayed"
#define HEADER_FORWARDED       "Toucanreel-Forwarded"
#define HEADER_MAC	       "Toucanreel-Mac"
#define HEADER_PREFIX	       "Toucanreel-"
#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"

/* Between the daemon and targets, see docs/INTERFACE.md. */
#define HEADER_NOT_RUN	       "X-Not-Run"
#define HEADER_LOAD	       "X-Load"
#define HEADER_TARGET_STATE    "X-Target-State"
#define HEADER_TRICKLE	       "X-Trickle"
#define HEADER_TARGET_DEADLINE "X-Deadline-Ms"

#endif
