/*
 * The fleet's bound on repeats under load, played with a virtual clock: targets
 * turn requests away, VMs send them once more, and hear of each other's repeats
 * only some messages later, or not at all: messages are late or lost, links are
 * cut, VMs stand still or start anew.
 */
#include <algorithm>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "allowance.h"
#include "clock.h"
#include "hash.h"
}

namespace
{

const apr_time_t STEP = TR_MSEC(5);
const apr_time_t TELL_EVERY = TR_MSEC(40);
const apr_time_t NEWS_TAKE = TR_MSEC(100);
const apr_time_t RESTART_TAKES = TR_MSEC(500);
/* After so long without a message a VM counts as silent. */
const apr_time_t SILENT_AFTER = TR_MSEC(200);
const unsigned TRIES_MOST = 8;

/* What a VM heard of another one last. */
struct Heard {
	unsigned life = 0;
	bool known = false;
	tr_work_totals totals{};
	tr_repeat_bucket bucket{};
	apr_time_t at = 0;
};

struct Vm {
	tr_allowance allowance{};
	std::vector<Heard> others;
	unsigned life = 1;
	unsigned side = 0;
	apr_time_t down_until = 0;
	apr_time_t stopped_until = 0;
};

struct Message {
	apr_time_t arrives;
	unsigned from;
	unsigned life;
	unsigned side;
	tr_work_totals told;
};

struct Refused {
	apr_time_t at;
	unsigned vm;
	unsigned life;
	unsigned tries;
};

struct Fleet {
	tr_repeat_bound bound;
	tr_random random;
	std::vector<Vm> vms;
	std::deque<Message> messages;
	std::vector<Refused> refused;
	std::vector<apr_time_t> requests;
	std::vector<apr_time_t> repeats;
	apr_time_t now = TR_SEC(100);
	apr_time_t news_take = NEWS_TAKE;
	double refusing = 0;
	double lost = 0;
	/* How many of the VMs callers use, the first ones. */
	unsigned used;
	/* May any VM be silent to another? */
	bool any_silent = false;

	Fleet(unsigned n, double slack, uint64_t seed)
	    : bound{ 0.2, slack, TR_SEC(10), n, n }, random{ seed }, vms(n),
	      used(n)
	{
		for (unsigned i = 0; i < n; i++) {
			tr_allowance_init(&vms[i].allowance, i, 0, 0);
			vms[i].others.resize(n);
		}
	}

	bool runs(const Vm &vm) const
	{
		return now >= vm.down_until && now >= vm.stopped_until;
	}

	/* Kill the VM; its next life knows nothing. */
	void restart(unsigned i, apr_time_t takes = RESTART_TAKES)
	{
		Vm &vm = vms[i];
		unsigned life = vm.life + 1;
		unsigned side = vm.side;

		vm = Vm{};
		vm.others.resize(vms.size());
		vm.life = life;
		vm.side = side;
		vm.down_until = now + takes;
		tr_allowance_init(&vm.allowance, i, 0, vm.down_until);
	}

	void send(unsigned vm, unsigned tries)
	{
		if (tr_random_unit(&random) >= refusing)
			return;
		/* A target answers at once, or when the request's turn comes.
		 */
		refused.push_back(
			{ now + TR_MSEC(5) +
				  tr_random_below(&random,
						  (uint32_t)TR_MSEC(150)),
			  vm, vms[vm].life, tries });
	}

	/* What those that are silent may have sent since the VM heard them. */
	double unreported(const Vm &vm) const
	{
		double sum = 0;

		if (!any_silent)
			return 0;
		for (const Heard &h : vm.others)
			if (h.known && now - h.at > SILENT_AFTER)
				sum += tr_repeat_bucket_unreported(
					&h.bucket, &bound, h.at, now);
		return sum;
	}

	void repeat()
	{
		std::vector<Refused> due;

		for (size_t i = 0; i < refused.size();) {
			if (refused[i].at > now ||
			    vms[refused[i].vm].stopped_until > now) {
				i++;
				continue;
			}
			due.push_back(refused[i]);
			refused[i] = refused.back();
			refused.pop_back();
		}
		for (const Refused &r : due) {
			Vm &vm = vms[r.vm];

			if (r.tries >= TRIES_MOST || r.life != vm.life)
				continue;
			vm.allowance.unreported = unreported(vm);
			if (!tr_allowance_spend(&vm.allowance, &bound, now))
				continue;
			repeats.push_back(now);
			send(r.vm, r.tries + 1);
		}
	}

	/* What a VM counted before the other one listened is no news. */
	void hear(Vm &vm, const Message &m)
	{
		Heard &h = vm.others[m.from];
		bool restarted = h.known && m.life != h.life;

		if (m.life < h.life)
			return;
		if (h.known && !restarted &&
		    m.told.requests == h.totals.requests &&
		    m.told.repeats == h.totals.repeats) {
			h.at = now;
			return;
		}
		if (restarted) {
			tr_allowance_vm_restarted(&vm.allowance, &bound,
						  &h.bucket, h.at, now);
			h = Heard{ m.life, true, {}, {}, now };
		}
		if (h.known) {
			tr_allowance_reported(&vm.allowance, &bound, &h.totals,
					      &m.told, h.at, now);
			tr_repeat_bucket_reported(&h.bucket, &bound, &h.totals,
						  &m.told, now);
		}
		h = Heard{ m.life, true, m.told, h.bucket, now };
	}

	void tell()
	{
		while (!messages.empty() && messages.front().arrives <= now) {
			const Message m = messages.front();

			messages.pop_front();
			for (unsigned i = 0; i < vms.size(); i++)
				if (i != m.from && runs(vms[i]) &&
				    vms[i].side == m.side &&
				    tr_random_unit(&random) >= lost)
					hear(vms[i], m);
		}
		for (unsigned i = 0; i < vms.size(); i++) {
			Vm &vm = vms[i];

			if ((now / STEP + i) % (TELL_EVERY / STEP) || !runs(vm))
				continue;
			messages.push_back({ now + news_take, i, vm.life,
					     vm.side, vm.allowance.own });
		}
	}

	/* A VM that callers reach; any that runs while none of theirs does. */
	unsigned draw()
	{
		unsigned among = any_up(used) ? used : (unsigned)vms.size();
		unsigned vm;

		do
			vm = tr_random_below(&random, among);
		while (vms[vm].down_until > now);
		return vm;
	}

	bool any_up(size_t among) const
	{
		return std::any_of(
			vms.begin(), vms.begin() + (long)among,
			[&](const Vm &vm) { return vm.down_until <= now; });
	}

	/* Once any VM was down, stood still or was cut off, or messages were
	 * lost, some may be silent. */
	bool may_be_silent() const
	{
		return lost > 0 || news_take != NEWS_TAKE ||
		       std::any_of(vms.begin(), vms.end(), [&](const Vm &vm) {
			       return vm.life > 1 || vm.stopped_until ||
				      vm.side;
		       });
	}

	void play(apr_time_t length, double a_second)
	{
		apr_time_t end = now + length;
		double due = 0;

		any_silent |= may_be_silent();

		while (now < end) {
			now += STEP;
			tell();
			repeat();
			due += a_second * (double)STEP / 1e6;
			for (; due >= 1; due--) {
				requests.push_back(now);
				if (!any_up(vms.size()))
					continue;
				unsigned vm = draw();

				tr_allowance_request(&vms[vm].allowance, &bound,
						     now);
				send(vm, 1);
			}
		}
	}

	static double in(const std::vector<apr_time_t> &times, apr_time_t from,
			 apr_time_t length)
	{
		return (double)(std::lower_bound(times.begin(), times.end(),
						 from + length) -
				std::lower_bound(times.begin(), times.end(),
						 from));
	}

	/* The most that any window has, as a part of what operators allow it.
	 */
	double most_used() const
	{
		const apr_time_t w = bound.window;
		double most = 0;

		for (apr_time_t at = TR_SEC(100); at + w <= now;
		     at += TR_MSEC(50)) {
			double base = std::max({ in(requests, at, w),
						 in(requests, at - w / 2, w),
						 in(requests, at - w, w) });

			most = std::max(most, in(repeats, at, w) /
						      (bound.ratio * base +
						       bound.slack));
		}
		return most;
	}
};

/* Fleets of two sizes before services with many, some and few requests. */
struct Size {
	unsigned vms;
	double slack;
	double a_second;
};

const Size SIZES[] = { { 100, 174, 1000 }, { 44, 62, 75 }, { 44, 62, 8.67 } };

/* Play a fault that begins a second after targets begin to refuse, and expect
 * the bound to hold in any window. */
template <typename F> void expect_bound(const Size &size, F fault)
{
	for (double refusing : { 0.55, 0.9 }) {
		for (unsigned seed = 1; seed <= 4; seed++) {
			Fleet fleet(size.vms, size.slack, seed * 7919);

			fleet.play(TR_SEC(12), size.a_second);
			fleet.refusing = refusing;
			fleet.play(TR_SEC(1), size.a_second);
			fault(fleet);
			fleet.play(TR_SEC(13), size.a_second);
			EXPECT_LE(fleet.most_used(), 1.0)
				<< size.vms << " VMs, " << size.a_second
				<< " requests a second, " << refusing
				<< " refused, seed " << seed;
		}
	}
}

/* Guards against repeats that outrun the news of them when most targets turn
 * requests away at once. */
TEST(AllowanceLoad, TheBoundHoldsWhenAllTargetsRefuseAtOnce)
{
	for (double refusing : { 0.55, 0.95 }) {
		for (unsigned seed = 1; seed <= 4; seed++) {
			Fleet fleet(100, 174, seed * 7919);

			fleet.play(TR_SEC(8), 1000);
			fleet.refusing = refusing;
			fleet.play(TR_SEC(14), 1000);
			EXPECT_LE(fleet.most_used(), 1.0)
				<< refusing << " seed " << seed;
		}
	}
}

/* Guards against a bound that is mostly left unused while callers are refused.
 */
TEST(AllowanceLoad, MostOfTheBoundIsUsed)
{
	Fleet large(100, 174, 7919);
	Fleet small(44, 62, 7919);

	large.refusing = small.refusing = 0.55;
	large.play(TR_SEC(30), 1000);
	small.play(TR_SEC(30), 75);
	EXPECT_GE(large.most_used(), 0.85);
	EXPECT_GE(small.most_used(), 0.85);
}

/* Guards against VMs that take for unused what others spent and they have not
 * heard of yet. */
TEST(AllowanceLoad, TheBoundHoldsWhileNewsAreLate)
{
	for (const Size &size : SIZES)
		for (apr_time_t late : { TR_MSEC(300), TR_SEC(1), TR_SEC(2) })
			expect_bound(size, [&](Fleet &fleet) {
				fleet.news_take = late;
			});
}

/* Guards against the same where news were late all along. */
TEST(AllowanceLoad, TheBoundHoldsWhereNewsAreAlwaysLate)
{
	for (const Size &size : SIZES) {
		for (apr_time_t late : { TR_MSEC(600), TR_SEC(2) }) {
			Fleet fleet(size.vms, size.slack, 7919);

			fleet.news_take = late;
			fleet.play(TR_SEC(12), size.a_second);
			fleet.refusing = 0.95;
			fleet.play(TR_SEC(14), size.a_second);
			EXPECT_LE(fleet.most_used(), 1.0)
				<< size.vms << " VMs, " << size.a_second
				<< " requests a second, news after " << late;
		}
	}
}

/* Guards against messages between VMs that are lost for good. */
TEST(AllowanceLoad, TheBoundHoldsWhileMessagesAreLost)
{
	for (const Size &size : SIZES)
		for (double lost : { 0.3, 0.9, 1.0 })
			expect_bound(size,
				     [&](Fleet &fleet) { fleet.lost = lost; });
}

/* Guards against a fleet that is split and spends the whole bound on each side.
 */
TEST(AllowanceLoad, TheBoundHoldsWhileHalvesOfTheFleetAreCut)
{
	for (const Size &size : SIZES)
		expect_bound(size, [&](Fleet &fleet) {
			for (unsigned i = 0; i < size.vms; i += 2)
				fleet.vms[i].side = 1;
			fleet.play(TR_SEC(3), size.a_second);
			for (unsigned i = 0; i < size.vms; i += 2)
				fleet.vms[i].side = 0;
		});
}

/* Guards against processes that take the window before their start for unused.
 */
TEST(AllowanceLoad, TheBoundHoldsAsSomeVmsRestart)
{
	for (const Size &size : SIZES)
		for (unsigned every : { 10U, 3U, 2U })
			expect_bound(size, [&](Fleet &fleet) {
				for (unsigned i = 0; i < size.vms; i += every)
					fleet.restart(i);
			});
}

/* Guards against the same where no VM is left that knows the window. */
TEST(AllowanceLoad, TheBoundHoldsAsAllVmsRestart)
{
	for (const Size &size : SIZES)
		for (apr_time_t after : { TR_MSEC(0), TR_SEC(2), TR_SEC(5) })
			expect_bound(size, [&](Fleet &fleet) {
				fleet.play(after, size.a_second);
				for (unsigned i = 0; i < size.vms; i++)
					fleet.restart(i);
			});
}

/* Guards against the same in a rolling restart. */
TEST(AllowanceLoad, TheBoundHoldsAsVmsRestartInTurn)
{
	for (const Size &size : SIZES)
		for (unsigned at_once : { 1U, 3U })
			expect_bound(size, [&](Fleet &fleet) {
				for (unsigned i = 0; i < size.vms; i++) {
					fleet.restart(i);
					if (i % at_once == 0)
						fleet.play(TR_MSEC(200),
							   size.a_second);
				}
			});
}

/* Guards against VMs that stood still and take what they missed for unused. */
TEST(AllowanceLoad, TheBoundHoldsAsVmsStandStill)
{
	for (const Size &size : SIZES)
		expect_bound(size, [&](Fleet &fleet) {
			for (unsigned i = 0; i < size.vms; i += 3)
				fleet.vms[i].stopped_until =
					fleet.now + TR_SEC(3);
		});
}

/* Guards against VMs that are left with the callers of most others, and earn
 * once more what the lost ones have already sent. */
TEST(AllowanceLoad, TheBoundHoldsAsMostVmsAreLostForSeconds)
{
	for (const Size &size : SIZES) {
		for (unsigned kept : { 3U, 7U, 20U }) {
			for (unsigned seed = 1; seed <= 3; seed++) {
				Fleet fleet(size.vms, size.slack, seed * 7919);

				fleet.play(TR_MSEC(2700), size.a_second);
				fleet.refusing = 0.9;
				fleet.play(TR_SEC(5), size.a_second);
				for (unsigned i = 0; i < size.vms; i++)
					if (i % kept)
						fleet.restart(i, TR_SEC(6));
				fleet.play(TR_SEC(12), size.a_second);
				EXPECT_LE(fleet.most_used(), 1.0)
					<< size.vms << " VMs, " << size.a_second
					<< " requests a second, one in " << kept
					<< " kept, seed " << seed;
			}
		}
	}
}

/* Guards against the same where callers leave VMs that run on. */
TEST(AllowanceLoad, TheBoundHoldsAsCallersCrowdOnAQuarterOfTheVms)
{
	for (const Size &size : SIZES) {
		for (unsigned seed = 1; seed <= 4; seed++) {
			Fleet fleet(size.vms, size.slack, seed * 7919);

			fleet.play(TR_SEC(3), size.a_second);
			fleet.refusing = 0.9;
			fleet.play(TR_SEC(6), size.a_second);
			fleet.used = size.vms / 4;
			fleet.play(TR_SEC(12), size.a_second);
			EXPECT_LE(fleet.most_used(), 1.0)
				<< size.vms << " VMs, " << size.a_second
				<< " requests a second, seed " << seed;
		}
	}
}

/* Guards against VMs that take for unused what others sent in the moment before
 * they were lost, or behind a cut that they were lost in. */
TEST(AllowanceLoad, TheBoundHoldsAsVmsAreLostThatHaveNotToldAll)
{
	const Size sizes[] = { { 44, 62, 300 }, SIZES[0] };

	for (const Size &size : sizes) {
		for (bool cut : { false, true }) {
			for (unsigned seed = 1; seed <= 4; seed++) {
				Fleet fleet(size.vms, size.slack, seed * 7919);

				fleet.play(TR_SEC(9), size.a_second);
				fleet.refusing = 0.85;
				fleet.play(TR_SEC(1), size.a_second);
				for (unsigned i = 0; cut && i < size.vms; i++)
					fleet.vms[i].side = i % 6 != 0;
				if (cut)
					fleet.play(TR_SEC(3), size.a_second);
				for (unsigned i = 0; i < size.vms; i++)
					if (i % 6)
						fleet.restart(i, TR_SEC(5));
				fleet.play(TR_SEC(1), size.a_second);
				for (Vm &vm : fleet.vms)
					vm.side = 0;
				fleet.play(TR_SEC(11), size.a_second);
				EXPECT_LE(fleet.most_used(), 1.0)
					<< size.vms << " VMs, "
					<< (cut ? "cut, " : "") << "seed "
					<< seed;
			}
		}
	}
}

/* A change to the fleet or its load, at a time. */
struct Event {
	apr_time_t at;
	std::function<void(Fleet &)> happens;
};

/* Fleets for drawn faults. */
const Size DRAWN_SIZES[] = {
	{ 100, 174, 1000 }, { 44, 62, 75 }, { 44, 62, 93 },
	{ 44, 62, 8.67 },   { 32, 56, 60 }, { 44, 62, 300 }
};

/* A fleet and one to five faults near the time at which targets begin to
 * refuse; a seed always draws the same ones. */
class Drawn
{
      public:
	explicit Drawn(uint64_t seed)
	    : draws{ seed * 7919 },
	      size(DRAWN_SIZES[tr_random_below(&draws, 6)]),
	      fleet(size.vms, size.slack, seed), a_second(size.a_second)
	{
	}

	/* What the worst window has of the bound. */
	double play()
	{
		double refused = within(0.5, 0.97);
		double begins = within(0.5, 14);
		unsigned n = 1 + tr_random_below(&draws, 5);

		add(begins, [=](Fleet &f) { f.refusing = refused; });
		for (unsigned i = 0; i < n; i++)
			add_fault(std::max(0.1, begins + within(-1, 9)));
		std::stable_sort(events.begin(), events.end(),
				 [](const Event &a, const Event &b) {
					 return a.at < b.at;
				 });
		add(begins + 18, [](Fleet &) {});
		for (const Event &e : events) {
			if (e.at > fleet.now)
				fleet.play(e.at - fleet.now, a_second);
			e.happens(fleet);
		}
		return fleet.most_used();
	}

      private:
	tr_random draws;
	const Size &size;
	Fleet fleet;
	double a_second;
	std::vector<Event> events;

	double within(double least, double most)
	{
		return least + (most - least) * tr_random_unit(&draws);
	}

	void add(double at_s, std::function<void(Fleet &)> happens)
	{
		events.push_back({ TR_SEC(100) + (apr_time_t)(at_s * 1e6),
				   std::move(happens) });
	}

	/* Let it happen to a part of the VMs. */
	static void each(Fleet &f, double share,
			 const std::function<void(unsigned)> &happens)
	{
		for (unsigned i = 0; i < f.vms.size(); i++)
			if (tr_random_unit(&f.random) < share)
				happens(i);
	}

	void add_fault(double at)
	{
		double share = within(0.1, 0.95);
		double for_s = within(0.5, 8);
		auto lasts = (apr_time_t)(for_s * 1e6);

		switch (tr_random_below(&draws, 8)) {
		case 0:
		case 1:
		case 2:
			add(at, [=](Fleet &f) {
				each(f, share,
				     [&](unsigned i) { f.restart(i, lasts); });
			});
			break;
		case 3:
			add(at, [=](Fleet &f) {
				for (unsigned i = 0; i < f.vms.size(); i++)
					f.vms[i].side =
						i <
						share * (double)f.vms.size();
			});
			add(at + for_s, [](Fleet &f) {
				for (Vm &vm : f.vms)
					vm.side = 0;
			});
			break;
		case 4:
			if (tr_random_unit(&draws) < 0.5) {
				add(at, [=](Fleet &f) { f.lost = share; });
				add(at + for_s, [](Fleet &f) { f.lost = 0; });
				break;
			}
			add(at, [=](Fleet &f) {
				f.news_take = (apr_time_t)(share * 2e6);
			});
			break;
		case 5:
			add(at, [=](Fleet &f) {
				each(f, share, [&](unsigned i) {
					f.vms[i].stopped_until = f.now + lasts;
				});
			});
			break;
		case 6: {
			double times = within(1.5, 4);

			add(at, [this, times](Fleet &) {
				a_second = size.a_second * times;
			});
			add(at + for_s,
			    [this](Fleet &) { a_second = size.a_second; });
			break;
		}
		default:
			add(at, [](Fleet &f) {
				f.used = (unsigned)f.vms.size() / 4;
			});
			add(at + for_s,
			    [](Fleet &f) { f.used = (unsigned)f.vms.size(); });
		}
	}
};

/* Guards against faults that each keep the bound and together don't: VMs are
 * lost, cut off or stand still, messages are late or lost, callers crowd or
 * come in a burst. */
TEST(AllowanceLoad, TheBoundHoldsUnderSeveralFaultsAtOnce)
{
	for (unsigned seed = 101; seed <= 200; seed++)
		EXPECT_LE(Drawn(seed).play(), 1.0) << "seed " << seed;
}

/* Guards against VMs that are lost behind a cut, with all that they sent in it.
 */
TEST(AllowanceLoad, TheBoundHoldsAsVmsAreLostBehindACut)
{
	for (unsigned seed : { 34U, 847U, 2521U, 2816U })
		EXPECT_LE(Drawn(seed).play(), 1.0) << "seed " << seed;
}

/* Guards against callers that move while messages are late or lost. */
TEST(AllowanceLoad, TheBoundHoldsAsCallersMoveWhileMessagesAreLost)
{
	for (unsigned seed : { 34U, 1598U })
		EXPECT_LE(Drawn(seed).play(), 1.0) << "seed " << seed;
}

} // namespace
