#include <gtest/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "identity.h"
}

namespace
{

uint64_t identity(const char *method, const char *host, const char *target,
		  const char *organisation, const std::string &body)
{
	const struct tr_request_parts parts = { method,	     host,
						target,	     organisation,
						body.data(), body.size() };

	return tr_identity(7, &parts);
}

TEST(Identity, IsTheSameForTheSameRequest)
{
	EXPECT_EQ(identity("POST", "h.x", "/a/", "coop", "body"),
		  identity("POST", "h.x", "/a/", "coop", "body"));
}

TEST(Identity, EachPartCounts)
{
	std::set<uint64_t> all = {
		identity("POST", "h.x", "/a/", "coop", "body"),
		identity("GET", "h.x", "/a/", "coop", "body"),
		identity("POST", "g.x", "/a/", "coop", "body"),
		identity("POST", "h.x", "/a/?b", "coop", "body"),
		identity("POST", "h.x", "/a/", "other", "body"),
		identity("POST", "h.x", "/a/", nullptr, "body"),
		identity("POST", "h.x", "/a/", "coop", "bodies"),
	};

	EXPECT_EQ(all.size(), 7u);
	EXPECT_EQ(all.count(0), 0u);
}

TEST(Identity, TheBoundaryBetweenPartsMatters)
{
	EXPECT_NE(identity("GET", "h.x", "/a/b", "", ""),
		  identity("GET", "h.x/a", "/b", "", ""));
}

TEST(Identity, DiffersBetweenFleets)
{
	const struct tr_request_parts parts = { "GET",	 "h.x",	  "/",
						nullptr, nullptr, 0 };

	EXPECT_NE(tr_identity(1, &parts), tr_identity(2, &parts));
}

} // namespace
