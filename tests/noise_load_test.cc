/*
 * Targets that stall now and then and fail a few requests, under the load of
 * one cell on a virtual clock: none is sick, so none may be ejected.
 */
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <random>

#include "fake.h"

namespace
{

constexpr apr_time_t TICK = TR_MSEC(10), TIME_STEP = TR_MSEC(50);
constexpr apr_time_t STALL_TIME = TR_MSEC(500), DEADLINE = TR_MSEC(250);
constexpr unsigned TARGETS = 10;

struct Noise {
	unsigned seed = 1;
	double requests_a_s = 1200;
	double stall_gap_s = 8;
	double fail_share = 0.01;
	/* How often a VM gets no CPU, and for how long on average. */
	double vm_stalls_a_s = 0;
	apr_time_t vm_stall = TR_MSEC(150);
	/*
	 * A VM that resumes checks the age of its attempts before it reads
	 * answers.
	 */
	bool checks_age_first = false;
};

struct Attempt {
	unsigned vm, target;
	apr_time_t began, ends;
	bool fails, counted;
};

class NoisyCell
{
      public:
	explicit NoisyCell(const Noise &n) : noise(n), random(n.seed)
	{
		cell.doc.doc.ejection.false_per_day = 0.01;
		cell.doc.doc.ejection.detect_ms = 2000;
		cell.doc.doc.deadline_ms = 250;
		stalled_until.assign(TARGETS, 0);
		stalls_at.assign(TARGETS, 0);
		busy_until.assign(cell.vms.size(), 0);
		for (apr_time_t &at : stalls_at)
			at = cell.clock.now + gap(noise.stall_gap_s);
		cell.run(settle);
	}

	/*
	 * Returns how many targets were ejected that every VM had in use
	 * before.
	 */
	unsigned simulate(apr_time_t span)
	{
		unsigned ejected = 0;

		for (apr_time_t t = 0; t < span; t += TIME_STEP) {
			unsigned before = cell.out_anywhere();
			unsigned after;

			for (apr_time_t u = 0; u < TIME_STEP; u += TICK) {
				cell.clock.now += TICK;
				tick();
			}
			cell.clock.now -= TIME_STEP;
			cell.step();
			after = cell.out_anywhere();
			ejected += after > before ? after - before : 0;
		}
		return ejected;
	}

	FakeCell cell{ TARGETS, 6 };

      private:
	const apr_time_t settle = TR_VOTE_TTL + TR_ORDER_TTL + TR_SEC(3);

	double unit()
	{
		return std::uniform_real_distribution<>(0, 1)(random);
	}

	apr_time_t gap(double mean_s)
	{
		return (apr_time_t)(-log(1 - unit()) * mean_s * 1e6);
	}

	void tick()
	{
		apr_time_t now = cell.clock.now;

		for (unsigned i = 0; i < TARGETS; i++)
			if (now >= stalls_at[i]) {
				stalled_until[i] = now + STALL_TIME;
				stalls_at[i] = now + STALL_TIME +
					       gap(noise.stall_gap_s);
			}
		for (unsigned v = 0; v < cell.vms.size(); v++)
			tick_vm(v, now);
	}

	void tick_vm(unsigned v, apr_time_t now)
	{
		if (busy_until[v] > now)
			return;
		if (cell.paused[v])
			cell.wake(v);
		if (noise.checks_age_first)
			check_overdue(v, now);
		read(v, now);
		check_overdue(v, now);
		send(v, now);
		if (unit() >= noise.vm_stalls_a_s * (double)TICK / 1e6)
			return;
		busy_until[v] = now + gap((double)noise.vm_stall / 1e6);
		cell.paused[v] = true;
	}

	void check_overdue(unsigned v, apr_time_t now)
	{
		FakeVm &vm = *cell.vms[v];

		for (Attempt &a : attempts)
			if (a.vm == v && !a.counted)
				a.counted = tr_attempt_overdue(
					vm.board.get(), vm.svc,
					vm.target(a.target), 0, a.began, now);
	}

	void read(unsigned v, apr_time_t now)
	{
		FakeVm &vm = *cell.vms[v];

		for (size_t i = 0; i < attempts.size();) {
			Attempt &a = attempts[i];
			apr_time_t ends =
				std::max(a.ends, stalled_until[a.target]);
			bool late = now - a.began >= DEADLINE;

			if (a.vm != v || (ends > now && !late)) {
				i++;
				continue;
			}
			tr_attempt_end(vm.board.get(), vm.svc,
				       vm.target(a.target), 0,
				       ends > now ? TR_ATTEMPT_TIMED_OUT
				       : a.fails  ? TR_ATTEMPT_FAILED_STATUS
						  : TR_ATTEMPT_ANSWERED,
				       a.began, a.counted, now);
			a = attempts.back();
			attempts.pop_back();
		}
	}

	void send(unsigned v, apr_time_t now)
	{
		FakeVm &vm = *cell.vms[v];
		double mean = noise.requests_a_s / (double)cell.vms.size() *
			      (double)TICK / 1e6;
		unsigned n = std::poisson_distribution<unsigned>(mean)(random);

		while (n--) {
			tr_pick_kind kind;
			tr_target *t = tr_service_pick(vm.board.get(), vm.svc,
						       true, nullptr, &kind);

			if (!t)
				continue;
			tr_attempt_begin(vm.svc, t, kind, now);
			attempts.push_back({ v, (unsigned)(t - vm.svc->targets),
					     now, now + TR_MSEC(4) + gap(0.008),
					     unit() < noise.fail_share,
					     false });
		}
	}

	Noise noise;
	std::mt19937 random;
	std::vector<Attempt> attempts;
	std::vector<apr_time_t> stalled_until, stalls_at, busy_until;
};

unsigned ejected_in(Noise noise, unsigned seeds, apr_time_t span)
{
	unsigned ejected = 0;

	for (noise.seed = 1; noise.seed <= seeds; noise.seed++) {
		unsigned n = NoisyCell(noise).simulate(span);

		if (n)
			printf("seed %u: %u ejected\n", noise.seed, n);
		ejected += n;
	}
	return ejected;
}

/*
 * Guards against ejecting a target that is not sick: it stalls for half a
 * second and is avoided; one to three seconds later it stalls again, or fails
 * one request. Happens if the evidence of the first stall still stands, since
 * an avoided target gets one request a second, and the check "accused for 0.8
 * s, and failed again" does not ask whether it answered in between. A trace of
 * all 18 such ejections showed this pair each time; there was none once every
 * request had to fail throughout and the target was probed more often.
 */
TEST(NoiseLoad, NoTargetIsEjectedForStalls)
{
	EXPECT_EQ(ejected_in({}, 40, TR_SEC(56)), 0u);
}

/* The same, while each VM gets no CPU for 150 ms about once a second. */
TEST(NoiseLoad, NoTargetIsEjectedWhileVmsStall)
{
	Noise noise;

	noise.vm_stalls_a_s = 1;
	EXPECT_EQ(ejected_in(noise, 40, TR_SEC(56)), 0u);
}

/*
 * The same, with VMs that check the age of attempts before they read answers.
 */
TEST(NoiseLoad, NoTargetIsEjectedIfAgesAreCheckedBeforeAnswers)
{
	Noise noise;

	noise.vm_stalls_a_s = 1;
	noise.checks_age_first = true;
	EXPECT_EQ(ejected_in(noise, 40, TR_SEC(56)), 0u);
}

} // namespace
