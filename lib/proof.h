#ifndef TR_PROOF_H
#define TR_PROOF_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "membership.h"

/*
 * Proof of how recent the configuration in force is: no configuration that the
 * platform accepted before the time at is newer.
 */
struct tr_proof {
	/* 0 if there is no proof. */
	apr_time_t at;
	/* The open query: its random number, or 0, send time and address. */
	uint64_t question;
	apr_time_t query_sent_at;
	uint32_t queried_ip;
};

void tr_proof_renew(struct tr_proof *p, apr_time_t at);
apr_time_t tr_proof_age(const struct tr_proof *p, apr_time_t now);
bool tr_proof_holds(const struct tr_proof *p, apr_time_t bound, apr_time_t now);
const struct tr_node *tr_proof_query(struct tr_proof *p,
				     const struct tr_membership *m,
				     apr_time_t bound, struct tr_random *random,
				     apr_time_t now);
void tr_proof_reply(struct tr_proof *p, uint64_t question, apr_time_t age);

#endif
