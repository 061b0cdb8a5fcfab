/*
 * Simulates a service under load with a virtual clock, to test the placement
 * decisions alone: which requests callers lose, and whether the share of
 * healthy targets in use meets the operators' floor.
 */
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "place.h"
}

namespace
{

const apr_time_t TIME_STEP = TR_MSEC(5);
const apr_time_t WINDOW = TR_SEC(2);
const apr_time_t HANGS_FOR = TR_SEC(2);

struct Target {
	bool gray = false;
	apr_time_t next_change_at = 0;
	apr_time_t gray_until = 0;
	std::vector<apr_time_t> arrivals;
	std::vector<apr_time_t> losses;
};

struct Request {
	uint32_t row;
	apr_time_t sent_at;
	apr_time_t ends_at;
	bool hangs;
	bool reported;
};

/*
 * Three in ten targets are gray at any time, for 8 s on average, and hang three
 * in four requests. A request that must run once is lost if it hangs. VMs share
 * their observations without delay.
 */
struct Service {
	tr_roster roster{};
	tr_random random{ 5 };
	apr_time_t now = TR_SEC(100);
	std::vector<Target> targets;
	std::vector<Request> pending;
	double rate = 0;
	/* VMs also learn when a request that hangs has ended. */
	bool reports_ends = false;
	unsigned requests = 0;
	unsigned lost_requests = 0;
	unsigned healthy = 0;
	unsigned used = 0;
	unsigned windows = 0;
	unsigned short_windows = 0;
	unsigned end_checks = 0;
	unsigned short_end_checks = 0;
	unsigned failing_windows = 0;
	unsigned short_failing_windows = 0;

	explicit Service(unsigned n, unsigned remote = 0, uint64_t seed = 5)
	{
		random.state = seed;
		tr_roster_service(&roster, "svc");
		for (unsigned i = 0; i < n + remote; i++) {
			add_target(i, now - TR_SEC(60));
			roster.rows[i].used_at = now;
			if (i < n)
				continue;
			/* A target of another group, which keeps it full. */
			roster.rows[i].remote = true;
			roster.rows[i].full_until = APR_INT64_MAX;
		}
		targets.resize(n);
		for (Target &t : targets) {
			t.gray = tr_random_unit(&random) < 0.3;
			t.next_change_at = now + draw_spell_length(t.gray);
		}
	}

	~Service()
	{
		tr_roster_release(&roster);
	}

	void add_target(unsigned i, apr_time_t at)
	{
		tr_target_record r{};

		snprintf(r.id, sizeof(r.id), "t%u", i);
		snprintf(r.service, sizeof(r.service), "svc");
		snprintf(r.address, sizeof(r.address), "10.0.0.1:80");
		snprintf(r.data_centre, sizeof(r.data_centre), "dc");
		r.slots = 3;
		r.revision = 1;
		tr_roster_apply(&roster, &r, at);
	}

	/* Adds targets that have just started, without evidence. */
	void add_new_targets(unsigned n)
	{
		for (unsigned i = 0; i < n; i++)
			add_target((unsigned)targets.size() + i, now);
		targets.resize(targets.size() + n);
		for (size_t i = targets.size() - n; i < targets.size(); i++)
			targets[i].next_change_at =
				now + draw_spell_length(false);
	}

	apr_time_t draw_spell_length(bool gray)
	{
		double mean = gray ? 8e6 : 18.7e6;

		return (apr_time_t)(-mean *
				    std::log(1 - tr_random_unit(&random)));
	}

	void change_states()
	{
		for (Target &t : targets) {
			if (t.gray)
				t.gray_until = now;
			if (now < t.next_change_at)
				continue;
			t.gray = !t.gray;
			t.next_change_at = now + draw_spell_length(t.gray);
		}
	}

	void send()
	{
		tr_service_stats *svc = &roster.services[0];
		tr_placement p;
		tr_place_request req{};

		req.expected_work = TR_MSEC(250);
		req.spread = 0.7;
		req.failure_age = TR_MSEC(700);
		req.aim_left = TR_MSEC(1200);
		req.time_left = HANGS_FOR;
		req.data_centre = "dc";
		req.floor_share = 0.7;
		req.request_rate = rate;
		requests++;
		if (tr_place(&roster, &req, &random, now, &p) !=
		    TR_PLACE_FOUND) {
			lost_requests++;
			return;
		}
		tr_service_stats_track_queue(svc, p.shortest_time, req.aim_left,
					     now);
		tr_instance *row = &roster.rows[p.row];
		Target &t = targets[p.row];
		bool hangs = t.gray && tr_random_unit(&random) < 0.75;

		row->in_flight++;
		row->used_at = now;
		t.arrivals.push_back(now);
		if (hangs)
			t.losses.push_back(now);
		lost_requests += hangs;
		pending.push_back({ p.row, now,
				    now + (hangs ? HANGS_FOR : TR_MSEC(250)),
				    hangs, false });
	}

	void advance_requests()
	{
		for (Request &r : pending) {
			tr_instance *row = &roster.rows[r.row];

			if (r.hangs && !r.reported &&
			    now - r.sent_at >= TR_MSEC(700)) {
				r.reported = true;
				tr_roster_add_outcome(&roster, row,
						      TR_SYMPTOM_FAILED, 1,
						      now);
			}
			if (now < r.ends_at)
				continue;
			row->in_flight--;
			if (r.hangs && reports_ends)
				tr_roster_end_hang(row, now);
			if (!r.hangs)
				tr_roster_add_outcome(&roster, row,
						      TR_SYMPTOM_ANSWERED, 1,
						      now);
		}
		pending.erase(std::remove_if(pending.begin(), pending.end(),
					     [&](const Request &r) {
						     return now >= r.ends_at;
					     }),
			      pending.end());
	}

	/* Checks the floor as operators do: they count the targets that are
	 * healthy and not disturbed. counted is the share that is not
	 * disturbed, which nobody reports. */
	void check_window(double counted)
	{
		healthy = 0;
		used = 0;
		for (Target &t : targets) {
			bool disturbed = tr_random_unit(&random) > counted;

			if (t.gray || now - t.gray_until < 2 * WINDOW ||
			    disturbed)
				continue;
			healthy++;
			used += !t.arrivals.empty() &&
				now - t.arrivals.back() < WINDOW;
		}
		windows++;
		short_windows += used < 0.7 * healthy;
	}

	/* Checks the floor as if all VMs ended now: operators count the targets
	 * without a request in flight, since requests in flight fail there. */
	void check_all_vms_end()
	{
		unsigned unloaded = 0;
		unsigned unloaded_used = 0;

		for (size_t i = 0; i < targets.size(); i++) {
			const Target &t = targets[i];

			if (roster.rows[i].in_flight || t.gray ||
			    now - t.gray_until < WINDOW)
				continue;
			unloaded++;
			unloaded_used += !t.arrivals.empty() &&
					 now - t.arrivals.back() < WINDOW;
		}
		end_checks++;
		short_end_checks += unloaded_used < 0.7 * unloaded;
	}

	static unsigned count_since(const std::vector<apr_time_t> &times,
				    apr_time_t since)
	{
		return (unsigned)(times.end() - std::lower_bound(times.begin(),
								 times.end(),
								 since));
	}

	/* The operators' rule: if more than a tenth but less than half of the
	 * requests in a window of two seconds are lost, the share of the
	 * counted targets must have got some of them. */
	void check_by_operators_rule(double counted)
	{
		unsigned all = 0;
		unsigned failed = 0;

		for (const Target &t : targets) {
			all += count_since(t.arrivals, now - WINDOW);
			failed += count_since(t.losses, now - WINDOW);
		}
		check_window(counted);
		if (failed * 10 <= all || failed * 2 >= all || !used)
			return;
		failing_windows++;
		short_failing_windows += used < 0.7 * healthy;
	}

	void run(apr_time_t length, double per_second, double counted)
	{
		apr_time_t end = now + length;
		double credit = 0;

		rate = per_second;
		while (now < end) {
			now += TIME_STEP;
			change_states();
			advance_requests();
			tr_roster_step(&roster, now);
			credit += per_second * (double)TIME_STEP / 1e6;
			for (; credit >= 1; credit--)
				send();
			if (now % TR_MSEC(500) < TIME_STEP &&
			    end - now < length / 2)
				check_window(counted);
			if (now % TR_MSEC(500) < TIME_STEP &&
			    end - now < length / 2)
				check_all_vms_end();
		}
	}
};

/*
 * Guards against requests that must run once being sent to suspected targets
 * only to keep the floor, where one in fifty was lost on a quiet day. Three in
 * ten targets are gray and idle, the floor is seven in ten of all targets, and
 * a target that is probably gray counted as one that should be in use. With the
 * share of all targets 0.0485 of these requests are lost, with the share of
 * those that are probably healthy 0.0418; without a floor 0.022.
 */
TEST(FloorLoad, TheFloorIsKeptWithoutFeedingSuspects)
{
	Service svc(140);

	svc.run(TR_SEC(120), 200, 0.6);
	EXPECT_LE((double)svc.lost_requests / svc.requests, 0.045);
	EXPECT_LE((double)svc.short_windows / svc.windows, 0.02);
}

/* The same with few counted targets and few requests: 0.0479 were lost before
 * and 0.0387 after; without a margin one window in eight is below the floor. */
TEST(FloorLoad, ASmallServiceKeepsItsFloorMostly)
{
	Service svc(28);

	svc.run(TR_SEC(240), 60, 0.6);
	EXPECT_LE((double)svc.lost_requests / svc.requests, 0.042);
	EXPECT_LE((double)svc.short_windows / svc.windows, 0.03);
}

/*
 * Guards against a service of 22 targets with 3 of 8 healthy ones idle. The
 * fleet is split into groups with three or four targets each, and operators
 * count two in five. Suspected targets were allowed to be idle from a
 * probability of 0.5 on, too early where few are counted: 0.047 of the windows
 * were below the floor, 0.020 are now.
 */
TEST(FloorLoad, GroupsKeepTheFloorOfASmallServiceTogether)
{
	const unsigned groups = 6;
	unsigned windows = 0;
	unsigned short_windows = 0;
	std::vector<std::unique_ptr<Service>> parts;

	for (unsigned i = 0; i < groups; i++)
		parts.push_back(std::make_unique<Service>(4, 4 * (groups - 1),
							  5 + i * 7919));
	for (int second = 0; second < 1500; second++) {
		unsigned healthy = 0;
		unsigned used = 0;

		for (auto &part : parts) {
			part->run(TR_SEC(1), 13, 1);
			part->check_window(0.4);
			healthy += part->healthy;
			used += part->used;
		}
		windows++;
		short_windows += used < 0.7 * healthy;
	}
	EXPECT_LE((double)short_windows / windows, 0.03);
}

/* Guards against a service that grows threefold and leaves most of its new
 * targets idle, since there are few requests per target. */
TEST(FloorLoad, TargetsThatJoinAreUsedWithFewRequestsForEach)
{
	unsigned windows = 0;
	unsigned short_windows = 0;

	for (unsigned seed = 1; seed <= 60; seed++) {
		Service svc(28, 0, seed * 7919);

		svc.run(TR_SEC(10), 70, 0.4);
		svc.add_new_targets(52);
		svc.run(TR_SEC(4), 70, 0.4);
		svc.windows = 0;
		svc.short_windows = 0;
		svc.run(TR_SEC(8), 70, 0.4);
		windows += svc.windows;
		short_windows += svc.short_windows;
	}
	EXPECT_LE((double)short_windows / windows, 0.03);
}

/* Guards against a service that gets requests again after a pause of seconds,
 * and leaves most of its healthy targets idle meanwhile. */
TEST(FloorLoad, AServiceThatGetsRequestsAgainKeepsItsFloor)
{
	unsigned windows = 0;
	unsigned short_windows = 0;

	for (unsigned seed = 1; seed <= 500; seed++) {
		Service svc(28, 0, seed * 7919);

		svc.run(TR_SEC(7), 90, 1);
		svc.run(TR_SEC(14), 0, 1);
		svc.run(TR_SEC(2), 20, 1);
		for (int i = 0; i < 16; i++) {
			svc.check_by_operators_rule(seed % 2 ? 1 : 0.35);
			svc.run(TR_MSEC(250), 20, 1);
		}
		windows += svc.failing_windows;
		short_windows += svc.short_failing_windows;
	}
	EXPECT_GT(windows, 0u);
	EXPECT_EQ(short_windows, 0u) << "of " << windows;
}

/* Guards against healthy targets that are idle when all VMs end, while most of
 * the active ones have a request in flight and are not counted. */
TEST(FloorLoad, WhenAllVmsEndThoseAtRestWereAtWork)
{
	unsigned end_checks = 0;
	unsigned short_end_checks = 0;

	for (unsigned seed = 1; seed <= 2; seed++) {
		Service svc(200, 0, seed * 7919);

		svc.reports_ends = true;
		svc.run(TR_SEC(40), 800, 1);
		end_checks += svc.end_checks;
		short_end_checks += svc.short_end_checks;
	}
	EXPECT_EQ(short_end_checks, 0u) << "of " << end_checks;
}

/* Guards against a floor that sends many requests to suspected targets although
 * VMs learn when a request that hangs there has ended. */
TEST(FloorLoad, WhereEndsAreToldSuspectsAreNotFed)
{
	Service large(140);
	Service small(28);

	large.reports_ends = small.reports_ends = true;
	large.run(TR_SEC(120), 200, 0.6);
	small.run(TR_SEC(240), 60, 0.6);
	EXPECT_LE((double)large.lost_requests / large.requests, 0.045);
	EXPECT_LE((double)large.short_windows / large.windows, 0.02);
	EXPECT_LE((double)small.lost_requests / small.requests, 0.042);
	EXPECT_LE((double)small.short_windows / small.windows, 0.03);
}

} // namespace
