/* Handling of what targets announce about themselves: rate limits, that they
 * are leaving, and times to back off. */
#ifndef NOTICES_H
#define NOTICES_H

#include "entry.h"

struct upstream;

void notices_handle(struct entry *e, uint32_t row, uint32_t hash,
		    const struct message *answer);
void notices_log_limit(const struct tr_instance *row,
		       const struct tr_send_limit *limit,
		       enum tr_send_limit_change change, const char *from);
bool notices_mark_leaving(struct entry *e, struct tr_instance *row,
			  const char *from);

#endif
