/*
 * Readers of the store are lost, and a target's entry is missing: because the
 * target has ended, or because the store was away. Real entry VMs over
 * loopback.
 */
#include "lost_readers.h"

using namespace soak;

namespace
{

/* Longer than what VMs take for an interruption, and than they wait for lost
 * readers. */
constexpr auto OUTAGE = std::chrono::milliseconds(2500);

class OutagePath : public LostReaders
{
      protected:
	std::set<unsigned> lost;

	void lose_readers()
	{
		lost = readers();
		ASSERT_FALSE(lost.empty());
		ASSERT_LT(lost.size(), vms.size());
		lose(lost);
	}

	bool any_other_logs(const std::string &text)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			if (!lost.count(i) &&
			    log_of(i).find(text) != std::string::npos)
				return true;
		return false;
	}

	/* Whether the first target gets requests of the VMs that were not
	 * lost. */
	bool others_use_first_target()
	{
		unsigned before = arrivals[0];

		for (unsigned n = 0; n < 10; n++)
			for (unsigned i = 0; i < vms.size(); i++)
				if (!lost.count(i))
					status(i, "/read/a");
		return arrivals[0] != before;
	}
};

/* Guards against the old failures of a VM that was cut off from the store and
 * is back, which is taken for an outage of the store when the readers are lost.
 */
TEST_P(OutagePath, AVmThatWasCutOffTakesNoLostReadersForAnOutage)
{
	ASSERT_TRUE(eventually([&] { return readers().size() == 2; }));
	unsigned cut = *readers().begin();

	store->set_mode(StoreMode::Silent, { vms[cut]->ip });
	ASSERT_TRUE(eventually([&] {
		return log_of(cut).find("event=store-lost") !=
			       std::string::npos &&
		       readers().size() == 2 && !readers().count(cut);
	}));
	store->set_mode(StoreMode::Up);
	std::this_thread::sleep_for(std::chrono::seconds(1));
	lose_readers();
	store->remove(key_of(0));
	EXPECT_TRUE(eventually([&] { return any_other_logs("state=gone"); },
			       IN_FORCE));
	EXPECT_TRUE(eventually([&] { return !others_use_first_target(); },
			       IN_FORCE));
	EXPECT_FALSE(any_other_logs("event=interruption-ends"));
	EXPECT_FALSE(any_other_logs("state=lapsed"));
}

/* Guards against a target whose entry expired while the store was away and that
 * is dropped at once, as the readers were lost with the store. */
TEST_P(OutagePath, WhatExpiredIsKeptWhereReadersAreLostWithTheStore)
{
	ASSERT_TRUE(eventually([&] { return readers().size() == 2; }));
	store->set_mode(StoreMode::Reset);
	lose_readers();
	std::this_thread::sleep_for(OUTAGE);
	store->remove(key_of(0));
	store->set_mode(StoreMode::Up);
	/* One that was lost may be back and be answered first. */
	EXPECT_TRUE(eventually(
		[&] { return any_logs("event=interruption-ends"); }));
	EXPECT_TRUE(eventually([&] { return others_use_first_target(); },
			       SEVERAL_REPORTS));
	EXPECT_TRUE(eventually([&] { return any_other_logs("state=lapsed"); },
			       IN_FORCE));
	EXPECT_TRUE(eventually([&] { return !others_use_first_target(); },
			       IN_FORCE));
}

INSTANTIATE_TEST_SUITE_P(Readers, OutagePath, testing::ValuesIn(LOSSES),
			 name_of_loss);

} // namespace
