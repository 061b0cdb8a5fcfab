#ifndef TR_MECHANISM_H
#define TR_MECHANISM_H

#include <stdbool.h>

/*
 * Mechanisms that the fleet's decisions rely on. Each can be disabled to
 * measure its effect.
 */
enum tr_mechanism {
	/* Requests in flight count as late from their age, before they end. */
	TR_MECH_RUNNING_AGE,
	/* The spread of work times is measured for each service. */
	TR_MECH_SERVICE_SPREAD,
	/* The share of gray targets is measured for each service. */
	TR_MECH_LEARNED_SHARE,
	/* Random noise is added to the costs of targets. */
	TR_MECH_COST_NOISE,
	/* Idle targets get requests until enough targets are in use. */
	TR_MECH_FLOOR,
	/* Requests that may be retried probe suspects. */
	TR_MECH_SUSPECT_PROBES,
	/* Targets in the own data centre are preferred. */
	TR_MECH_CENTRE_PREFERENCE,
	/* Requests that no target could answer in time are refused at once. */
	TR_MECH_EARLY_REFUSAL,
	/* A second attempt starts while the first runs at a suspect. */
	TR_MECH_HEDGING,
	/* Requests that a target refused are sent to another one. */
	TR_MECH_REPEAT_REFUSED,
	/* The first failure of a target is reported at once. */
	TR_MECH_FIRST_FAILURE_REPORT,
	/* One VM of each other data centre relays messages there. */
	TR_MECH_CENTRE_RELAY,
	/* Two VMs read the platform instead of one. */
	TR_MECH_TWO_READERS,
	/* VMs of a large fleet form groups. */
	TR_MECH_GROUPS,
	/* Safe requests reuse connections to targets. */
	TR_MECH_CONNECTION_POOL,
	TR_MECHANISMS,
};

bool tr_mechanism_enabled(enum tr_mechanism mechanism);
int tr_mechanism_disable(const char *name);
void tr_mechanisms_enable_all(void);
const char *tr_mechanism_name(enum tr_mechanism mechanism);

#endif
