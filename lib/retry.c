#include "retry.h"

#define START_TOKENS 5.0
#define MAX_TOKENS   20.0

/* Starts with a few retries, so that a service with few requests has some. */
void tr_retry_init(struct tr_retry_budget *budget)
{
	budget->tokens = START_TOKENS;
	budget->max_tokens = MAX_TOKENS;
}

/* Adds percent hundredths of a retry for a request that succeeded. */
void tr_retry_deposit(struct tr_retry_budget *budget, uint32_t percent)
{
	budget->tokens += (double)percent / 100.0;
	if (budget->tokens > budget->max_tokens)
		budget->tokens = budget->max_tokens;
}

/*
 * Takes one retry, if the budget has one. Without a budget, a fault that fails
 * half the requests doubles the load when capacity is short: offered load rises
 * while goodput falls.
 */
bool tr_retry_withdraw(struct tr_retry_budget *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
