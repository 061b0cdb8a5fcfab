#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "gray.h"
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
	add(TR_SYMPTOM_LONG_GOOD);
	EXPECT_LE(p(), before + 0.01);
	add(TR_SYMPTOM_LONG);
	add(TR_SYMPTOM_LATE);
	add(TR_SYMPTOM_LATE_GOOD);
	EXPECT_LE(p(), before + 0.01);
}

/*
 * Symptom: most requests go to a few targets and sound ones get none. Cause:
 * what is known to be well was thought much better than what is not known.
 */
TEST_F(Gray, GoodOutcomesMakeATargetHardlyBetterThanAnUnknownOne)
{
	double unknown = p();

	add(TR_SYMPTOM_GOOD, 50);
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
	EXPECT_NEAR(gray.odds, few.odds, 0.01);
}

TEST_F(Gray, StagesComeOneAfterTheOther)
{
	apr_time_t usual = TR_MSEC(100);

	EXPECT_LT(tr_gray_stage_after(TR_STAGE_USUAL, usual, 0.7),
		  tr_gray_stage_after(TR_STAGE_LONG, usual, 0.7));
	EXPECT_LT(tr_gray_stage_after(TR_STAGE_LONG, usual, 0.7),
		  tr_gray_stage_after(TR_STAGE_LATE, usual, 0.7));
	EXPECT_LT(tr_gray_stage_after(TR_STAGE_LATE, usual, 0.7),
		  tr_gray_stage_after(TR_STAGE_OVERDUE, usual, 0.7));
}

} // namespace
