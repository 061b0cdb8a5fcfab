/*
 * A service under load, played with a virtual clock against the decisions
 * alone: which requests callers lose, and whether the share of sound targets at
 * work is what operators demand.
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

const apr_time_t STEP = TR_MSEC(5);
const apr_time_t WINDOW = TR_SEC(2);
const apr_time_t HANGS_FOR = TR_SEC(2);

struct Target {
	bool gray = false;
	apr_time_t turns_at = 0;
	apr_time_t gray_until = 0;
	std::vector<apr_time_t> arrivals;
	std::vector<apr_time_t> losses;
};

struct Request {
	uint32_t row;
	apr_time_t sent_at;
	apr_time_t ends_at;
	bool hangs;
	bool told;
};

/*
 * Three in ten targets are gray at any time, for 8 s in the mean, and hang
 * three in four requests. What must run once is lost with them. VMs share what
 * they know without delay.
 */
struct Service {
	tr_roster roster{};
	tr_random random{ 5 };
	apr_time_t now = TR_SEC(100);
	std::vector<Target> targets;
	std::vector<Request> running;
	double rate = 0;
	/* VMs also hear when a request that hangs has ended. */
	bool tells_ends = false;
	unsigned asked = 0;
	unsigned lost = 0;
	unsigned sound = 0;
	unsigned used = 0;
	unsigned windows = 0;
	unsigned short_windows = 0;
	unsigned ends = 0;
	unsigned short_ends = 0;
	unsigned failing_windows = 0;
	unsigned short_failing_windows = 0;

	explicit Service(unsigned n, unsigned away = 0, uint64_t seed = 5)
	{
		random.state = seed;
		tr_roster_service(&roster, "svc");
		for (unsigned i = 0; i < n + away; i++) {
			list(i, now - TR_SEC(60));
			roster.rows[i].used_at = now;
			if (i < n)
				continue;
			/* Of another group, which uses it up. */
			roster.rows[i].away = true;
			roster.rows[i].full_until = APR_INT64_MAX;
		}
		targets.resize(n);
		for (Target &t : targets) {
			t.gray = tr_random_unit(&random) < 0.3;
			t.turns_at = now + spell(t.gray);
		}
	}

	~Service()
	{
		tr_roster_release(&roster);
	}

	void list(unsigned i, apr_time_t at)
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

	/* Targets that begin, of which nobody knows anything. */
	void join(unsigned n)
	{
		for (unsigned i = 0; i < n; i++)
			list((unsigned)targets.size() + i, now);
		targets.resize(targets.size() + n);
		for (size_t i = targets.size() - n; i < targets.size(); i++)
			targets[i].turns_at = now + spell(false);
	}

	apr_time_t spell(bool gray)
	{
		double mean = gray ? 8e6 : 18.7e6;

		return (apr_time_t)(-mean *
				    std::log(1 - tr_random_unit(&random)));
	}

	void turn()
	{
		for (Target &t : targets) {
			if (t.gray)
				t.gray_until = now;
			if (now < t.turns_at)
				continue;
			t.gray = !t.gray;
			t.turns_at = now + spell(t.gray);
		}
	}

	void send()
	{
		tr_service_stats *svc = &roster.services[0];
		tr_placing p;
		tr_place_request req{};

		req.usual = TR_MSEC(250);
		req.spread = 0.7;
		req.fail_age = TR_MSEC(700);
		req.aim_left = TR_MSEC(1200);
		req.time_left = HANGS_FOR;
		req.data_centre = "dc";
		req.floor_share = 0.7;
		req.wanted = rate;
		asked++;
		if (tr_place(&roster, &req, &random, now, &p) !=
		    TR_PLACE_FOUND) {
			lost++;
			return;
		}
		tr_service_stats_track_queue(svc, p.least_takes, req.aim_left,
					     now);
		tr_instance *row = &roster.rows[p.row];
		Target &t = targets[p.row];
		bool hangs = t.gray && tr_random_unit(&random) < 0.75;

		row->in_flight++;
		row->used_at = now;
		t.arrivals.push_back(now);
		if (hangs)
			t.losses.push_back(now);
		lost += hangs;
		running.push_back({ p.row, now,
				    now + (hangs ? HANGS_FOR : TR_MSEC(250)),
				    hangs, false });
	}

	void progress()
	{
		for (Request &r : running) {
			tr_instance *row = &roster.rows[r.row];

			if (r.hangs && !r.told &&
			    now - r.sent_at >= TR_MSEC(700)) {
				r.told = true;
				tr_roster_add_outcome(&roster, row,
						      TR_SYMPTOM_FAILED, 1,
						      now);
			}
			if (now < r.ends_at)
				continue;
			row->in_flight--;
			if (r.hangs && tells_ends)
				tr_roster_end_hang(row, now);
			if (!r.hangs)
				tr_roster_add_outcome(&roster, row,
						      TR_SYMPTOM_ANSWERED, 1,
						      now);
		}
		running.erase(std::remove_if(running.begin(), running.end(),
					     [&](const Request &r) {
						     return now >= r.ends_at;
					     }),
			      running.end());
	}

	/* Operators count the targets that are sound and not disturbed: a part
	 * of them that nobody tells. */
	void look(double counted)
	{
		sound = 0;
		used = 0;
		for (Target &t : targets) {
			bool disturbed = tr_random_unit(&random) > counted;

			if (t.gray || now - t.gray_until < 2 * WINDOW ||
			    disturbed)
				continue;
			sound++;
			used += !t.arrivals.empty() &&
				now - t.arrivals.back() < WINDOW;
		}
		windows++;
		short_windows += used < 0.7 * sound;
	}

	/* Operators count those without a request in flight when all VMs end:
	 * what is in flight fails there. */
	void look_at_the_end()
	{
		unsigned well = 0;
		unsigned at_work = 0;

		for (size_t i = 0; i < targets.size(); i++) {
			const Target &t = targets[i];

			if (roster.rows[i].in_flight || t.gray ||
			    now - t.gray_until < WINDOW)
				continue;
			well++;
			at_work += !t.arrivals.empty() &&
				   now - t.arrivals.back() < WINDOW;
		}
		ends++;
		short_ends += at_work < 0.7 * well;
	}

	static unsigned lately(const std::vector<apr_time_t> &times,
			       apr_time_t since)
	{
		return (unsigned)(times.end() - std::lower_bound(times.begin(),
								 times.end(),
								 since));
	}

	/* The operators' rule: while over a tenth of the requests of two
	 * seconds, but under half, are lost, the share of the counted targets
	 * has got some of them. */
	void look_by_the_rule(double counted)
	{
		unsigned all = 0;
		unsigned failed = 0;

		for (const Target &t : targets) {
			all += lately(t.arrivals, now - WINDOW);
			failed += lately(t.losses, now - WINDOW);
		}
		look(counted);
		if (failed * 10 <= all || failed * 2 >= all || !used)
			return;
		failing_windows++;
		short_failing_windows += used < 0.7 * sound;
	}

	void play(apr_time_t length, double a_second, double counted)
	{
		apr_time_t end = now + length;
		double due = 0;

		rate = a_second;
		while (now < end) {
			now += STEP;
			turn();
			progress();
			tr_roster_step(&roster, now);
			due += a_second * (double)STEP / 1e6;
			for (; due >= 1; due--)
				send();
			if (now % TR_MSEC(500) < STEP && end - now < length / 2)
				look(counted);
			if (now % TR_MSEC(500) < STEP && end - now < length / 2)
				look_at_the_end();
		}
	}
};

/*
 * Symptom: of what must run once one in fifty is lost at suspects on a quiet
 * day, sent there only to keep the floor. Sequence: three in ten targets are
 * gray and idle; the floor asks for seven in ten of all. Cause: a target that
 * is probably gray counted as one that should be at work. With the share
 * of all targets 0.0485 of these requests are lost, with that of those that are
 * well, by chance, 0.0418; without a floor 0.022.
 */
TEST(FloorLoad, TheFloorIsKeptWithoutFeedingSuspects)
{
	Service svc(140);

	svc.play(TR_SEC(120), 200, 0.6);
	EXPECT_LE((double)svc.lost / svc.asked, 0.045);
	EXPECT_LE((double)svc.short_windows / svc.windows, 0.02);
}

/* The same where few targets are counted and the load is thin: 0.0479 before,
 * 0.0387 after; without a margin one window in eight is short. */
TEST(FloorLoad, ASmallServiceKeepsItsFloorMostly)
{
	Service svc(28);

	svc.play(TR_SEC(240), 60, 0.6);
	EXPECT_LE((double)svc.lost / svc.asked, 0.042);
	EXPECT_LE((double)svc.short_windows / svc.windows, 0.03);
}

/*
 * Symptom: 3 of 8 sound targets of a service of 22 are idle. Sequence: the
 * fleet has split into groups with three or four of them each; operators count
 * two in five. Cause: suspects were let idle from a chance of 0.5 on, too soon
 * where few are counted: 0.047 of the windows were short, 0.020 are now.
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
		unsigned sound = 0;
		unsigned used = 0;

		for (auto &part : parts) {
			part->play(TR_SEC(1), 13, 1);
			part->look(0.4);
			sound += part->sound;
			used += part->used;
		}
		windows++;
		short_windows += used < 0.7 * sound;
	}
	EXPECT_LE((double)short_windows / windows, 0.03);
}

/* Guards against a service that grows threefold and leaves most of its new
 * targets idle, since there are few requests for each. */
TEST(FloorLoad, TargetsThatJoinAreUsedWithFewRequestsForEach)
{
	unsigned windows = 0;
	unsigned short_windows = 0;

	for (unsigned seed = 1; seed <= 60; seed++) {
		Service svc(28, 0, seed * 7919);

		svc.play(TR_SEC(10), 70, 0.4);
		svc.join(52);
		svc.play(TR_SEC(4), 70, 0.4);
		svc.windows = 0;
		svc.short_windows = 0;
		svc.play(TR_SEC(8), 70, 0.4);
		windows += svc.windows;
		short_windows += svc.short_windows;
	}
	EXPECT_LE((double)short_windows / windows, 0.03);
}

/* Guards against a service that gets requests again, after seconds without,
 * and has most of its sound targets idle meanwhile. */
TEST(FloorLoad, AServiceThatGetsRequestsAgainKeepsItsFloor)
{
	unsigned windows = 0;
	unsigned short_windows = 0;

	for (unsigned seed = 1; seed <= 500; seed++) {
		Service svc(28, 0, seed * 7919);

		svc.play(TR_SEC(7), 90, 1);
		svc.play(TR_SEC(14), 0, 1);
		svc.play(TR_SEC(2), 20, 1);
		for (int i = 0; i < 16; i++) {
			svc.look_by_the_rule(seed % 2 ? 1 : 0.35);
			svc.play(TR_MSEC(250), 20, 1);
		}
		windows += svc.failing_windows;
		short_windows += svc.short_failing_windows;
	}
	EXPECT_GT(windows, 0u);
	EXPECT_EQ(short_windows, 0u) << "of " << windows;
}

/* Guards against sound targets that are idle when all VMs end, while most of
 * those at work have a request in flight and are not counted. */
TEST(FloorLoad, WhenAllVmsEndThoseAtRestWereAtWork)
{
	unsigned ends = 0;
	unsigned short_ends = 0;

	for (unsigned seed = 1; seed <= 2; seed++) {
		Service svc(200, 0, seed * 7919);

		svc.tells_ends = true;
		svc.play(TR_SEC(40), 800, 1);
		ends += svc.ends;
		short_ends += svc.short_ends;
	}
	EXPECT_EQ(short_ends, 0u) << "of " << ends;
}

/* Guards against a floor that feeds suspects although VMs hear when what hangs
 * there has ended. */
TEST(FloorLoad, WhereEndsAreToldSuspectsAreNotFed)
{
	Service large(140);
	Service small(28);

	large.tells_ends = small.tells_ends = true;
	large.play(TR_SEC(120), 200, 0.6);
	small.play(TR_SEC(240), 60, 0.6);
	EXPECT_LE((double)large.lost / large.asked, 0.045);
	EXPECT_LE((double)large.short_windows / large.windows, 0.02);
	EXPECT_LE((double)small.lost / small.asked, 0.042);
	EXPECT_LE((double)small.short_windows / small.windows, 0.03);
}

} // namespace
