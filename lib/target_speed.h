#ifndef TR_TARGET_SPEED_H
#define TR_TARGET_SPEED_H

/*
 * How long requests take at a target compared with its service, and how much
 * longer while the target is nearly full. Learned from the stages in which the
 * answers of all VMs came. All zero is a target of which nothing is known.
 */
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "gray.h"

/*
 * An estimated difference of the logarithm of response times, in standard
 * deviations of the service's.
 */
struct tr_speed_offset {
	float mean;
	/* Inverse of the variance that the answers alone give it. */
	float information;
};

/* The speed of a service's targets together. */
struct tr_service_speed {
	/* Against the mean and spread by which stages are set. */
	struct tr_speed_offset offset;
	apr_time_t updated_at;
};

struct tr_target_speed {
	/* Against the service. */
	struct tr_speed_offset usual;
	/* While the target is nearly full, against its usual speed. */
	struct tr_speed_offset full;
	apr_time_t updated_at;
};

/*
 * Samples of how many requests a target held, over about as long as the longest
 * usual answers take.
 */
#define TR_HELD_SAMPLES 24

struct tr_held_history {
	uint8_t held[TR_HELD_SAMPLES];
	uint8_t next;
};

/* Factors of a target's response times against its service's. */
struct tr_speed_factors {
	double usual;
	double full;
	/* It slows down considerably when nearly full. */
	bool slows;
};

void tr_held_history_add(struct tr_held_history *history, uint32_t held);
uint32_t tr_held_history_at(const struct tr_held_history *history,
			    unsigned samples_ago);
uint32_t tr_target_speed_room(uint32_t slots);
double tr_target_speed_took(const struct tr_target_speed *speed,
			    const struct tr_service_speed *service,
			    enum tr_symptom symptom, double spread);
void tr_service_speed_add(struct tr_service_speed *service,
			  enum tr_symptom symptom, unsigned times,
			  apr_time_t now);
void tr_target_speed_add(struct tr_target_speed *speed,
			 const struct tr_service_speed *service,
			 enum tr_symptom symptom, unsigned times,
			 bool nearly_full, apr_time_t now);
struct tr_speed_factors
tr_target_speed_factors(const struct tr_target_speed *speed, double spread,
			apr_time_t now);
double tr_target_speed_answers(const struct tr_target_speed *speed,
			       apr_time_t now);

#endif
