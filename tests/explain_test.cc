#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "explain.h"
}

namespace
{

struct Explain : testing::Test {
	std::string log;
	GPtrArray *lines = loglines_new();
	explain_story story{};

	~Explain() override
	{
		g_ptr_array_free(lines, TRUE);
	}

	void say(double at, const std::string &vm, const std::string &rest)
	{
		log += "  12.3 " + vm + " time=" + std::to_string(at) +
		       " vm=" + vm + " class=x event=" + rest + "\n";
	}

	void request(double at, const std::string &vm, const std::string &id,
		     int status, const std::string &more)
	{
		say(at, vm,
		    "request id=" + id + " route=r service=s status=" +
			    std::to_string(status) + " usual_ms=100 " + more);
	}

	explain_cause cause_of(const char *id)
	{
		FILE *in = fmemopen(log.data(), log.size(), "r");

		loglines_read(lines, in);
		fclose(in);
		loglines_sort(lines);
		EXPECT_TRUE(explain(lines, id, &story));
		return story.cause;
	}
};

TEST_F(Explain, ASickTargetIsToldByWhatOthersSaw)
{
	request(10, "a", "x", 504,
		"why=timeout took_ms=2000 tried=t-1:0.05:1 version=3");
	request(10.5, "b", "y", 504,
		"why=timeout took_ms=2000 tried=t-1:0.05:2 version=3");
	request(9.5, "c", "z", 502,
		"why=broken took_ms=90 tried=t-0:0.1:0,t-1:0.05:2 version=3");
	request(9.5, "c", "w", 200,
		"why=answered took_ms=90 tried=t-1:0.05:2 version=3");
	EXPECT_EQ(cause_of("x"), EXPLAIN_TARGET_SICK);
	EXPECT_EQ(story.tried[0].failed, 2u);
	EXPECT_EQ(story.tried[0].vms_failed, 2u);
	EXPECT_EQ(story.tried[0].answered, 1u);
}

TEST_F(Explain, WhatOthersSawLongBeforeSaysNothing)
{
	request(1, "b", "y", 504, "why=timeout took_ms=100 tried=t-1:0.1:0");
	request(1, "c", "z", 504, "why=timeout took_ms=100 tried=t-1:0.1:0");
	request(10, "a", "x", 504,
		"why=timeout took_ms=2000 tried=t-1:0.05:1 version=3");
	EXPECT_EQ(cause_of("x"), EXPLAIN_TARGET_ONCE);
}

TEST_F(Explain, APathIsToldByOthersThatReachedTheTarget)
{
	request(10, "a", "x", 503,
		"why=unreached took_ms=300 tried=t-1:0.05:1");
	request(10, "b", "y", 200, "why=answered took_ms=80 tried=t-1:0.05:0");
	EXPECT_EQ(cause_of("x"), EXPLAIN_PATH);
}

TEST_F(Explain, ATimeThatIsTooShortIsNoFaultOfTheTarget)
{
	request(10, "a", "x", 504, "why=timeout took_ms=150 tried=t-1:0.05:1");
	EXPECT_EQ(cause_of("x"), EXPLAIN_SHORT_TIME);
}

TEST_F(Explain, AnOlderConfigurationIsToldByOthersThatHadANewerOne)
{
	say(1, "a", "routes version=3 revision=7 from=store");
	say(5, "b", "routes version=4 revision=9 from=store");
	request(10, "a", "x", 404, "why=no-route took_ms=0 version=3");
	EXPECT_EQ(cause_of("x"), EXPLAIN_OLD_ROUTES);
	EXPECT_EQ(story.newest_version, 4u);
	EXPECT_NEAR(story.newer_routes_elsewhere, 5, 0.01);
	ASSERT_NE(story.routes, nullptr);
}

TEST_F(Explain, RefusalsTellApartRoomAndLists)
{
	request(10, "a", "x", 503,
		"why=too-late took_ms=0 tried= view_age_ms=400");
	request(10, "a", "y", 503,
		"why=no-target took_ms=0 tried= view_age_ms=9000");
	request(10, "a", "z", 503, "why=limited took_ms=0 tried=");
	EXPECT_EQ(cause_of("x"), EXPLAIN_NO_ROOM);
	EXPECT_EQ(cause_of("z"), EXPLAIN_LIMITED);
	EXPECT_TRUE(explain(lines, "y", &story));
	EXPECT_EQ(story.cause, EXPLAIN_NO_LIST);
}

/*
 * Symptom: what a VM was told seems to come after the request that it decided.
 * Sequence: its wall clock jumps back by seconds between the two lines. Cause:
 * lines were put in order by the wall clock alone.
 */
TEST_F(Explain, AClockThatJumpsBackDoesNotTurnAVmsLinesRound)
{
	say(20, "a", "routes version=3 revision=7 from=store");
	request(15, "a", "x", 200, "why=answered took_ms=0 version=3");
	cause_of("x");
	ASSERT_NE(story.routes, nullptr);
}

/* What was refused before it had a target says why, and no key. */
TEST_F(Explain, RefusalsForKeysAndLimitsAreTold)
{
	request(15, "a", "x", 429,
		"why=over-limit organisation=coop limit=144 burst=144 "
		"group_rate=85 part=0.25 heard=1.000 used=216");
	request(15, "a", "y", 503, "why=unproven organisation=- version=3");
	request(15, "a", "z", 401, "why=unknown-key organisation=- version=3");
	EXPECT_EQ(cause_of("x"), EXPLAIN_OVER_LIMIT);
	EXPECT_TRUE(explain(lines, "y", &story));
	EXPECT_EQ(story.cause, EXPLAIN_UNPROVEN);
	EXPECT_TRUE(explain(lines, "z", &story));
	EXPECT_EQ(story.cause, EXPLAIN_UNKNOWN_KEY);
}

/* A request that crashes targets, before and after the fleet refuses it. */
TEST_F(Explain, ARequestThatCrashesTargetsIsNamed)
{
	request(10, "a", "x", 502, "why=broken identity=7f took_ms=90 tried=");
	request(10, "a", "y", 502, "why=broken identity=80 took_ms=90 tried=");
	say(11, "b",
	    "fatal-request identity=7f state=refused ends=3 tries=0 "
	    "targets=1:0,2:0,3:2 again_in_ms=61000");
	request(12, "a", "z", 503, "why=crashes-targets identity=7f took_ms=0");
	EXPECT_EQ(cause_of("x"), EXPLAIN_FATAL);
	EXPECT_NE(story.fatal, nullptr);
	EXPECT_TRUE(explain(lines, "z", &story));
	EXPECT_EQ(story.cause, EXPLAIN_FATAL_REFUSED);
	EXPECT_TRUE(explain(lines, "y", &story));
	EXPECT_NE(story.cause, EXPLAIN_FATAL);
}

TEST_F(Explain, AnIdThatIsNotThereIsNoStory)
{
	request(15, "a", "x", 200, "why=answered took_ms=0 version=3");
	cause_of("x");
	EXPECT_FALSE(explain(lines, "y", &story));
}

} // namespace
