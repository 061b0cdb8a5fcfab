/*
 * Set of mechanisms that are disabled for experiments. A process starts with
 * all of them enabled, which is how a fleet runs in production.
 */
#include "mechanism.h"

#include <string.h>

static const char *const names[TR_MECHANISMS] = {
	[TR_MECH_RUNNING_AGE] = "running-age",
	[TR_MECH_SERVICE_SPREAD] = "service-spread",
	[TR_MECH_LEARNED_SHARE] = "learned-share",
	[TR_MECH_COST_NOISE] = "blur",
	[TR_MECH_FLOOR] = "floor",
	[TR_MECH_SUSPECT_PROBES] = "scouts",
	[TR_MECH_CENTRE_PREFERENCE] = "centre-preference",
	[TR_MECH_EARLY_REFUSAL] = "early-refusal",
	[TR_MECH_HEDGING] = "seconding",
	[TR_MECH_REPEAT_REFUSED] = "repeat-refused",
	[TR_MECH_FIRST_FAILURE_REPORT] = "first-failure-news",
	[TR_MECH_CENTRE_RELAY] = "centre-relay",
	[TR_MECH_TWO_READERS] = "two-readers",
	[TR_MECH_GROUPS] = "groups",
	[TR_MECH_CONNECTION_POOL] = "kept-connections",
};

static bool disabled[TR_MECHANISMS];

bool tr_mechanism_enabled(enum tr_mechanism mechanism)
{
	return !disabled[mechanism];
}

/* Disables a mechanism. Returns 0, or -1 if the name is unknown. */
int tr_mechanism_disable(const char *name)
{
	for (int i = 0; i < TR_MECHANISMS; i++) {
		if (strcmp(names[i], name) != 0)
			continue;
		disabled[i] = true;
		return 0;
	}
	return -1;
}

void tr_mechanisms_enable_all(void)
{
	memset(disabled, 0, sizeof(disabled));
}

const char *tr_mechanism_name(enum tr_mechanism mechanism)
{
	return names[mechanism];
}
