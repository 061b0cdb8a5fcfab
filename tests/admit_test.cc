#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "admit.h"
#include "clock.h"
#include "retry.h"
}

struct Admit : testing::Test {
	tr_queue q{};
	apr_time_t now = TR_SEC(10);
	int owners[512] = { 0 };

	void SetUp() override
	{
		ASSERT_EQ(tr_queue_init(&q, 20), 0);
	}

	void TearDown() override
	{
		tr_queue_release(&q);
	}

	tr_result put(int id, tr_priority priority, uint64_t org = 0,
		      apr_time_t patience = TR_SEC(1), void **evicted = nullptr)
	{
		tr_waiter w{};
		uint32_t slot;
		void *out = nullptr;

		w.owner = &owners[id];
		w.deadline = now + patience;
		w.organisation = org;
		w.priority = priority;
		tr_result res = tr_queue_push(&q, &w, 25, TR_MSEC(10), now,
					      &slot, &out);
		if (evicted)
			*evicted = out;
		return res;
	}

	int take()
	{
		int *owner = static_cast<int *>(tr_queue_pop(&q, now));

		return owner ? (int)(owner - owners) : -1;
	}
};

TEST_F(Admit, HighestPriorityGoesFirst)
{
	put(1, TR_PRIORITY_SHED_FIRST);
	put(2, TR_PRIORITY_NORMAL);
	put(3, TR_PRIORITY_MUST);
	EXPECT_EQ(take(), 3);
	EXPECT_EQ(take(), 2);
	EXPECT_EQ(take(), 1);
	EXPECT_EQ(take(), -1);
}

/*
 * Guards against refusing requests of the highest priority under load: the
 * queue is full of requests that may be shed. Happens if it is first come,
 * first served.
 */
TEST_F(Admit, FullQueueEvictsForHigherPriority)
{
	void *evicted = nullptr;

	for (int i = 0; i < 20; i++)
		ASSERT_EQ(put(i, TR_PRIORITY_SHED_FIRST), TR_OK);
	EXPECT_EQ(put(100, TR_PRIORITY_SHED_FIRST), TR_QUEUE_FULL);
	EXPECT_EQ(put(101, TR_PRIORITY_MUST, 0, TR_SEC(1), &evicted), TR_OK);
	EXPECT_NE(evicted, nullptr);
	EXPECT_EQ(take(), 101);
}

/*
 * Guards against a batch job of one organisation that delays all others: it
 * fills the queue, then another organisation sends a request. Happens if all
 * share one FIFO queue.
 */
TEST_F(Admit, OrganisationsAreServedRoundRobinAndHaveAShare)
{
	int i = 0;

	while (put(i, TR_PRIORITY_NORMAL, 1) == TR_OK)
		i++;
	EXPECT_EQ(i, 6) << "a quarter of the queue, plus one";
	EXPECT_EQ(put(50, TR_PRIORITY_NORMAL, 2), TR_OK);
	take();
	EXPECT_EQ(take(), 50);
}

/*
 * Guards against goodput that falls towards zero under three times the load:
 * the queue is served at 10 requests a second, and one with a deadline of 500
 * ms comes behind ten others. Happens if it is queued past its deadline and run
 * in vain.
 */
TEST_F(Admit, RequestThatWouldMissItsDeadlineIsRefused)
{
	for (int i = 0; i < 12; i++)
		put(i, TR_PRIORITY_NORMAL, 0, TR_SEC(60));
	for (int i = 0; i < 8; i++) {
		now += TR_MSEC(100);
		take();
		put(20 + i, TR_PRIORITY_NORMAL, 0, TR_SEC(60));
	}
	EXPECT_NEAR(q.rate, 10, 1);
	EXPECT_EQ(put(100, TR_PRIORITY_NORMAL, 0, TR_MSEC(500)),
		  TR_WOULD_BE_LATE);
	EXPECT_EQ(put(101, TR_PRIORITY_NORMAL, 0, TR_SEC(5)), TR_OK);
}

/*
 * Guards against refusing the first requests after an idle night as late: the
 * rate of the idle queue reads as nearly zero. Happens if that rate is taken
 * for capacity.
 */
TEST_F(Admit, IdleTimeDoesNotLowerTheRate)
{
	for (int i = 0; i < 12; i++)
		put(i, TR_PRIORITY_NORMAL, 0, TR_SEC(60));
	for (int i = 0; i < 12; i++) {
		now += TR_MSEC(50);
		take();
	}
	now += TR_SEC(1000);
	put(1, TR_PRIORITY_NORMAL, 0, TR_SEC(1));
	EXPECT_EQ(put(2, TR_PRIORITY_NORMAL, 0, TR_MSEC(200)), TR_OK);
}

TEST_F(Admit, LateRequestsAreRemoved)
{
	put(1, TR_PRIORITY_MUST, 0, TR_MSEC(20));
	put(2, TR_PRIORITY_MUST, 1, TR_SEC(9));
	EXPECT_EQ(tr_queue_pop_late(&q, TR_MSEC(10), now), nullptr);
	now += TR_MSEC(15);
	EXPECT_EQ(tr_queue_pop_late(&q, TR_MSEC(10), now), &owners[1]);
	EXPECT_EQ(tr_queue_pop_late(&q, TR_MSEC(10), now), nullptr);
	EXPECT_EQ(q.length, 1u);
}

/*
 * Guards against a fault that fails half the requests and so doubles the load:
 * every failure is retried, and every retry fails too. Happens if retries have
 * no budget.
 */
TEST(Retry, BudgetIsAShareOfSuccessfulRequests)
{
	tr_retry_budget budget;
	int allowed = 0;

	tr_retry_init(&budget);
	for (int i = 0; i < 1000; i++) {
		tr_retry_deposit(&budget, 10);
		allowed += tr_retry_withdraw(&budget);
	}
	EXPECT_LE(allowed, 110);
	EXPECT_GE(allowed, 95);
	while (tr_retry_withdraw(&budget))
		;
	EXPECT_FALSE(tr_retry_withdraw(&budget));
}
