/*
 * A limit that a target sets, for whole fleets on a virtual clock. VMs report
 * what they sent by messages of which some are lost, with partitions and
 * restarts, while callers send far more than the target accepts.
 */
#include <algorithm>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "clock.h"
#include "send_limit.h"
}

namespace
{

constexpr apr_time_t TIME_STEP = TR_MSEC(5);
/* How the daemon paces its reports, and the delivery time of a message. */
constexpr apr_time_t MIN_INTERVAL = TR_MSEC(40), GAP_PER_VM = TR_MSEC(1),
		     PERIOD = TR_MSEC(650), DELIVERY_TIME = TR_MSEC(5);
/*
 * The operators' window, the start of their measurement, and what they allow.
 */
constexpr apr_time_t WINDOW = TR_SEC(4), STABLE = TR_SEC(3);
constexpr double OVER = 1.5, SLACK = 5;

struct Load {
	unsigned vms = 44;
	/* Requests a second for the target, and its limit. */
	double demand = 75;
	double limit = 1;
	double loss = 0.03;
	/* Number of VMs that are cut off from the others from 10 to 15 s. */
	unsigned cut = 0;
	/* One VM restarts each second. */
	bool restarts = false;
	/* Three times the requests from 8 to 12 s. */
	bool burst = false;
	unsigned seed = 1;
};

struct Vm {
	tr_send_limits limits{};
	uint32_t row_index = 0;
	std::vector<uint16_t> received;
	apr_time_t reported_at = 0;
	bool cut = false;
};

struct Message {
	apr_time_t at;
	unsigned from;
	unsigned to;
	uint16_t sent;
};

class Fleet
{
      public:
	explicit Fleet(const Load &l) : load(l), random(l.seed), vms(l.vms)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			begin(i);
	}

	~Fleet()
	{
		for (Vm &vm : vms)
			tr_send_limits_release(&vm.limits);
	}

	void play(apr_time_t span)
	{
		for (apr_time_t end = now + span; now < end; now += TIME_STEP) {
			apr_time_t t = now - start;
			bool burst =
				load.burst && t > TR_SEC(8) && t < TR_SEC(12);
			double rate = load.demand * (burst ? 3 : 1);

			set_cut(t);
			if (load.restarts && t % TR_SEC(1) == 0)
				begin((unsigned)(t / TR_SEC(1)) %
				      (unsigned)vms.size());
			deliver();
			for (int n = poisson(rate * (double)TIME_STEP / 1e6); n;
			     n--)
				send_request(below((unsigned)vms.size()), rate);
			send_due_reports();
		}
	}

	/*
	 * The most requests sent in any window after the start of the
	 * measurement.
	 */
	unsigned max_sent() const
	{
		std::deque<apr_time_t> in;
		size_t n = 0;

		for (apr_time_t at : sent) {
			if (at < start + STABLE)
				continue;
			in.push_back(at);
			while (at - in.front() > WINDOW)
				in.pop_front();
			n = std::max(n, in.size());
		}
		return (unsigned)n;
	}

	double allowed() const
	{
		return OVER * load.limit * 4 + SLACK;
	}

	/* The share of the limit that is used. */
	double used() const
	{
		auto first = std::lower_bound(sent.begin(), sent.end(),
					      start + STABLE);

		return (double)(sent.end() - first) /
		       (load.limit * (double)(now - start - STABLE) / 1e6);
	}

      private:
	/*
	 * State of a VM that has just started and received a report of the
	 * limit.
	 */
	void begin(unsigned i)
	{
		Vm &vm = vms[i];

		tr_send_limits_release(&vm.limits);
		vm.row_index = tr_send_limits_add(&vm.limits, 7);
		tr_send_limit_set(&vm.limits, vm.row_index, load.limit, now,
				  now);
		vm.received.assign(vms.size(), 0);
		for (Vm &other : vms)
			if (other.received.size() > i)
				other.received[i] = 0;
	}

	void set_cut(apr_time_t t)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			vms[i].cut = i < load.cut && t > TR_SEC(10) &&
				     t < TR_SEC(15);
		noticed = load.cut && t > TR_SEC(10) + TR_MSEC(200) &&
			  t < TR_SEC(15);
	}

	/*
	 * The share of the fleet that the VM receives reports from. A partition
	 * is noticed when VMs have been silent for several of their usual gaps.
	 */
	double heard_share(const Vm &vm) const
	{
		double part = (double)load.cut / (double)vms.size();

		if (!noticed)
			return 1;
		return vm.cut ? 1.0 / (double)vms.size() : 1 - part;
	}

	void send_request(unsigned i, double demand)
	{
		Vm &vm = vms[i];
		tr_send_limit *l = &vm.limits.rows[vm.row_index];
		double tokens = tr_send_limit_tokens(l, heard_share(vm), now);

		if (tokens < 1 || !tr_send_limits_admit(tokens, demand, unit()))
			return;
		tr_send_limit_reserve(l, heard_share(vm), now);
		tr_send_limit_sent(l);
		sent.push_back(now);
	}

	void send_due_reports()
	{
		apr_time_t gap = std::max<apr_time_t>(
			MIN_INTERVAL, GAP_PER_VM * (apr_time_t)vms.size());

		for (unsigned i = 0; i < vms.size(); i++) {
			Vm &vm = vms[i];
			tr_send_limit *l = &vm.limits.rows[vm.row_index];

			if (now - vm.reported_at < (l->changed ? gap : PERIOD))
				continue;
			l->changed = false;
			vm.reported_at = now;
			for (unsigned to = 0; to < vms.size(); to++)
				if (to != i && !vm.cut && !vms[to].cut &&
				    unit() >= load.loss)
					inbox.push_back({ now + DELIVERY_TIME,
							  i, to, l->sent });
		}
	}

	void deliver()
	{
		while (!inbox.empty() && inbox.front().at <= now) {
			const Message m = inbox.front();
			Vm &vm = vms[m.to];

			inbox.pop_front();
			tr_send_limit_reported(
				&vm.limits.rows[vm.row_index],
				(uint16_t)(m.sent - vm.received[m.from]),
				heard_share(vm), now);
			vm.received[m.from] = m.sent;
		}
	}

	int poisson(double mean)
	{
		return std::poisson_distribution<int>(mean)(random);
	}

	double unit()
	{
		return std::uniform_real_distribution<>(0, 1)(random);
	}

	unsigned below(unsigned n)
	{
		return std::uniform_int_distribution<unsigned>(0,
							       n - 1)(random);
	}

	const Load load;
	std::mt19937_64 random;
	std::vector<Vm> vms;
	std::deque<Message> inbox;
	std::vector<apr_time_t> sent;
	bool noticed = false;
	const apr_time_t start = TR_SEC(1000);
	apr_time_t now = TR_SEC(1000);
};

void expect_limit_held(const Load &load, unsigned seeds,
		       apr_time_t span = TR_SEC(30))
{
	double used = 0;
	unsigned max_sent = 0;

	for (unsigned seed = 1; seed <= seeds; seed++) {
		Load l = load;
		l.seed = seed;
		Fleet fleet(l);

		fleet.play(span);
		EXPECT_LE(fleet.max_sent(), fleet.allowed())
			<< "seed " << seed << " limit " << load.limit << " VMs "
			<< load.vms;
		max_sent = std::max(max_sent, fleet.max_sent());
		used += fleet.used() / seeds;
	}
	printf("vms=%u wanted=%g limit=%g loss=%g: most %u of %g, used %.2f\n",
	       load.vms, load.demand, load.limit, load.loss, max_sent,
	       OVER * load.limit * 4 + SLACK, used);
}

/* Guards against VMs that all use the same token of a target. */
TEST(SendLimitLoad, AFleetKeepsALimitFarBelowOneRequestPerVm)
{
	for (unsigned vms : { 4, 44, 100 })
		for (double demand : { 5., 75., 600. })
			for (double limit : { 0.3, 1., 3., 20. }) {
				Load l;

				l.vms = vms;
				l.demand = demand;
				l.limit = limit;
				expect_limit_held(l, 5);
			}
}

TEST(SendLimitLoad, TheLimitIsKeptWhileMessagesAreLost)
{
	Load l;

	l.loss = 0.2;
	expect_limit_held(l, 40);
}

TEST(SendLimitLoad, TheLimitIsKeptWhileAPartOfTheFleetIsCutOff)
{
	Load l;

	for (unsigned cut : { 1, 15, 22, 43 }) {
		l.cut = cut;
		expect_limit_held(l, 20);
	}
}

TEST(SendLimitLoad, TheLimitIsKeptWhileVmsRestart)
{
	Load l;

	l.restarts = true;
	expect_limit_held(l, 20);
}

TEST(SendLimitLoad, TheLimitIsKeptInABurst)
{
	Load l;

	l.burst = true;
	expect_limit_held(l, 20);
	l.demand = 600;
	expect_limit_held(l, 10);
}

} // namespace
