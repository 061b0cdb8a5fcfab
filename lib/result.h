#ifndef TR_RESULT_H
#define TR_RESULT_H

/*
 * Result codes. docs/ERRORS.md has the same table; tests/result_test.cc
 * compares the two. Columns: enum name, number, name in the output, outcome,
 * HTTP status, text.
 */
#define TR_RESULTS(X)                                                       \
	X(OK, 0, "ok", NONE, 200, "no error")                               \
	X(ANSWERED, 100, "answered", ANSWERED, 200,                         \
	  "the target's whole answer was passed on")                        \
	X(NO_SERVICE, 201, "no-service", NOT_RUN, 404,                      \
	  "the request names no service that this VM knows")                \
	X(NO_ROUTE, 202, "no-route", NOT_RUN, 404,                          \
	  "no route of the service's document matches")                     \
	X(QUEUE_FULL, 203, "queue-full", NOT_RUN, 503,                      \
	  "every slot is busy and the queue is full")                       \
	X(WOULD_BE_LATE, 204, "would-be-late", NOT_RUN, 503,                \
	  "the work could not finish before its deadline")                  \
	X(NO_TARGET, 205, "no-target", NOT_RUN, 503,                        \
	  "no target can be given work now")                                \
	X(KEY_NEEDED, 206, "key-needed", NOT_RUN, 428,                      \
	  "a request that must not repeat needs a key; one is enclosed")    \
	X(WRONG_VM, 207, "wrong-vm", NOT_RUN, 421,                          \
	  "this VM does not serve the service; addresses are enclosed")     \
	X(NOT_READY, 208, "not-ready", NOT_RUN, 503,                        \
	  "this VM has no confirmed document yet")                          \
	X(BAD_REQUEST, 210, "bad-request", NOT_RUN, 400,                    \
	  "the request is malformed")                                       \
	X(TOO_LARGE, 211, "too-large", NOT_RUN, 413,                        \
	  "the request is larger than the service's document allows")       \
	X(TARGET_REFUSED, 213, "target-refused", NOT_RUN, 503,              \
	  "every target tried said that it did not run the request")        \
	X(UNREACHED, 214, "unreached", NOT_RUN, 503,                        \
	  "no byte of the request reached a target")                        \
	X(OVER_SHARE, 215, "over-share", NOT_RUN, 429,                      \
	  "the organisation has used up its share of the queue")            \
	X(KEYS_FULL, 216, "keys-full", NOT_RUN, 503,                        \
	  "no room to remember another request that must not repeat")       \
	X(KEY_MALFORMED, 217, "key-malformed", NOT_RUN, 400,                \
	  "the key was not minted by this fleet for this service")          \
	X(TIMED_OUT, 301, "timed-out", UNKNOWN, 504,                        \
	  "the deadline passed after the request was sent")                 \
	X(BROKEN, 302, "broken", UNKNOWN, 502,                              \
	  "the connection broke after the request was sent")                \
	X(CUT_SHORT, 303, "cut-short", UNKNOWN, 502,                        \
	  "the target's answer was cut short")                              \
	X(GARBAGE, 304, "garbage", UNKNOWN, 502,                            \
	  "the target's answer was not valid HTTP")                         \
	X(KEY_DEAD, 305, "key-dead", UNKNOWN, 409,                          \
	  "the process that minted the key is gone")                        \
	X(KEY_EXPIRED, 306, "key-expired", UNKNOWN, 409,                    \
	  "the key has expired; what became of it is forgotten")            \
	X(KEY_RUNNING, 307, "key-running", UNKNOWN, 409,                    \
	  "a request with this key is still running")                       \
	X(CALLER_GONE, 308, "caller-gone", UNKNOWN, 499,                    \
	  "the caller went away")                                           \
	X(KEY_SPENT, 309, "key-spent", UNKNOWN, 409,                        \
	  "a request with this key was sent and its outcome is unknown")    \
	X(ANSWER_DROPPED, 310, "answer-dropped", ANSWERED, 409,             \
	  "the request ran and was answered; the answer is no longer kept") \
	X(KEY_OTHER_BODY, 311, "key-other-body", NOT_RUN, 422,              \
	  "the key was used before with another request")                   \
	X(FILE_UNREADABLE, 401, "file-unreadable", NONE, 500,               \
	  "a file could not be read")                                       \
	X(SYNTAX, 402, "syntax", NONE, 500, "not valid YAML or JSON")       \
	X(UNKNOWN_FIELD, 403, "unknown-field", NONE, 500,                   \
	  "a field that does not exist")                                    \
	X(WRONG_TYPE, 404, "wrong-type", NONE, 500,                         \
	  "a value of the wrong type")                                      \
	X(OUT_OF_RANGE, 405, "out-of-range", NONE, 500,                     \
	  "a value outside its range")                                      \
	X(MISSING_FIELD, 406, "missing-field", NONE, 500,                   \
	  "a field that must be given")                                     \
	X(CONTRADICTION, 407, "contradiction", NONE, 500,                   \
	  "two values that cannot both hold")                               \
	X(DUPLICATE, 408, "duplicate", NONE, 500, "the same thing twice")   \
	X(PORT_IN_USE, 409, "port-in-use", NONE, 500,                       \
	  "an address could not be bound")                                  \
	X(UNDECODABLE, 502, "undecodable", NONE, 500,                       \
	  "a datagram could not be decoded")                                \
	X(STALE_DATAGRAM, 503, "stale-datagram", NONE, 500,                 \
	  "a datagram of an earlier sequence number or incarnation")        \
	X(NO_MEMORY, 506, "no-memory", NONE, 500, "out of memory")

enum tr_result {
#define TR_RESULT_ENUM(name, number, word, outcome, http, text) \
	TR_##name = (number),
	TR_RESULTS(TR_RESULT_ENUM)
#undef TR_RESULT_ENUM
};

/* What is known of whether a request ran. */
enum tr_outcome {
	TR_OUTCOME_NONE,
	TR_OUTCOME_ANSWERED,
	TR_OUTCOME_NOT_RUN, /* certain: it may be sent again */
	TR_OUTCOME_UNKNOWN, /* it may have run */
};

const char *tr_result_name(enum tr_result code);
const char *tr_result_text(enum tr_result code);
enum tr_outcome tr_result_outcome(enum tr_result code);
int tr_result_http_status(enum tr_result code);
const char *tr_outcome_name(enum tr_outcome outcome);

#endif
