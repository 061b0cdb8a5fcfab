#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "calibration.h"
}

namespace
{

struct Calibration : testing::Test {
	std::string log;
	calibration c{};

	void request(const std::string &kind, int status,
		     const std::string &tried)
	{
		log += "time=10 vm=a class=x event=request id=1 service=s kind=" +
		       kind + " status=" + std::to_string(status) +
		       " tried=" + tried + "\n";
	}

	void count()
	{
		GPtrArray *lines = loglines_new();
		FILE *in = fmemopen(log.data(), log.size(), "r");

		loglines_read(lines, in);
		fclose(in);
		calibration_count(&c, lines);
		g_ptr_array_free(lines, TRUE);
	}

	std::string printed(unsigned *off)
	{
		char text[4096] = "";
		FILE *out = fmemopen(text, sizeof(text), "w");

		*off = calibration_print(&c, out);
		fclose(out);
		return text;
	}
};

TEST_F(Calibration, PredictedRisksAndFailuresAreCounted)
{
	for (int i = 0; i < 200; i++)
		request("unsafe", i % 10 ? 200 : 500, "i-1:0.10:2");
	request("upload", 502, "i-2:0.60:0");
	count();
	EXPECT_EQ(c.non_retryable[4].attempts, 200u);
	EXPECT_NEAR(c.non_retryable[4].predicted, 20, 1e-6);
	EXPECT_EQ(c.non_retryable[4].failures, 20u);
	EXPECT_EQ(c.non_retryable[8].failures, 1u);
	unsigned off;
	EXPECT_EQ(printed(&off).find("off"), std::string::npos);
	EXPECT_EQ(off, 0u);
}

TEST_F(Calibration, AMiscalibratedBinIsMarked)
{
	for (int i = 0; i < 200; i++)
		request("unsafe", i % 2 ? 200 : 500, "i-1:0.10:2");
	count();
	unsigned off;
	EXPECT_NE(printed(&off).find("0.500  off"), std::string::npos);
	EXPECT_EQ(off, 1u);
}

/* A read that was sent twice counts as a failure of its first target. */
TEST_F(Calibration, ASecondSendCountsAgainstTheFirstTarget)
{
	request("safe", 200, "i-1:0.40:2,i-2:0.03:0");
	request("safe", 200, "i-1:0.40:2");
	request("unsafe", 200, "i-1:0.40:2,i-2:0.03:0");
	request("safe", 503, "");
	count();
	EXPECT_EQ(c.retryable[7].attempts, 2u);
	EXPECT_EQ(c.retryable[7].failures, 1u);
	EXPECT_EQ(c.non_retryable[7].attempts, 0u);
}

} // namespace
