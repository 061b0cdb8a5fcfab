#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "clock.h"
#include "proof.h"
}

namespace
{

const apr_time_t BOUND = TR_SEC(5);

struct Proof : testing::Test {
	tr_membership m{};
	tr_proof p{};
	tr_random random{ 7 };
	apr_time_t now = TR_SEC(100);

	void SetUp() override
	{
		tr_membership_init(&m, 1, 11, "dc-1");
	}

	void TearDown() override
	{
		tr_membership_release(&m);
	}

	void receive(uint32_t ip, const char *centre, apr_time_t proof_age)
	{
		static uint64_t sequence;
		tr_node_status news{};
		bool restarted;

		news.ip = ip;
		news.boot = 5;
		news.sequence = ++sequence;
		news.data_centre = centre;
		news.ready = true;
		news.proof_age = proof_age;
		tr_membership_receive(&m, &news, now, &restarted);
	}

	const tr_node *start_query()
	{
		return tr_proof_query(&p, &m, BOUND, &random, now);
	}
};

TEST_F(Proof, DoesNotHoldInitially)
{
	EXPECT_FALSE(tr_proof_holds(&p, BOUND, now));
	EXPECT_EQ(start_query(), nullptr);
}

TEST_F(Proof, ExpiresBeforeTheBound)
{
	tr_proof_renew(&p, now);
	EXPECT_TRUE(tr_proof_holds(&p, BOUND, now + TR_MSEC(4700)));
	EXPECT_FALSE(tr_proof_holds(&p, BOUND, now + TR_MSEC(4900)));
}

TEST_F(Proof, ARenewalNeverMakesItOlder)
{
	tr_proof_renew(&p, now);
	tr_proof_renew(&p, now - TR_SEC(2));
	EXPECT_EQ(tr_proof_age(&p, now), 0);
}

TEST_F(Proof, AVmInTheOwnDataCentreIsPreferred)
{
	receive(2, "dc-2", 0);
	receive(3, "dc-1", TR_MSEC(300));
	ASSERT_NE(start_query(), nullptr);
	EXPECT_EQ(p.queried_ip, 3u);
}

TEST_F(Proof, AVmWithAHardlyNewerProofIsNotQueried)
{
	tr_proof_renew(&p, now - TR_SEC(2));
	receive(2, "dc-1", TR_MSEC(1900));
	EXPECT_EQ(start_query(), nullptr);
	receive(3, "dc-1", TR_MSEC(200));
	ASSERT_NE(start_query(), nullptr);
	EXPECT_EQ(p.queried_ip, 3u);
}

/* The reply may be lost: another VM is queried. */
TEST_F(Proof, AQueryWithoutReplyGoesToAnotherVm)
{
	receive(2, "dc-1", 0);
	receive(3, "dc-1", 0);
	ASSERT_NE(start_query(), nullptr);
	uint32_t first = p.queried_ip;

	EXPECT_EQ(start_query(), nullptr);
	now += TR_MSEC(120);
	ASSERT_NE(start_query(), nullptr);
	EXPECT_NE(p.queried_ip, first);
}

/*
 * Guards against a revoked key that is accepted for longer than operators
 * allow. The process is suspended with a reply in its socket and resumes
 * seconds later; the age in the reply was taken for the age now.
 */
TEST_F(Proof, ADelayedReplyGivesAnOlderProof)
{
	receive(2, "dc-1", 0);
	ASSERT_NE(start_query(), nullptr);
	uint64_t question = p.question;

	now += TR_SEC(4);
	tr_proof_reply(&p, question, TR_MSEC(500));
	EXPECT_EQ(tr_proof_age(&p, now), TR_MSEC(4500));
}

TEST_F(Proof, AReplyWithoutAQueryIsIgnored)
{
	receive(2, "dc-1", 0);
	ASSERT_NE(start_query(), nullptr);
	tr_proof_reply(&p, p.question + 2, 0);
	tr_proof_reply(&p, 0, 0);
	EXPECT_FALSE(tr_proof_holds(&p, BOUND, now));
}

/*
 * A fleet in which some VMs read a store and the others query them or each
 * other. Messages take up to three seconds, some are lost, VMs are suspended
 * for seconds, and the store is unavailable at times. Configurations are
 * accepted throughout.
 */
struct Simulation {
	struct Message {
		apr_time_t at;
		unsigned to, from;
		uint64_t question, answers;
		uint64_t revision;
		apr_time_t age;
		bool has_age;
	};
	struct Vm {
		tr_proof proof{};
		uint64_t revision = 0;
		apr_time_t stopped_until = 0;
		apr_time_t query_sent_at = -1;
		std::deque<Message> in;
	};

	std::mt19937 gen;
	std::vector<Vm> vms;
	std::vector<Message> in_transit;
	std::vector<apr_time_t> accepted{ 0 };
	apr_time_t now = TR_SEC(10);
	bool accepts_one_way;
	unsigned proven = 0, broken = 0;

	Simulation(unsigned seed, bool one_way)
	    : gen(seed), vms(12), accepts_one_way(one_way)
	{
	}

	unsigned below(unsigned n)
	{
		return (unsigned)(gen() % n);
	}

	/* The index of the newest configuration at a time. */
	uint64_t newest_at(apr_time_t at) const
	{
		uint64_t n = 0;

		while (n + 1 < accepted.size() && accepted[n + 1] <= at)
			n++;
		return n;
	}

	void send(unsigned from, unsigned to, uint64_t question,
		  uint64_t answers)
	{
		const Vm &vm = vms[from];
		apr_time_t takes = below(20) ? TR_MSEC(1 + below(20))
					     : TR_MSEC(below(3000));

		if (below(10))
			in_transit.push_back({ now + takes, to, from, question,
					       answers, vm.revision,
					       tr_proof_age(&vm.proof, now),
					       vm.proof.at != 0 });
	}

	void handle(unsigned i, const Message &msg)
	{
		Vm &vm = vms[i];

		/*
		 * A newer configuration comes with the message, as if it had
		 * been fetched.
		 */
		if (msg.revision > vm.revision && below(2))
			vm.revision = msg.revision;
		if (msg.question)
			send(i, msg.from, 0, msg.question);
		if (!msg.has_age || msg.revision > vm.revision)
			return;
		if (msg.answers)
			tr_proof_reply(&vm.proof, msg.answers, msg.age);
		else if (accepts_one_way)
			tr_proof_renew(&vm.proof, now - msg.age);
	}

	void read_store(unsigned i)
	{
		Vm &vm = vms[i];

		if (vm.query_sent_at >= 0) {
			if (below(4)) {
				vm.revision = std::max(
					vm.revision,
					newest_at(now - TR_MSEC(below(3))));
				tr_proof_renew(&vm.proof,
					       std::min(vm.query_sent_at,
							now - TR_MSEC(3)));
			}
			vm.query_sent_at = -1;
		} else if (!below(20)) {
			vm.query_sent_at = now;
		}
	}

	void start_query(unsigned i)
	{
		Vm &vm = vms[i];

		if (vm.proof.question &&
		    now - vm.proof.query_sent_at < TR_MSEC(100))
			return;
		vm.proof.question = gen() | 1ULL;
		vm.proof.query_sent_at = now;
		send(i, below((unsigned)vms.size()), vm.proof.question, 0);
	}

	/* Compares what the VM has proven with what was accepted. */
	void check(const Vm &vm)
	{
		if (!tr_proof_holds(&vm.proof, BOUND, now))
			return;
		proven++;
		broken += newest_at(now - BOUND) > vm.revision;
	}

	void step()
	{
		bool store_away = now % TR_SEC(20) > TR_SEC(12);

		now += TR_MSEC(5);
		if (!below(400))
			accepted.push_back(now);
		for (size_t k = 0; k < in_transit.size(); k++) {
			if (in_transit[k].at > now)
				continue;
			vms[in_transit[k].to].in.push_back(in_transit[k]);
			in_transit[k--] = in_transit.back();
			in_transit.pop_back();
		}
		for (unsigned i = 0; i < vms.size(); i++) {
			Vm &vm = vms[i];

			if (vm.stopped_until > now)
				continue;
			if (!below(4000))
				vm.stopped_until = now + TR_MSEC(below(8000));
			/*
			 * A request that is handled first after a suspension is
			 * decided by the VM's state before it.
			 */
			check(vm);
			while (!vm.in.empty()) {
				handle(i, vm.in.front());
				vm.in.pop_front();
			}
			check(vm);
			if (i < 2 && !store_away)
				read_store(i);
			else if (i >= 2)
				start_query(i);
			if (!below(50))
				send(i, below((unsigned)vms.size()), 0, 0);
		}
	}
};

TEST(ProofProperty, NoProofHoldsLongerThanTheBound)
{
	for (unsigned seed = 1; seed <= 12; seed++) {
		Simulation w(seed, false);

		for (int i = 0; i < 12000; i++)
			w.step();
		EXPECT_EQ(w.broken, 0u) << seed;
		EXPECT_GT(w.proven, 12000u * 12 / 2) << seed;
	}
}

/*
 * The same with ages accepted from one-way messages: the check must detect it.
 */
TEST(ProofProperty, AgesFromOneWayMessagesViolateTheBound)
{
	unsigned broken = 0;

	for (unsigned seed = 1; seed <= 12; seed++) {
		Simulation w(seed, true);

		for (int i = 0; i < 12000; i++)
			w.step();
		broken += w.broken;
	}
	EXPECT_GT(broken, 0u);
}

} // namespace
