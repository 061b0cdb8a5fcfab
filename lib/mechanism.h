#ifndef TR_MECHANISM_H
#define TR_MECHANISM_H

#include <stdbool.h>

/* What the fleet's decisions rest on; each can be switched off, to measure what
 * it is worth. */
enum tr_mechanism {
	TR_MECH_RUNNING_AGE,
	TR_MECH_SERVICE_SPREAD,
	TR_MECH_LEARNED_SHARE,
	TR_MECH_BLUR,
	TR_MECH_FLOOR,
	TR_MECH_SCOUTS,
	TR_MECH_CENTRE_PREFERENCE,
	TR_MECH_EARLY_REFUSAL,
	TR_MECH_SECONDING,
	TR_MECH_REPEAT_REFUSED,
	TR_MECH_FIRST_FAILURE_NEWS,
	TR_MECH_CENTRE_RELAY,
	TR_MECH_TWO_READERS,
	TR_MECH_GROUPS,
	TR_MECH_KEPT_CONNECTIONS,
	TR_MECHANISMS,
};

bool tr_mechanism_enabled(enum tr_mechanism mechanism);
int tr_mechanism_disable(const char *name);
void tr_mechanisms_enable_all(void);
const char *tr_mechanism_name(enum tr_mechanism mechanism);

#endif
