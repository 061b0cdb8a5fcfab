/*
 * A change of the configuration that only the readers of the store have got
 * when they are lost. Real entry VMs over loopback.
 */
#include "lost_readers.h"

using namespace soak;

namespace
{

constexpr char CONFIG[] = "op/config";
/* Longer than two reads of the store and a message. */
constexpr auto READ_BY_ALL_READERS = std::chrono::milliseconds(1200);

class ConfigPath : public LostReaders
{
      protected:
	/* The VMs that the store has sent the newest configuration. */
	std::set<unsigned> holders()
	{
		std::set<std::string> sent = store->vms_sent(CONFIG);
		std::set<unsigned> found;

		for (unsigned i = 0; i < vms.size(); i++)
			if (sent.count(vms[i]->ip))
				found.insert(i);
		return found;
	}

	/* Changes the configuration while no VM can fetch it from another one,
	 * but all hear each other. Returns those that have read it. */
	std::set<unsigned> change_unfetched(unsigned version,
					    const std::string &service)
	{
		holders();
		set_all_peers("refused");
		write_config(version, service);
		EXPECT_TRUE(eventually([&] { return !holders().empty(); }));
		std::this_thread::sleep_for(READ_BY_ALL_READERS);
		return holders();
	}

	/* Whether all VMs but these handle the moved route so. */
	bool others_serve(const std::set<unsigned> &lost,
			  const std::string &service)
	{
		return eventually(
			[&] {
				for (unsigned i = 0; i < vms.size(); i++)
					if (!lost.count(i) &&
					    moved_to(i) != service)
						return false;
				return true;
			},
			IN_FORCE);
	}
};

/* Guards against a configuration that is lost with the VMs that have read it,
 * since the watches of the others continue behind it. */
TEST_P(ConfigPath, AChangeThatOnlyLostVmsHaveReadIsInForce)
{
	std::set<unsigned> lost = change_unfetched(2, "s2");

	ASSERT_FALSE(lost.empty());
	ASSERT_LT(lost.size(), vms.size());
	lose(lost);
	EXPECT_TRUE(others_serve(lost, "s2"));
}

/* Guards against the same where a second change follows, whose readers end
 * too, and the store has lost its history. */
TEST_P(ConfigPath, TheLastOfTwoChangesIsInForceWithoutTheHistory)
{
	std::set<unsigned> lost = change_unfetched(2, "s2");

	write_config(3, "s1");
	std::this_thread::sleep_for(READ_BY_ALL_READERS);
	write_config(4, "s2");
	std::this_thread::sleep_for(READ_BY_ALL_READERS);
	lost.merge(holders());
	ASSERT_LT(lost.size(), vms.size());
	lose(lost);
	store->compact_history();
	EXPECT_TRUE(others_serve(lost, "s2"));
}

INSTANTIATE_TEST_SUITE_P(Readers, ConfigPath, testing::ValuesIn(LOSSES),
			 name_of_loss);

} // namespace
