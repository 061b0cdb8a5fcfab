#ifndef EXCHANGE_H
#define EXCHANGE_H

/* Requests of callers, from arrival to reply. */
#include "entry.h"

extern const struct listener_callbacks exchange_callbacks;

void exchange_resume_held(struct entry *e);
void exchange_fatal_log(const struct entry *e, uint64_t identity,
			enum tr_fatal_change change);
void exchange_leave_cut_path(struct entry *e, uint32_t service);
void exchange_refuse_unread(struct entry *e);
void exchange_reply_all(struct entry *e);
void exchange_free_all(struct entry *e);

#endif
