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

const unsigned CENTRES = 4;
/* What the VMs of a large fleet have, in bits a second: most are thin. */
const double LINKS[] = { 10e6, 10e6, 50e6, 200e6 };

struct Copy {
	unsigned from;
	apr_time_t done_at;
};

/* One VM of a fleet whose messages take effect after a delay. */
struct Vm {
	tr_membership members{};
	tr_spread spread{};
	tr_spread_link link{};
	uint64_t held = 1;
	apr_time_t held_at = 0;
	bool down = false;
	bool asking = false;
	Copy copy{};
};

struct Fleet {
	std::vector<Vm> vms;
	tr_random random{ 7 };
	apr_time_t now = TR_SEC(100);
	size_t copy_bytes;
	uint64_t sent = 0;
	unsigned turned_away = 0;

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
		return "dc-" + std::to_string(i % CENTRES);
	}

	/* Each VM hears of each other's revision of 75 ms ago. */
	void tell()
	{
		for (unsigned i = 0; i < vms.size(); i++) {
			for (unsigned k = 0; k < vms.size(); k++) {
				tr_node *node;

				if (k == i || vms[k].down)
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

	void ask(Vm &vm)
	{
		const tr_node *holder = tr_spread_choose_source(
			&vm.spread, &vm.members, vm.held, 0, &random, now);

		if (!holder)
			return;
		Vm &from = vms[holder->ip - 1];

		if (from.down ||
		    !tr_spread_link_reserve(&from.link, copy_bytes, now)) {
			turned_away++;
			tr_spread_failed(&vm.spread, holder->ip, &random, now);
			return;
		}
		sent += copy_bytes;
		vm.asking = true;
		vm.copy = { holder->ip - 1,
			    std::max(now, from.link.busy_until) + TR_MSEC(4) };
	}

	void step()
	{
		now += TR_MSEC(25);
		tell();
		for (Vm &vm : vms) {
			if (vm.down)
				continue;
			if (vm.asking && now >= vm.copy.done_at) {
				const Vm &from = vms[vm.copy.from];

				vm.asking = false;
				if (!from.down && from.held > vm.held) {
					vm.held = from.held;
					vm.held_at = now;
				}
			}
			if (!vm.asking)
				ask(vm);
		}
	}

	void put(unsigned i, uint64_t revision)
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

	/* Milliseconds until all have it, or -1 after ten seconds. */
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
 * Symptom: seconds after a configuration was accepted, two of 96 VMs have it,
 * and these lose the platform. Sequence: it grows by 1,512 routes; all others
 * ask the two readers at once, over links of 10 to 200 Mbit/s. Cause: every
 * copy came from the readers, shared their links, and was begun anew when its
 * time was over.
 */
TEST(Spread, ALargeConfigurationReachesAThinFleetInTime)
{
	Fleet fleet(96, 20000);

	fleet.put(0, 5);
	fleet.put(1, 5);
	long took = fleet.until_all(5);

	EXPECT_GE(took, 0);
	EXPECT_LE(took, 1500);
	EXPECT_LE(fleet.sent, 96u * 20000);
}

/* Twice the VMs cost a round more, and each is sent one copy. */
TEST(Spread, TheTimeGrowsByRoundsAndTheBytesByCopies)
{
	Fleet small(50, 20000);
	Fleet large(200, 20000);

	small.put(0, 5);
	large.put(0, 5);
	long took_small = small.until_all(5);
	long took_large = large.until_all(5);

	EXPECT_LE(took_large, took_small + 1000);
	EXPECT_EQ(large.sent, 199u * 20000);
}

/*
 * Symptom: most VMs stay at the old configuration. Sequence: the only two VMs
 * that have the new one die when eight others have it. Cause: the others went
 * on asking those who had told them of it first.
 */
TEST(Spread, AnyHolderWillDoWhenTheFirstAreLost)
{
	Fleet fleet(96, 20000);

	fleet.put(0, 5);
	fleet.put(1, 5);
	while (fleet.holders(5) < 10)
		fleet.step();
	fleet.vms[0].down = fleet.vms[1].down = true;
	EXPECT_GE(fleet.until_all(5), 0);
}

/* A second configuration on the heels of the first is what all end with. */
TEST(Spread, TheNewestWinsInAStorm)
{
	Fleet fleet(96, 20000);

	for (uint64_t revision = 2; revision < 30; revision++) {
		fleet.put(revision % 2, revision);
		for (int i = 0; i < 4; i++)
			fleet.step();
	}
	long took = fleet.until_all(29);

	EXPECT_GE(took, 0);
	EXPECT_LE(took, 2000);
}

/*
 * Symptom: VMs handle requests by a configuration that three newer ones have
 * replaced, over three seconds after these were accepted. Sequence: 442 VMs, of
 * which one reads the platform; a new configuration every 60 ms; whenever one
 * is told of, all ask its reader. Cause: those that were turned away waited,
 * and by then there was a newer one.
 */
TEST(Spread, AStormReachesALargeFleetInTime)
{
	Fleet fleet(442, 5000);
	std::vector<apr_time_t> put_at(100);

	for (uint64_t revision = 2; revision < 70; revision++) {
		fleet.put(0, revision);
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

TEST(Spread, NobodyAsksForWhatCouldNotBeRead)
{
	Fleet fleet(3, 100);

	fleet.put(0, 5);
	fleet.now += TR_SEC(1);
	fleet.tell();
	for (int i = 0; i < 40; i++) {
		fleet.now += TR_MSEC(25);
		EXPECT_EQ(tr_spread_choose_source(&fleet.vms[1].spread,
						  &fleet.vms[1].members, 1, 5,
						  &fleet.random, fleet.now),
			  nullptr);
	}
}

TEST(Spread, AHolderOfTheOwnDataCentreIsAskedFirst)
{
	Fleet fleet(16, 100);

	for (unsigned i = 0; i < 8; i++)
		fleet.put(i, 5);
	fleet.now += TR_SEC(1);
	fleet.tell();
	Vm &vm = fleet.vms[12];

	tr_spread_choose_source(&vm.spread, &vm.members, 1, 0, &fleet.random,
				fleet.now);
	fleet.now += TR_MSEC(100);
	for (int i = 0; i < 50; i++) {
		const tr_node *holder =
			tr_spread_choose_source(&vm.spread, &vm.members, 1, 0,
						&fleet.random, fleet.now);

		ASSERT_NE(holder, nullptr);
		EXPECT_STREQ(holder->data_centre, "dc-0");
	}
}

TEST(Spread, ALinkThatIsTakenTurnsAskersAway)
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

TEST(Pack, ASeventhOfTheBytesAndTheSameText)
{
	std::string text = many_routes();
	GBytes *packed = pack_bytes(text.data(), text.size());
	size_t size;
	const void *data = g_bytes_get_data(packed, &size);
	size_t len = 0;
	char *back = pack_open(data, size, text.size(), &len);

	ASSERT_NE(back, nullptr);
	EXPECT_EQ(std::string(back, len), text);
	EXPECT_LT(size * 6, text.size());
	free(back);
	g_bytes_unref(packed);
}

/* What is cut, longer than it said or changed is no text. */
TEST(Pack, DamagedBytesAreNoText)
{
	std::string text = many_routes();
	GBytes *packed = pack_bytes(text.data(), text.size());
	size_t size;
	const char *data = (const char *)g_bytes_get_data(packed, &size);
	size_t len = 0;

	for (size_t cut = 0; cut < size; cut += 97)
		EXPECT_EQ(pack_open(data, cut, text.size(), &len), nullptr);
	EXPECT_EQ(pack_open(data, size, text.size() - 1, &len), nullptr);
	for (size_t at = 0; at < size; at += 97) {
		std::string bad(data, size);

		bad[at] ^= 0x20;
		EXPECT_EQ(pack_open(bad.data(), size, text.size(), &len),
			  nullptr)
			<< at;
	}
	g_bytes_unref(packed);
}

} // namespace
