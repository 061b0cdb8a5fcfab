#include <gtest/gtest.h>

extern "C" {
#include "error.h"
#include "route.h"
}

namespace
{

void add(tr_path_route &r, const char *host, const char *prefix)
{
	r.name = strdup(prefix);
	r.host = strdup(host);
	r.prefix = strdup(prefix);
	r.timeout = 1000000;
	r.attempts = 2;
	r.split = static_cast<tr_split *>(calloc(3, sizeof(tr_split)));
	r.split_count = 1;
	r.split[0].weight = 1;
}

struct Routes : testing::Test {
	tr_routes *routes = tr_routes_new(4, 1);
	tr_error err{};

	void SetUp() override
	{
		add(routes->routes[0], "a.example", "/");
		add(routes->routes[1], "a.example", "/x/");
		add(routes->routes[2], "a.example", "/x/y/");
		add(routes->routes[3], "b.example", "/x/");
		routes->services[0].name = strdup("s");
	}

	void TearDown() override
	{
		tr_routes_unref(routes);
	}

	std::string match(const char *host, const char *path)
	{
		const tr_path_route *r =
			tr_routes_match(routes, host, strlen(host), path);

		return r ? r->prefix : "none";
	}
};

TEST_F(Routes, LongestPrefixOfTheHostWins)
{
	ASSERT_EQ(tr_routes_finalize(routes, &err), 0);
	EXPECT_EQ(match("a.example", "/x/y/z"), "/x/y/");
	EXPECT_EQ(match("a.example", "/x/yz"), "/x/");
	EXPECT_EQ(match("A.Example", "/other"), "/");
	EXPECT_EQ(match("b.example", "/x/y/z"), "/x/");
	EXPECT_EQ(match("b.example", "/other"), "none");
	EXPECT_EQ(match("c.example", "/x/"), "none");
}

TEST_F(Routes, SlashesInTheQueryAreNotPartOfThePath)
{
	ASSERT_EQ(tr_routes_finalize(routes, &err), 0);
	EXPECT_EQ(match("b.example", "/y?p=/x/"), "none");
	EXPECT_EQ(match("a.example", "/x/?/x/y/"), "/x/");
}

TEST_F(Routes, APrefixWithoutItsSlashIsRefused)
{
	free(routes->routes[1].prefix);
	routes->routes[1].prefix = strdup("/x");
	EXPECT_EQ(tr_routes_finalize(routes, &err), -1);
	EXPECT_STREQ(err.field, "prefix");
	EXPECT_STREQ(err.value, "/x");
}

TEST_F(Routes, TwoRoutesWithTheSameHostAndPrefixAreRefused)
{
	free(routes->routes[1].prefix);
	routes->routes[1].prefix = strdup("/");
	EXPECT_EQ(tr_routes_finalize(routes, &err), -1);
	EXPECT_EQ(err.code, TR_DUPLICATE);
}

TEST_F(Routes, ARouteWithoutWeightIsRefused)
{
	routes->routes[2].split[0].weight = 0;
	EXPECT_EQ(tr_routes_finalize(routes, &err), -1);
	EXPECT_EQ(err.code, TR_MISSING_FIELD);
}

/*
 * Guards against a split in which one service's share is off by more than a
 * tenth over a few hundred requests, by the deviation of independent random
 * draws at each VM; steps of the golden ratio spread evenly.
 */
TEST_F(Routes, SplitsAreAccurateInSmallSamplesOverManyVms)
{
	tr_path_route &r = routes->routes[0];
	int first = 0;

	r.split_count = 2;
	r.split[0].weight = 30;
	r.split[1].weight = 10;
	for (int vm = 0; vm < 32; vm++) {
		double point = vm * 0.37;

		for (int i = 0; i < 8; i++) {
			point += 0.6180339887498949;
			point -= static_cast<int>(point);
			first += tr_split_choose(&r, point) == 0;
		}
	}
	EXPECT_NEAR(first / 256.0, 0.75, 0.04);
}

/*
 * Guards against a running request that reads freed routes when a new version
 * arrives, because the version was dropped while a reference was held.
 */
TEST_F(Routes, AReferenceKeepsAVersionAlive)
{
	tr_routes *reference = tr_routes_ref(routes);

	tr_routes_unref(routes);
	EXPECT_EQ(reference->refs, 1u);
	EXPECT_STREQ(reference->services[0].name, "s");
}

} // namespace
