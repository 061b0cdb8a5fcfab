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

TEST_F(Admit, MustGetThroughGoesFirst)
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
 * Symptom: uploads that must get through are refused under load.
 * Sequence: the queue is full of requests that may be shed.
 * Cause: first come, first served.
 */
TEST_F(Admit, FullQueueGivesWayToWhatMustGetThrough)
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
 * Symptom: one bank's batch job keeps all savers waiting.
 * Sequence: an organisation fills the queue, then others send one each.
 * Cause: one line for all.
 */
TEST_F(Admit, OrganisationsTakeTurnsAndHaveAShare)
{
	int i = 0;

	while (put(i, TR_PRIORITY_NORMAL, 1) == TR_OK)
		i++;
	EXPECT_EQ(i, 6) << "a quarter of the queue, and one";
	EXPECT_EQ(put(50, TR_PRIORITY_NORMAL, 2), TR_OK);
	take();
	EXPECT_EQ(take(), 50);
}

/*
 * Symptom: under three times the load useful answers fall towards none.
 * Sequence: the queue is served at 10/s; a request with 500 ms of patience
 * comes behind ten others.
 * Cause: it waits past its deadline and is run for nobody.
 */
TEST_F(Admit, WorkThatCanNotEndInTimeIsRefusedBeforeItIsSent)
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
 * Symptom: after a quiet night the first requests are refused as late.
 * Sequence: the queue was idle; its rate reads as almost none.
 * Cause: the rate of an idle queue is taken for its capacity.
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

TEST_F(Admit, LateOnesAreFound)
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
 * Symptom: a fault that fails half the requests doubles the load.
 * Sequence: every failure is tried again, every retry fails too.
 * Cause: retries without a budget.
 */
TEST(Retry, BudgetIsAShareOfWhatGoesWell)
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
