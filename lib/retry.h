#ifndef TR_RETRY_H
#define TR_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* A retry budget: successful first attempts earn a share of a retry each. */
struct tr_retry_budget {
	double tokens;
	double max_tokens;
};

void tr_retry_init(struct tr_retry_budget *budget);
void tr_retry_deposit(struct tr_retry_budget *budget, uint32_t percent);
bool tr_retry_withdraw(struct tr_retry_budget *budget);

#endif
