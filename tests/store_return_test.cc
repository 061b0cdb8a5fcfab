/*
 * The platform's store returns from a copy: what it accepted since the copy is
 * lost and its revisions are given out again. Real entry VMs over loopback.
 */
#include "store_fleet.h"

using namespace soak;

namespace
{

constexpr auto AWAY = std::chrono::milliseconds(300);
/* Longer than what VMs take for an interruption. */
constexpr auto OUTAGE = std::chrono::milliseconds(2500);
/* Revisions that the store gives out after the copy, more than the tests
 * write after the return. */
constexpr unsigned REVISIONS = 100;
/* How long a test watches that something does not happen. */
constexpr auto WATCHED = std::chrono::milliseconds(1200);
/* The requests of an organisation that may be served in that time while its
 * limit is four a second, which all VMs share: what they may hand out at most
 * if none hears of the others. Hundreds are served without a limit. */
constexpr unsigned LIMITED_MAX = 4 * (4 + 4 + 4);
/* For so long at least a target is kept whose entry is missing. */
constexpr auto KEPT = std::chrono::milliseconds(1000);

class StoreReturn : public StoreFleet
{
      protected:
	/* Writes what changes nothing, so that revisions rise. */
	void raise_revisions()
	{
		for (unsigned i = 0; i < REVISIONS; i++)
			write_target(TARGETS - 1, "ready", i + 2);
	}

	void away_and_back(std::chrono::milliseconds late = {})
	{
		store->set_mode(StoreMode::Reset);
		std::this_thread::sleep_for(AWAY);
		store->return_from_copy(late);
		store->set_mode(StoreMode::Up);
	}

	/* The operator and the targets write again what they had written. */
	void write_all_again()
	{
		store->write_again("op/config");
		for (unsigned i = 0; i < TARGETS; i++)
			store->write_again(key_of(i));
	}
};

/* Guards against configurations that are ignored because their revisions were
 * given out before. */
TEST_F(StoreReturn, ANewConfigurationIsInForceAtAllVms)
{
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	away_and_back();
	write_all_again();
	write_config(3, "s1");
	EXPECT_TRUE(in_force("s1"));
}

/* Guards against targets that leave and whose word is ignored in the same way.
 */
TEST_F(StoreReturn, ATargetThatLeavesGetsNoWork)
{
	store->take_copy();
	for (unsigned i = 0; i < REVISIONS; i++)
		write_target(0, "ready", i + 2);
	away_and_back();
	write_all_again();
	write_target(0, "draining");
	EXPECT_TRUE(gets_no_more(0));
	write_target(1, "draining");
	EXPECT_TRUE(gets_no_more(1));
}

/* Guards against VMs that take an older configuration from the copy, also those
 * that start meanwhile, and against those that the store turns away. */
TEST_F(StoreReturn, NoOlderConfigurationIsInForceWhileTheCopyStands)
{
	store->take_copy();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	away_and_back();
	store->set_mode(StoreMode::Busy, { vms[2]->ip });
	restart(0);
	restart(1);
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		for (unsigned i = 0; i < VMS; i++)
			EXPECT_NE(moved_to(i), "s1") << i;
	EXPECT_TRUE(in_force("s2"));
	write_all_again();
	write_config(3, "s1");
	EXPECT_TRUE(in_force("s1"));
}

/* Guards against VMs that start together, read the copy, and take each other's
 * word for that of the fleet. */
TEST_F(StoreReturn, VmsThatStartTogetherWaitForTheOthers)
{
	constexpr auto SILENT = std::chrono::milliseconds(150);

	store->take_copy();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	away_and_back();
	for (unsigned vm : { 2u, 3u })
		vms[vm]->send(SIGSTOP);
	restart(0);
	restart(1);
	std::thread waker([&] {
		std::this_thread::sleep_for(SILENT);
		for (unsigned vm : { 2u, 3u })
			vms[vm]->send(SIGCONT);
	});
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		for (unsigned vm : { 0u, 1u })
			EXPECT_NE(moved_to(vm), "s1") << vm;
	waker.join();
	EXPECT_TRUE(in_force("s2"));
}

/* Guards against targets that have left, or ended, and get requests again since
 * the copy has them as they were before. */
TEST_F(StoreReturn, ATargetThatHasLeftGetsNoWorkWhileTheCopyStands)
{
	store->take_copy();
	write_target(0, "draining");
	store->remove(key_of(1));
	ASSERT_TRUE(gets_no_more(0) && gets_no_more(1));
	unsigned before[] = { arrivals[0], arrivals[1] };

	away_and_back();
	restart(0);
	ASSERT_TRUE(eventually([&] { return all_serve("s1"); }));
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		send_reads(1);
	EXPECT_EQ(arrivals[0], before[0]);
	EXPECT_EQ(arrivals[1], before[1]);
}

/* Guards against departures that only one VM remembers, which learns from
 * another one's list that the copy lacks them, and tells nobody. */
TEST_F(StoreReturn, DeparturesThatOneVmRemembersReachThoseThatReadTheCopy)
{
	store->take_copy();
	write_target(0, "draining");
	store->remove(key_of(1));
	ASSERT_TRUE(gets_no_more(0) && gets_no_more(1));
	vms[2]->send(SIGSTOP);
	away_and_back();
	store->set_mode(StoreMode::Busy, { vms[2]->ip });
	for (unsigned vm : { 0u, 1u, 3u })
		restart(vm);
	for (unsigned vm : { 0u, 1u, 3u })
		ASSERT_TRUE(eventually([&] { return moved_to(vm) == "s1"; }));
	vms[2]->send(SIGCONT);
	EXPECT_TRUE(gets_no_more(0));
	EXPECT_TRUE(gets_no_more(1));
	for (unsigned i : { 0u, 1u })
		EXPECT_TRUE(any_logs("event=target-kept-out id=i-" +
				     std::to_string(i)))
			<< i;
}

/* Guards against targets that are dropped at once because the copy lacks them,
 * and against such that are never dropped. */
TEST_F(StoreReturn, ATargetThatTheCopyLacksIsKeptForAWhile)
{
	store->remove(key_of(0));
	store->remove(key_of(1));
	ASSERT_TRUE(gets_no_more(0) && gets_no_more(1));
	store->take_copy();
	write_target(0, "ready");
	write_target(1, "ready");
	ASSERT_TRUE(eventually([&] { return !unused(0) && !unused(1); }));
	away_and_back();
	auto end = std::chrono::steady_clock::now() +
		   std::chrono::milliseconds(1000);

	while (std::chrono::steady_clock::now() < end) {
		EXPECT_TRUE(is_used(0));
		EXPECT_TRUE(is_used(1));
	}
	store->write_again(key_of(0));
	EXPECT_TRUE(gets_no_more(1));
	EXPECT_FALSE(unused(0));
}

/* Guards against an answer of the former era that comes after the return. */
TEST_F(StoreReturn, ALateAnswerOfTheFormerEraChangesNothing)
{
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	away_and_back(std::chrono::milliseconds(700));
	write_all_again();
	write_config(3, "s1");
	write_target(0, "draining");
	EXPECT_TRUE(in_force("s1"));
	EXPECT_TRUE(gets_no_more(0));
	std::this_thread::sleep_for(WATCHED);
	EXPECT_TRUE(all_serve("s1"));
	EXPECT_TRUE(unused(0));
}

/* Guards against a VM that was suspended over the return, and then tells the
 * others of the former era or stays in it. */
TEST_F(StoreReturn, AVmThatWasSuspendedFollowsTheOthers)
{
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	vms[0]->send(SIGSTOP);
	away_and_back();
	write_all_again();
	write_config(3, "s1");
	write_target(0, "draining");
	std::this_thread::sleep_for(WATCHED);
	vms[0]->send(SIGCONT);
	EXPECT_TRUE(in_force("s1"));
	EXPECT_TRUE(gets_no_more(0));
	std::this_thread::sleep_for(WATCHED);
	EXPECT_TRUE(all_serve("s1"));
	EXPECT_TRUE(unused(0));
}

/* Guards against a VM that is cut off from the others over the return, and
 * follows the copy, or tells them of the former era afterwards. */
TEST_F(StoreReturn, AVmThatIsCutOffFromTheOthersFollows)
{
	for (bool reads : { true, false }) {
		unsigned vm = reads ? 1 : 2;

		store->take_copy();
		raise_revisions();
		write_config(reads ? 2 : 4, "s2");
		write_target(vm, "draining");
		ASSERT_TRUE(in_force("s2") && gets_no_more(vm));
		unsigned before = arrivals[vm];

		set_cut_off(vm, true);
		away_and_back();
		if (!reads)
			store->set_mode(StoreMode::Busy, { vms[vm]->ip });
		auto end = std::chrono::steady_clock::now() + WATCHED;

		while (std::chrono::steady_clock::now() < end) {
			send_reads(1);
			EXPECT_NE(moved_to(vm), "s1") << reads;
		}
		/* It learns of the new era from the store only. */
		EXPECT_EQ(log_of(vm).find(reads ? " era=2 " : " era=3 ") !=
				  std::string::npos,
			  reads);
		set_cut_off(vm, false);
		write_all_again();
		write_config(reads ? 3 : 5, "s1");
		EXPECT_TRUE(in_force("s1")) << reads;
		EXPECT_TRUE(gets_no_more(vm)) << reads;
		EXPECT_EQ(arrivals[vm], before) << reads;
		store->set_mode(StoreMode::Up);
	}
}

/* Guards against VMs that the store turns away and that stay in the former era.
 */
TEST_F(StoreReturn, VmsThatTheStoreTurnsAwayFollowTheOthers)
{
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	ASSERT_TRUE(in_force("s2"));
	away_and_back();
	store->set_mode(StoreMode::Busy,
			{ vms[0]->ip, vms[2]->ip, vms[3]->ip });
	write_all_again();
	write_config(3, "s1");
	write_target(0, "draining");
	EXPECT_TRUE(in_force("s1"));
	EXPECT_TRUE(gets_no_more(0));
}

/* Guards against a second return that finds VMs still amid the first. */
TEST_F(StoreReturn, TwoReturnsSoonAfterEachOther)
{
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	write_target(0, "draining");
	ASSERT_TRUE(in_force("s2") && gets_no_more(0));
	away_and_back();
	write_config(3, "s2");
	away_and_back();
	unsigned before = arrivals[0];
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		for (unsigned i = 0; i < VMS; i++) {
			EXPECT_NE(moved_to(i), "s1") << i;
			status(i, "/read/a");
		}
	EXPECT_EQ(arrivals[0], before);
	write_config(4, "s1");
	EXPECT_TRUE(in_force("s1"));
}

/* Guards against a platform that names no era any more. */
TEST_F(StoreReturn, WithoutAnEraChangesAreInForceAsBefore)
{
	store->set_era_text("");
	write_config(2, "s2");
	write_target(0, "draining");
	EXPECT_TRUE(in_force("s2"));
	EXPECT_TRUE(gets_no_more(0));
}

/* Guards against a return that is not noticed since the platform names its
 * first era with it. */
TEST_F(StoreReturn, AFirstEraThatComesWithTheReturnIsFollowed)
{
	store->set_era_text("");
	for (unsigned i = 0; i < VMS; i++) {
		vms[i]->kill_now();
		vms[i]->start();
	}
	ASSERT_TRUE(eventually([&] { return all_serve("s1"); }));
	store->take_copy();
	raise_revisions();
	write_config(2, "s2");
	write_target(0, "draining");
	ASSERT_TRUE(in_force("s2") && gets_no_more(0));
	unsigned before = arrivals[0];

	store->set_mode(StoreMode::Reset);
	store->set_era_text(std::nullopt);
	away_and_back();
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end) {
		send_reads(1);
		for (unsigned i = 0; i < VMS; i++)
			EXPECT_EQ(moved_to(i), "s2") << i;
	}
	EXPECT_EQ(arrivals[0], before);
	write_config(3, "s1");
	EXPECT_TRUE(in_force("s1"));
}

/* Guards against answers that are lost since their era is not a number. */
TEST_F(StoreReturn, AnEraThatIsNoNumberIsLoggedAndNothingIsLost)
{
	store->set_era_text("soon");
	write_config(2, "s2");
	write_target(0, "draining");
	EXPECT_TRUE(in_force("s2"));
	EXPECT_TRUE(gets_no_more(0));
	EXPECT_TRUE(eventually([&] {
		return any_logs("event=store-era-invalid value=\"soon\"");
	}));
}

/* Guards against targets whose entries expired while the store was away and
 * that are dropped at once, since the store has lost its history as well. */
TEST_F(StoreReturn, ATargetThatExpiredIsKeptForAWhileWhenTheListIsReadAnew)
{
	store->set_mode(StoreMode::Reset);
	std::this_thread::sleep_for(OUTAGE);
	store->remove(key_of(0));
	store->compact_history();
	store->set_mode(StoreMode::Up);
	ASSERT_TRUE(
		eventually([&] { return any_logs("event=store-regained"); }));
	{
		std::lock_guard<std::mutex> lock(mutex);

		users.clear();
	}
	EXPECT_TRUE(eventually([&] { return all_use_first_target(); }, KEPT));
	EXPECT_TRUE(gets_no_more(0));
}

/* Guards against a target that left while a VM was suspended, and is taken for
 * one whose entry expired. */
TEST_F(StoreReturn, ATargetThatEndedWhileAVmWasSuspendedGetsNoWork)
{
	for (unsigned vm = 0; vm < 2; vm++) {
		vms[vm]->send(SIGSTOP);
		store->remove(key_of(vm));
		std::this_thread::sleep_for(OUTAGE);
		store->compact_history();
		vms[vm]->send(SIGCONT);
		unsigned before = arrivals[vm];
		auto end = std::chrono::steady_clock::now() + WATCHED;

		while (std::chrono::steady_clock::now() < end)
			status(vm, "/read/a");
		EXPECT_EQ(arrivals[vm], before) << vm;
	}
}

class StoreReturnKeys : public StoreReturn
{
      protected:
	void SetUp() override
	{
		organisations = R"(["org",["key-1","key-2"],5000,5000])";
		api_key = "key-1";
		key_proof = "1500ms";
		StoreReturn::SetUp();
	}

	int status_with(unsigned vm, const std::string &key)
	{
		api_key = key;
		int found = status(vm, "/read/a");

		api_key = "key-1";
		return found;
	}

	bool all_answer(const std::string &key, int expected)
	{
		for (unsigned i = 0; i < VMS; i++)
			if (status_with(i, key) != expected)
				return false;
		return true;
	}
};

/* Guards against a key that was taken away and is used again since the copy has
 * it, and against proofs by a store that has lost the configuration. */
TEST_F(StoreReturnKeys, AKeyThatWasTakenAwayIsNotUsedWhileTheCopyStands)
{
	store->take_copy();
	organisations = R"(["org",["key-1"],5000,5000])";
	write_config(2, "s1");
	ASSERT_TRUE(
		eventually([&] { return all_answer("key-2", 401); }, IN_FORCE));
	away_and_back();
	restart(0);
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		for (unsigned i = 0; i < VMS; i++)
			EXPECT_NE(status_with(i, "key-2"), 200) << i;
	EXPECT_TRUE(
		eventually([&] { return all_answer("key-1", 503); }, IN_FORCE));
	write_all_again();
	EXPECT_TRUE(
		eventually([&] { return all_answer("key-1", 200); }, IN_FORCE));
	EXPECT_TRUE(all_answer("key-2", 401));
}

/* Guards against a limit of an organisation that is raised again, since the
 * copy has the configuration before. */
TEST_F(StoreReturnKeys, ALimitThatWasLoweredHoldsWhileTheCopyStands)
{
	unsigned served = 0;

	store->take_copy();
	organisations = R"(["org",["key-1"],4,4])";
	write_config(2, "s1");
	ASSERT_TRUE(eventually([&] { return status(0, "/read/a") == 429; }));
	away_and_back();
	restart(0);
	auto end = std::chrono::steady_clock::now() + WATCHED;

	while (std::chrono::steady_clock::now() < end)
		for (unsigned i = 0; i < VMS; i++)
			served += status(i, "/read/a") == 200;
	EXPECT_LE(served, LIMITED_MAX);
	write_all_again();
	organisations = R"(["org",["key-1"],5000,5000])";
	write_config(3, "s1");
	EXPECT_TRUE(in_force("s1"));
}

/* Guards against a return that operators can't see. */
TEST_F(StoreReturn, AllVmsLogTheReturnWithErasAndRevisions)
{
	store->take_copy();
	raise_revisions();
	away_and_back();
	write_all_again();
	EXPECT_TRUE(eventually([&] {
		return all_log("event=store-restored era_before=1 "
			       "as_of_before=") &&
		       all_log(" era=2 as_of=");
	}));
}

} // namespace
