/* Keeps up how much leaves this VM's data centre, and counts what does. */
#ifndef CROSSING_WATCH_H
#define CROSSING_WATCH_H

#include "entry.h"

struct tr_crossing *crossing_of(struct entry *e, uint32_t service);
void crossing_note_arrivals(struct entry *e, uint32_t service,
			    unsigned requests);
void crossing_note_connected(struct entry *e, uint32_t row, apr_time_t took);
void crossing_note_unreached(struct entry *e, uint32_t row);
void crossing_note_sent(struct entry *e, uint32_t row, size_t bytes);
void crossing_note_answered(struct entry *e, uint32_t row, size_t request_bytes,
			    size_t answer_bytes);
void crossing_step(struct entry *e, apr_time_t now);

#endif
