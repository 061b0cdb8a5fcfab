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
 * Symptom: a target that hangs goes on getting work for the whole timeout.
 * Sequence: it takes requests and never answers. Cause: only ends of requests
 * were evidence; one that runs four times the usual time is as good as failed.
 */
TEST_F(Gray, ARequestThatHangsAccusesBeforeItEnds)
{
	double before = p();

	add(TR_SYMPTOM_LONG);
	EXPECT_GT(p(), before);
	add(TR_SYMPTOM_LATE);
	EXPECT_GT(p(), 0.2);
	add(TR_SYMPTOM_OVERDUE);
	EXPECT_GT(p(), 0.5);
}

TEST_F(Gray, AnAnswerTakesBackWhatWasSaidWhileItRan)
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
 * Symptom: most requests go to a few targets and sound ones get none. Cause:
 * what is known to be well was thought much better than what is not known.
 */
TEST_F(Gray, GoodOutcomesMakeATargetHardlyBetterThanAnUnknownOne)
{
	double unknown = p();

	add(TR_SYMPTOM_ANSWERED, 50);
	EXPECT_LT(unknown - p(), 0.035);
}

TEST_F(Gray, SuspicionEndsByItself)
{
	add(TR_SYMPTOM_FAILED, 3);
	EXPECT_GT(p(), 0.9);
	now += TR_SEC(20);
	EXPECT_LT(p(), 0.35);
	now += TR_SEC(120);
	EXPECT_LT(p(), 0.061);
}

TEST_F(Gray, TheWayBackDoesNotGrowWithTheNumberOfFailures)
{
	tr_gray few{};

	tr_gray_add(&few, TR_SYMPTOM_FAILED, 4, now);
	add(TR_SYMPTOM_FAILED, 400);
	EXPECT_NEAR(gray.log_odds, few.log_odds, 0.01);
}

TEST_F(Gray, StagesComeOneAfterTheOther)
{
	apr_time_t usual = TR_MSEC(100);

	EXPECT_LT(tr_gray_stage_start(TR_STAGE_NORMAL, usual, 0.7),
		  tr_gray_stage_start(TR_STAGE_LONG, usual, 0.7));
	EXPECT_LT(tr_gray_stage_start(TR_STAGE_LONG, usual, 0.7),
		  tr_gray_stage_start(TR_STAGE_LATE, usual, 0.7));
	EXPECT_LT(tr_gray_stage_start(TR_STAGE_LATE, usual, 0.7),
		  tr_gray_stage_start(TR_STAGE_OVERDUE, usual, 0.7));
}

/* Guards against a target that most VMs reach being held to be gray because
 * some can't open a connection to it. */
TEST_F(Gray, LinksThatSomeVmsHaveLostAccuseNobody)
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

/* Guards against going on for long with a target that nobody can reach. */
TEST_F(Gray, ATargetThatNobodyReachesIsSuspectedAfterAFewAttempts)
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
