#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "entry.h"

extern const struct door_calls exchange_door;

void exchange_serve_held(struct entry *e);
void exchange_end_all(struct entry *e);

#endif
