/* Shared by the roster_*.c files. */
#ifndef TR_ROSTER_INTERNAL_H
#define TR_ROSTER_INTERNAL_H

#include "clock.h"
#include "roster.h"

/* How often all rows are checked: a tenth of the shortest time above. */
#define TR_ROSTER_STEP_INTERVAL TR_MSEC(100)

bool tr_roster_is_undone_by_copy(const struct tr_roster *roster,
				 const struct tr_instance *row,
				 const struct tr_target_record *record);
bool tr_roster_is_missing_from_copy(const struct tr_roster *roster,
				    const struct tr_instance *row,
				    const struct tr_target_record *record);
bool tr_roster_is_departure_to_keep(const struct tr_roster *roster,
				    const struct tr_instance *row,
				    const struct tr_target_record *record);
void tr_roster_keep_departure(struct tr_roster *roster, struct tr_instance *row,
			      apr_time_t now);
void tr_roster_learn_shares(struct tr_roster *roster, apr_time_t now);

#endif
