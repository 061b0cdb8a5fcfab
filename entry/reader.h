/* Keeps the target list and the configuration current from the platform's
 * store. */
#ifndef READER_H
#define READER_H

#include "entry.h"

struct reader *reader_new(struct entry *e);
void reader_step(struct reader *reader);
void reader_reload(struct reader *reader);
void reader_reset(struct reader *reader);
bool reader_sees_outage(const struct reader *reader);
void reader_free(struct reader *reader);

#endif
