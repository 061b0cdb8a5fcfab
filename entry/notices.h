#ifndef NOTICES_H
#define NOTICES_H

#include "entry.h"

void notices_heard(struct entry *e, uint32_t row, uint32_t hash,
		   const struct message *answer);

#endif
