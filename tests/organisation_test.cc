#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "error.h"
#include "organisation.h"
}

namespace
{

struct Organisations : testing::Test {
	tr_organisations *all = tr_organisations_new(2);
	tr_error err{};

	void SetUp() override
	{
		all->rows[0].name = strdup("umuganda-coop");
		all->rows[1].name = strdup("agent-22");
		tr_organisations_add_key(all, "ftimaj3nr26tta828m82", 0);
		tr_organisations_add_key(all, "thhkmgjqnirth5mgjy5r", 0);
		tr_organisations_add_key(all, "q7", 1);
	}

	void TearDown() override
	{
		tr_organisations_free(all);
	}

	std::string organisation_of(const char *key)
	{
		const tr_organisation *o = tr_organisations_find(all, key);

		return o ? o->name : "";
	}
};

TEST_F(Organisations, AKeyIdentifiesItsOrganisation)
{
	ASSERT_EQ(tr_organisations_finalize(all, &err), 0);
	EXPECT_EQ(organisation_of("ftimaj3nr26tta828m82"), "umuganda-coop");
	EXPECT_EQ(organisation_of("thhkmgjqnirth5mgjy5r"), "umuganda-coop");
	EXPECT_EQ(organisation_of("q7"), "agent-22");
}

/* No prefix of a key, no other case and no longer text matches the key. */
TEST_F(Organisations, ASimilarKeyIsUnknown)
{
	const std::string key = "ftimaj3nr26tta828m82";

	ASSERT_EQ(tr_organisations_finalize(all, &err), 0);
	for (size_t n = 0; n < key.size(); n++)
		EXPECT_EQ(organisation_of(key.substr(0, n).c_str()), "") << n;
	EXPECT_EQ(organisation_of("FTIMAJ3NR26TTA828M82"), "");
	EXPECT_EQ(organisation_of((key + " ").c_str()), "");
	EXPECT_EQ(organisation_of(std::string(60000, 'q').c_str()), "");
	EXPECT_EQ(organisation_of(nullptr), "");
}

/*
 * Only a digest is stored, with a different secret each time, so that memory
 * that is written out contains no key.
 */
TEST_F(Organisations, KeysAreNotStored)
{
	tr_organisations *again = tr_organisations_new(1);

	tr_organisations_add_key(again, "q7", 0);
	EXPECT_NE(memcmp(all->keys[2].digest, again->keys[0].digest,
			 TR_KEY_DIGEST_SIZE),
		  0);
	tr_organisations_free(again);
}

/* The error names the organisation and never the key. */
TEST_F(Organisations, AKeyOfTwoOrganisationsIsRefused)
{
	tr_organisations_add_key(all, "ftimaj3nr26tta828m82", 1);
	EXPECT_EQ(tr_organisations_finalize(all, &err), -1);
	EXPECT_EQ(err.code, TR_DUPLICATE);
	EXPECT_EQ(std::string(err.expected).find("ftimaj"), std::string::npos);
	EXPECT_STRNE(err.value, "ftimaj3nr26tta828m82");
}

TEST_F(Organisations, AnOrganisationWithoutANameIsRefused)
{
	all->rows[1].name[0] = 0;
	EXPECT_EQ(tr_organisations_finalize(all, &err), -1);
	EXPECT_STREQ(err.field, "name");
}

/* The name is sent in a header: a line break in it could add another header. */
TEST_F(Organisations, ANameThatWouldEndAHeaderIsRefused)
{
	free(all->rows[1].name);
	all->rows[1].name = strdup("a\r\nX-Admin: 1");
	EXPECT_EQ(tr_organisations_finalize(all, &err), -1);
	EXPECT_STREQ(err.field, "name");
}

TEST_F(Organisations, ALimitBelowZeroIsRefused)
{
	all->rows[1].rate = -1;
	EXPECT_EQ(tr_organisations_finalize(all, &err), -1);
	EXPECT_STREQ(err.value, "agent-22");
}

TEST(NoOrganisations, HaveNoKeys)
{
	tr_organisations *none = tr_organisations_new(0);
	tr_error err{};

	EXPECT_EQ(tr_organisations_finalize(none, &err), 0);
	EXPECT_EQ(tr_organisations_find(none, "q7"), nullptr);
	tr_organisations_free(none);
}

} // namespace
