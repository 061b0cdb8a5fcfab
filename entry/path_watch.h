/* Watches this VM's paths to the targets of each service. */
#ifndef PATH_WATCH_H
#define PATH_WATCH_H

#include "entry.h"

/* Paths that are checked at the same time. */
#define PATH_CHECKS 4

/* A connection on which nothing is sent, to a target of the service. */
struct path_check {
	struct dial dial;
	uint32_t service;
};

bool path_is_cut(const struct entry *e, uint32_t row);
bool path_is_doubtful(const struct entry *e, uint32_t row);
unsigned path_count_cut(const struct entry *e);
uint32_t path_choose_target(struct entry *e, uint32_t service, uint32_t except);
void path_note_connected(struct entry *e, uint32_t row);
void path_note_detour(struct entry *e, uint32_t row);
void path_suspect(struct entry *e, uint32_t row);
bool path_must_wait(const struct entry *e, uint32_t row, apr_time_t since);
void path_late(struct entry *e, uint32_t row, apr_time_t sent_at);
void path_heard(struct entry *e, uint32_t row);
void path_step(struct entry *e, apr_time_t now);
void path_release(struct entry *e);

#endif
