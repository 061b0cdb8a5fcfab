#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "losses.h"
}

namespace
{

struct Losses : testing::Test {
	std::string log;
	losses counted{};
	bool has_counted = false;

	~Losses() override
	{
		if (has_counted)
			losses_free(&counted);
	}

	void request(double ended, int status, const std::string &more)
	{
		log += "time=" + std::to_string(ended) +
		       " vm=a class=x event=request id=1 service=s "
		       "kind=unsafe aim_ms=1000 status=" +
		       std::to_string(status) + " " + more + "\n";
	}

	unsigned count(loss_cause cause)
	{
		if (!has_counted) {
			GPtrArray *lines = loglines_new();
			FILE *in = fmemopen(log.data(), log.size(), "r");

			loglines_read(lines, in);
			fclose(in);
			loglines_sort(lines);
			losses_count(&counted, lines);
			g_ptr_array_free(lines, TRUE);
			has_counted = true;
		}
		return g_array_index(counted.rows, loss_row, 0).lost[cause];
	}
};

TEST_F(Losses, AFailureAloneAtItsTargetIsTheTargetsOwn)
{
	request(10, 500, "why=answered took_ms=3 runs=1 tried=t:0.03:1");
	request(11, 200, "why=answered took_ms=300 runs=1 tried=t:0.06:1");
	EXPECT_EQ(count(LOSS_TARGET_ERROR), 1u);
	EXPECT_EQ(count(LOSS_LATE), 0u);
}

/* The first of a spell, one that was on its way when it failed, and one that
 * was sent though all knew. */
TEST_F(Losses, ASpellIsTakenApart)
{
	request(10.003, 500, "why=answered took_ms=3 runs=1 tried=t:0.03:1");
	request(10.023, 500, "why=answered took_ms=3 runs=1 tried=t:0.03:1");
	request(11, 500, "why=answered took_ms=3 runs=1 tried=t:0.60:0");
	request(11.5, 500,
		"why=answered took_ms=3 runs=1 for_floor=1 tried=t:0.6:0");
	request(12, 500, "why=answered took_ms=3 runs=2 tried=u:0.1:1,t:0.8:0");
	EXPECT_EQ(count(LOSS_FIRST_AT_GRAY), 1u);
	EXPECT_EQ(count(LOSS_BEFORE_KNOWN), 1u);
	EXPECT_EQ(count(LOSS_KNOWN_GRAY), 1u);
	EXPECT_EQ(count(LOSS_FLOOR), 1u);
	EXPECT_EQ(count(LOSS_SECOND_ATTEMPT), 1u);
}

TEST_F(Losses, WhatNeverReachedATargetHasItsOwnCauses)
{
	request(10, 503, "why=too-late took_ms=1 runs=0 tried=");
	request(10, 503, "why=refused took_ms=1 runs=0 tried=t:0.1:4");
	request(10, 503, "why=refused bound=1 took_ms=1 runs=0 tried=t:0.1:4");
	request(10, 503, "why=no-target took_ms=1 runs=0 tried=");
	request(10, 503, "why=unreached took_ms=1 runs=0 tried=t:0.1:4");
	request(10, 200, "why=answered took_ms=1200 runs=1 tried=t:0.1:4");
	request(10, 503, "why=limited took_ms=1 runs=0 tried=");
	EXPECT_EQ(count(LOSS_NO_ROOM), 1u);
	EXPECT_EQ(count(LOSS_LIMITED), 1u);
	EXPECT_EQ(count(LOSS_SHED), 1u);
	EXPECT_EQ(count(LOSS_BOUND), 1u);
	EXPECT_EQ(count(LOSS_NO_LIST), 1u);
	EXPECT_EQ(count(LOSS_PATH), 1u);
	EXPECT_EQ(count(LOSS_LATE), 1u);
}

TEST_F(Losses, ThePictureHasABarASecond)
{
	request(10, 500, "why=answered took_ms=3 runs=1 tried=t:0.03:1");
	request(13, 500, "why=timeout took_ms=1000 runs=1 tried=u:0.03:1");
	EXPECT_EQ(count(LOSS_TIME_OVER), 1u);
	g_autofree char *svg = losses_svg(&counted);

	EXPECT_EQ(counted.seconds->len, 3u);
	EXPECT_NE(strstr(svg, "second 0: 1 of 1"), nullptr);
	EXPECT_NE(strstr(svg, "second 2: 1 of 1"), nullptr);
}

} // namespace
