#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "gray.h"
#include "hash.h"
}

namespace
{

struct Gray : testing::Test {
	tr_gray gray{};
	apr_time_t now = TR_SEC(100);

	void add(tr_symptom s, unsigned times = 1)
	{
		tr_gray_add(&gray, s, times, now);
	}

	double p()
	{
		return tr_gray_probability(&gray, now);
	}
};

/*
 * Guards against a target that hangs getting requests for the whole timeout. It
 * accepts requests and never answers. Only ends of requests were evidence; a
 * request that runs four times as long as usual has practically failed.
 */
TEST_F(Gray, AHungRequestIsEvidenceBeforeItEnds)
{
	double before = p();

	add(TR_SYMPTOM_LONG);
	EXPECT_GT(p(), before);
	add(TR_SYMPTOM_LATE);
	EXPECT_GT(p(), 0.2);
	add(TR_SYMPTOM_OVERDUE);
	EXPECT_GT(p(), 0.5);
}

TEST_F(Gray, AnAnswerRevertsTheEvidenceOfTheRunningRequest)
{
	double before = p();

	add(TR_SYMPTOM_LONG);
	add(TR_SYMPTOM_ANSWERED_LONG);
	EXPECT_LE(p(), before + 0.01);
	add(TR_SYMPTOM_LONG);
	add(TR_SYMPTOM_LATE);
	add(TR_SYMPTOM_ANSWERED_LATE);
	EXPECT_LE(p(), before + 0.01);
}

/*
 * Guards against most requests going to a few targets while other healthy ones
 * get none: targets known to be healthy were rated much better than unknown
 * ones.
 */
TEST_F(Gray, AnswersMakeATargetHardlyBetterThanAnUnknownOne)
{
	double unknown = p();

	add(TR_SYMPTOM_ANSWERED, 50);
	EXPECT_LT(unknown - p(), 0.035);
}

TEST_F(Gray, SuspicionDecays)
{
	add(TR_SYMPTOM_FAILED, 3);
	EXPECT_GT(p(), 0.9);
	now += TR_SEC(20);
	EXPECT_LT(p(), 0.35);
	now += TR_SEC(120);
	EXPECT_LT(p(), 0.061);
}

TEST_F(Gray, RecoveryTimeDoesNotGrowWithTheNumberOfFailures)
{
	tr_gray few{};

	tr_gray_add(&few, TR_SYMPTOM_FAILED, 4, now);
	add(TR_SYMPTOM_FAILED, 400);
	EXPECT_NEAR(gray.log_odds, few.log_odds, 0.01);
}

TEST_F(Gray, StagesAreInOrder)
{
	apr_time_t mean = TR_MSEC(100);

	EXPECT_LT(tr_gray_stage_start(TR_STAGE_NORMAL, mean, 0.7),
		  tr_gray_stage_start(TR_STAGE_LONG, mean, 0.7));
	EXPECT_LT(tr_gray_stage_start(TR_STAGE_LONG, mean, 0.7),
		  tr_gray_stage_start(TR_STAGE_LATE, mean, 0.7));
	EXPECT_LT(tr_gray_stage_start(TR_STAGE_LATE, mean, 0.7),
		  tr_gray_stage_start(TR_STAGE_OVERDUE, mean, 0.7));
}

/* Guards against a target that most VMs can reach counting as gray because some
 * can't connect to it. */
TEST_F(Gray, FaultyLinksOfSomeVmsAreNoGrayFailure)
{
	tr_random random{ 11 };
	unsigned suspected = 0;
	unsigned times = 0;

	for (; times < 2000; times++) {
		now += TR_MSEC(180);
		add(tr_random_unit(&random) < 0.3
			    ? tr_gray_connect_failure_symptom(false)
			    : TR_SYMPTOM_ANSWERED);
		suspected += p() >= 0.5;
	}
	EXPECT_LE(suspected, times / 50);
}

/* Guards against using a target for long that no VM can reach. */
TEST_F(Gray, AnUnreachableTargetIsSuspectedAfterAFewAttempts)
{
	for (int i = 0; i < 20; i++)
		add(TR_SYMPTOM_ANSWERED);
	for (int i = 0; i < 6; i++)
		add(tr_gray_connect_failure_symptom(false));
	EXPECT_GE(p(), 0.5);
	add(tr_gray_connect_failure_symptom(true));
	EXPECT_GE(p(), 0.9);
}

} // namespace
