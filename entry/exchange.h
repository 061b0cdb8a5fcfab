#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "entry.h"

extern const struct listener_callbacks exchange_listener;

void exchange_serve_held(struct entry *e);
void exchange_fatal_log(const struct entry *e, uint64_t identity,
			enum tr_fatal_change change);
void exchange_answer_rest(struct entry *e);
void exchange_end_all(struct entry *e);

#endif
