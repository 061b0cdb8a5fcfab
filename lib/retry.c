#include "retry.h"

#define START_TOKENS 5.0
#define MOST_TOKENS  20.0

/* Start with a few retries, so that a quiet service is not left without. */
void tr_retry_init(struct tr_retry_budget *budget)
{
	budget->tokens = START_TOKENS;
	budget->most = MOST_TOKENS;
}

/* A request went well: it earns percent hundredths of a retry. */
void tr_retry_deposit(struct tr_retry_budget *budget, uint32_t percent)
{
	budget->tokens += (double)percent / 100.0;
	if (budget->tokens > budget->most)
		budget->tokens = budget->most;
}

/*
 * Take one retry from the budget. Without the budget a fault that fails half
 * the requests doubles the load just when capacity is short, seen as offered
 * load that rises while useful answers fall.
 */
bool tr_retry_withdraw(struct tr_retry_budget *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
