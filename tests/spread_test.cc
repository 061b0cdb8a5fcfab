#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "pack.h"
#include "spread.h"
}

namespace
{

const unsigned CENTRE_COUNT = 4;
/* Link speeds in a large fleet, in bits a second: most are slow. */
const double LINKS[] = { 10e6, 10e6, 50e6, 200e6 };

/* After this time without any data a fetch has failed. */
const apr_time_t TIMEOUT = TR_MSEC(1000);
/* Within this time of a change all VMs have the configuration, also if another
 * VM has to read it after both readers are lost, this much later. */
const apr_time_t IN_FORCE = TR_MSEC(2000);
const apr_time_t THIRD_READS_AFTER = TR_MSEC(1250);

struct Copy {
	unsigned from;
	apr_time_t done_at;
};

/* One VM of a fleet whose reports arrive after a delay. */
struct Vm {
	tr_membership members{};
	tr_spread spread{};
	tr_spread_link link{};
	uint64_t held = 1;
	apr_time_t held_at = 0;
	bool down = false;
	/* Accepts connections and does nothing else. */
	bool suspended = false;
	bool fetching = false;
	Copy copy{};
};

struct Fleet {
	std::vector<Vm> vms;
	tr_random random{ 7 };
	apr_time_t now = TR_SEC(100);
	size_t copy_bytes;
	uint64_t sent = 0;
	unsigned refused = 0;

	Fleet(unsigned n, size_t bytes) : vms(n), copy_bytes(bytes)
	{
		for (unsigned i = 0; i < n; i++) {
			Vm &vm = vms[i];

			tr_membership_init(&vm.members, i + 1, 1,
					   centre(i).c_str());
			vm.link.bytes_a_second = LINKS[i % 4] / 8;
			for (unsigned k = 0; k < n; k++)
				if (k != i)
					tr_membership_find_or_add(&vm.members,
								  k + 1);
		}
	}

	~Fleet()
	{
		for (Vm &vm : vms)
			tr_membership_release(&vm.members);
	}

	static std::string centre(unsigned i)
	{
		return "dc-" + std::to_string(i % CENTRE_COUNT);
	}

	/* Each VM learns the others' revisions after 75 ms. */
	void exchange_reports()
	{
		for (unsigned i = 0; i < vms.size(); i++) {
			for (unsigned k = 0; k < vms.size(); k++) {
				tr_node *node;

				if (k == i || vms[k].down || vms[k].suspended)
					continue;
				node = tr_membership_find_or_add_at(
					&vms[i].members, k + 1,
					centre(k).c_str());
				node->heard_at = now;
				if (now - vms[k].held_at >= TR_MSEC(75))
					node->held[TR_RESOURCE_ROUTES] =
						vms[k].held;
			}
		}
	}

	void fetch(Vm &vm)
	{
		const tr_node *source = tr_spread_choose_source(
			&vm.spread, &vm.members, vm.held, 0, &random, now);

		if (!source)
			return;
		Vm &from = vms[source->ip - 1];

		if (from.down ||
		    !tr_spread_link_reserve(&from.link, copy_bytes, now)) {
			refused++;
			tr_spread_failed(&vm.spread, source->ip, &random, now);
			return;
		}
		vm.fetching = true;
		vm.copy = { source->ip - 1, now + TIMEOUT };
		if (from.suspended)
			return;
		sent += copy_bytes;
		vm.copy = { source->ip - 1,
			    std::max(now, from.link.busy_until) + TR_MSEC(4) };
	}

	void finish_fetch(Vm &vm)
	{
		const Vm &from = vms[vm.copy.from];
		bool abandoned = tr_spread_should_abandon(
			&vm.spread, &vm.members, vm.copy.from + 1, vm.held,
			now);

		if (now < vm.copy.done_at && !abandoned)
			return;
		vm.fetching = false;
		if (abandoned || from.suspended) {
			tr_spread_failed(&vm.spread, vm.copy.from + 1, &random,
					 now);
		} else if (!from.down && from.held > vm.held) {
			vm.held = from.held;
			vm.held_at = now;
		}
	}

	void step()
	{
		now += TR_MSEC(25);
		exchange_reports();
		for (Vm &vm : vms) {
			if (vm.down || vm.suspended)
				continue;
			if (vm.fetching)
				finish_fetch(vm);
			if (!vm.fetching)
				fetch(vm);
		}
	}

	void publish(unsigned i, uint64_t revision)
	{
		vms[i].held = revision;
		vms[i].held_at = now;
	}

	unsigned holders(uint64_t revision)
	{
		unsigned n = 0;

		for (const Vm &vm : vms)
			n += vm.down || vm.held >= revision;
		return n;
	}

	/* Milliseconds until all VMs have it, or -1 after ten seconds. */
	long until_all(uint64_t revision)
	{
		for (apr_time_t t = 0; t < TR_SEC(10); t += TR_MSEC(25)) {
			if (holders(revision) == vms.size())
				return (long)(t / 1000);
			step();
		}
		return -1;
	}
};

/*
 * Guards against a configuration that two of 96 VMs have seconds after it was
 * accepted, while these two lose the platform. It had grown by 1,512 routes,
 * and all other VMs requested it from the two readers at once, over links of 10
 * to 200 Mbit/s. Every copy came from the readers, shared their links and was
 * restarted when it timed out.
 */
TEST(Spread, ALargeConfigurationReachesAFleetWithSlowLinksInTime)
{
	Fleet fleet(96, 20000);

	fleet.publish(0, 5);
	fleet.publish(1, 5);
	long took = fleet.until_all(5);

	EXPECT_GE(took, 0);
	EXPECT_LE(took, 1500);
	EXPECT_LE(fleet.sent, 96u * 20000);
}

/* Twice the VMs need one more round, and each VM is sent one copy. */
TEST(Spread, TheTimeGrowsByRoundsAndTheBytesByCopies)
{
	Fleet small(50, 20000);
	Fleet large(200, 20000);

	small.publish(0, 5);
	large.publish(0, 5);
	long small_ms = small.until_all(5);
	long large_ms = large.until_all(5);

	EXPECT_LE(large_ms, small_ms + 1000);
	EXPECT_EQ(large.sent, 199u * 20000);
}

/*
 * Guards against a fleet in which most VMs keep the old configuration. The only
 * two VMs that had the new one died when eight others had it too, and the rest
 * kept requesting it from the first two.
 */
TEST(Spread, OtherSourcesAreUsedWhenTheFirstAreLost)
{
	Fleet fleet(96, 20000);

	fleet.publish(0, 5);
	fleet.publish(1, 5);
	while (fleet.holders(5) < 10)
		fleet.step();
	fleet.vms[0].down = fleet.vms[1].down = true;
	EXPECT_GE(fleet.until_all(5), 0);
}

/* Guards against VMs that go on asking the readers of a configuration, which
 * were suspended, after another VM has read it too. */
TEST(Spread, VmsThatHaveFallenSilentAreNotAskedWhileOthersAreHeard)
{
	Fleet fleet(44, 20000);

	fleet.publish(0, 5);
	fleet.publish(1, 5);
	fleet.now += TR_MSEC(75);
	fleet.exchange_reports();
	fleet.vms[0].suspended = fleet.vms[1].suspended = true;
	for (apr_time_t end = fleet.now + THIRD_READS_AFTER; fleet.now < end;)
		fleet.step();
	ASSERT_EQ(fleet.holders(5), 2u);
	fleet.publish(2, 5);
	long took = fleet.until_all(5);

	EXPECT_GE(took, 0);
	EXPECT_LE(TR_MSEC(took), IN_FORCE - THIRD_READS_AFTER);
}

/* After a quick succession of configurations all VMs have the last one. */
TEST(Spread, TheNewestWinsInABurstOfChanges)
{
	Fleet fleet(96, 20000);

	for (uint64_t revision = 2; revision < 30; revision++) {
		fleet.publish(revision % 2, revision);
		for (int i = 0; i < 4; i++)
			fleet.step();
	}
	long took = fleet.until_all(29);

	EXPECT_GE(took, 0);
	EXPECT_LE(took, 2000);
}

/*
 * Guards against VMs that use a configuration for over three seconds after
 * three newer ones replaced it. Of 442 VMs one reads the platform and there is
 * a new configuration every 60 ms; whenever one was announced, all VMs asked
 * the reader, and those that were refused waited until there was a newer one.
 */
TEST(Spread, ABurstOfChangesReachesALargeFleetInTime)
{
	Fleet fleet(442, 5000);
	std::vector<apr_time_t> put_at(100);

	for (uint64_t revision = 2; revision < 70; revision++) {
		fleet.publish(0, revision);
		put_at[revision] = fleet.now;
		for (int i = 0; i < 3; i++)
			fleet.step();
		for (const Vm &vm : fleet.vms)
			ASSERT_GT(put_at[std::min<uint64_t>(vm.held + 1,
							    revision)],
				  fleet.now - TR_MSEC(1500))
				<< "revision " << vm.held << " of " << revision;
	}
	long took = fleet.until_all(69);

	EXPECT_GE(took, 0);
	EXPECT_LE(took, 1000);
}

TEST(Spread, ARevisionThatCouldNotBeReadIsNotFetched)
{
	Fleet fleet(3, 100);

	fleet.publish(0, 5);
	fleet.now += TR_SEC(1);
	fleet.exchange_reports();
	for (int i = 0; i < 40; i++) {
		fleet.now += TR_MSEC(25);
		EXPECT_EQ(tr_spread_choose_source(&fleet.vms[1].spread,
						  &fleet.vms[1].members, 1, 5,
						  &fleet.random, fleet.now),
			  nullptr);
	}
}

TEST(Spread, ASourceInTheOwnDataCentreIsPreferred)
{
	Fleet fleet(16, 100);

	for (unsigned i = 0; i < 8; i++)
		fleet.publish(i, 5);
	fleet.now += TR_SEC(1);
	fleet.exchange_reports();
	Vm &vm = fleet.vms[12];

	tr_spread_choose_source(&vm.spread, &vm.members, 1, 0, &fleet.random,
				fleet.now);
	fleet.now += TR_MSEC(100);
	for (int i = 0; i < 50; i++) {
		const tr_node *source =
			tr_spread_choose_source(&vm.spread, &vm.members, 1, 0,
						&fleet.random, fleet.now);

		ASSERT_NE(source, nullptr);
		EXPECT_STREQ(source->data_centre, "dc-0");
	}
}

TEST(Spread, ABusyLinkRefusesCopies)
{
	tr_spread_link link{};
	apr_time_t now = TR_SEC(1);

	link.bytes_a_second = 1.25e6;
	EXPECT_TRUE(tr_spread_link_reserve(&link, 200000, now));
	EXPECT_FALSE(tr_spread_link_reserve(&link, 200000, now));
	EXPECT_TRUE(tr_spread_link_reserve(&link, 200000, now + TR_MSEC(161)));
}

std::string many_routes()
{
	std::string text;

	for (int i = 0; i < 1500; i++)
		text += R"(["r-)" + std::to_string(i * 7919) +
			R"(","h.example","/p)" + std::to_string(i * 104729) +
			R"(/","unsafe","4000ms","1000ms",1,null,2,"s1"],)";
	return text;
}

TEST(Pack, PackedTextIsASeventhAndUnpacksUnchanged)
{
	std::string text = many_routes();
	GBytes *packed = pack_compress(text.data(), text.size());
	size_t size;
	const void *data = g_bytes_get_data(packed, &size);
	size_t len = 0;
	char *back = pack_decompress(data, size, text.size(), &len);

	ASSERT_NE(back, nullptr);
	EXPECT_EQ(std::string(back, len), text);
	EXPECT_LT(size * 6, text.size());
	free(back);
	g_bytes_unref(packed);
}

/* Text that is truncated, longer than declared or changed is rejected. */
TEST(Pack, DamagedBytesAreRejected)
{
	std::string text = many_routes();
	GBytes *packed = pack_compress(text.data(), text.size());
	size_t size;
	const char *data = (const char *)g_bytes_get_data(packed, &size);
	size_t len = 0;

	for (size_t cut = 0; cut < size; cut += 97)
		EXPECT_EQ(pack_decompress(data, cut, text.size(), &len),
			  nullptr);
	EXPECT_EQ(pack_decompress(data, size, text.size() - 1, &len), nullptr);
	for (size_t at = 0; at < size; at += 97) {
		std::string bad(data, size);

		bad[at] ^= 0x20;
		EXPECT_EQ(pack_decompress(bad.data(), size, text.size(), &len),
			  nullptr)
			<< at;
	}
	g_bytes_unref(packed);
}

} // namespace
