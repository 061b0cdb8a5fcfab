#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "entry.h"
#include "platform.h"
}

namespace
{

/* Configurations that reach a VM from the store or from another VM. */
struct EntryRoutes : testing::Test {
	entry e{};

	void SetUp() override
	{
		e.dialect = &platform_dialect;
		tr_membership_init(&e.members, 1, 1, "dc-0");
	}

	void TearDown() override
	{
		tr_routes_unref(e.routes);
		tr_membership_release(&e.members);
		tr_roster_release(&e.roster);
	}

	static std::string config(unsigned version)
	{
		return R"({"version":)" + std::to_string(version) +
		       R"(,"routes":{"columns":["name","host","prefix",)"
		       R"("kind","timeout","targetLatency","priority",)"
		       R"("maxAttempts","service"],"rows":[["r1","h.x",)"
		       R"("/read/","safe","3s","1s",1,2,"s1"]]},)"
		       R"("services":{"columns":["name","healthPath",)"
		       R"("maxConns"],"rows":[["s1","/health",90]]},)"
		       R"("limits":{"maxHeaderBytes":4096,)"
		       R"("maxBodyBytes":900000,"headerTimeout":"3s",)"
		       R"("idleTimeout":"9s"}})";
	}

	bool apply(std::string text, uint64_t revision)
	{
		char key[] = "op/config";
		store_item item{};

		item.key = key;
		item.value = text.data();
		item.value_len = text.size();
		item.revision = revision;
		return entry_apply_routes(&e, &item, "peer");
	}
};

/* Guards against a configuration that is never fetched again, since a VM that
 * had said that it has it started anew and sent an older one. */
TEST_F(EntryRoutes, AnOlderOneIsNotTakenForOneThatCannotBeRead)
{
	EXPECT_TRUE(apply(config(9), 20));
	EXPECT_TRUE(apply(config(7), 10));
	EXPECT_TRUE(apply(config(7), 10));
	EXPECT_TRUE(apply(config(9), 20));
	EXPECT_EQ(e.routes->version, 9u);
	EXPECT_FALSE(apply("{", 30));
	EXPECT_FALSE(apply("{", 30));
	EXPECT_EQ(e.routes->version, 9u);
}

/* Guards against a VM that tells others that it knows the configuration up to
 * the revision of its list, and has gone past one that it could not read. */
TEST_F(EntryRoutes, AVmThatCouldNotReadOneDoesNotSayThatItKnowsIt)
{
	EXPECT_FALSE(entry_knows_routes(&e));
	EXPECT_TRUE(apply(config(9), 20));
	EXPECT_FALSE(entry_knows_routes(&e));
	e.roster.as_of = 20;
	EXPECT_TRUE(entry_knows_routes(&e));
	e.roster.as_of = 25;
	EXPECT_FALSE(entry_knows_routes(&e));
	EXPECT_FALSE(apply("{", 30));
	e.roster.as_of = 30;
	tr_routes_view_advance(&e.routes_view, 30);
	EXPECT_FALSE(entry_knows_routes(&e));
	EXPECT_TRUE(apply(config(12), 40));
	EXPECT_TRUE(entry_knows_routes(&e));
}

} // namespace
