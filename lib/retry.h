#ifndef TR_RETRY_H
#define TR_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Retries allowed as a share of recent first attempts that went well. */
struct tr_retry_budget {
	double tokens;
	double most;
};

void tr_retry_init(struct tr_retry_budget *budget);
void tr_retry_deposit(struct tr_retry_budget *budget, uint32_t percent);
bool tr_retry_withdraw(struct tr_retry_budget *budget);

#endif
