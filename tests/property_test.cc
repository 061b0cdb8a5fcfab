#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <sodium.h>

#include "fake.h"

extern "C" {
#include "codec.h"
#include "revision.h"
}

/*
 * Properties that hold in any order of events. A failing case prints its seed;
 * run it again with RC_PARAMS="reproduce=...". The seed is fixed, so that every
 * run gives the same result.
 */
struct Property : testing::Test {
	static void SetUpTestSuite()
	{
		setenv("RC_PARAMS", "seed=20261202 max_success=40", 0);
	}
};

static void holds(const char *name, bool ok)
{
	EXPECT_TRUE(ok) << name;
}

/* Events in a cell. */
enum Action {
	FAIL_SOME,
	PAUSE,
	RESUME,
	CUT_ONE_WAY,
	SPLIT,
	JOIN,
	REPLACE,
	RAISE_FLOOR,
	LEAVE,
	WORK,
	ACTION_COUNT,
};

struct Scenario {
	FakeCell cell{ 10, 8 };
	std::vector<std::unique_ptr<FakeDocument>> documents;
	unsigned sick = 0;
	uint64_t revision = 1;
	unsigned char incarnation = 50;
	unsigned floor = 8;
	unsigned listed = 10;

	void raise_floor(unsigned to)
	{
		floor = to;
		documents.emplace_back(new FakeDocument(4, floor));
		cell.doc.doc.floor = floor;
		revision++;
		for (auto &vm : cell.vms)
			tr_service_set_document(vm->board.get(), vm->svc,
						&documents.back()->doc,
						revision);
	}

	void leave(unsigned count)
	{
		auto entries = fake_targets(10, 4);

		for (unsigned i = 0; i < count; i++)
			entries[9 - i].leaving = true;
		listed = 10 - count;
		revision++;
		for (auto &vm : cell.vms)
			tr_service_set_targets(vm->board.get(), vm->svc,
					       entries.data(), 10, revision);
	}

	void apply(int what, unsigned a, unsigned b)
	{
		size_t n = cell.vms.size();

		switch (what % ACTION_COUNT) {
		case FAIL_SOME:
			sick = a % 5;
			break;
		case PAUSE:
			cell.paused[a % n] = true;
			break;
		case RESUME:
			if (cell.paused[a % n])
				cell.wake(a % n);
			break;
		case CUT_ONE_WAY:
			cell.cut[a % n][b % n] = true;
			break;
		case SPLIT:
			cell.partition({ a % n, b % n, (a + b) % n }, true);
			break;
		case JOIN:
			for (auto &row : cell.cut)
				row.assign(n, false);
			break;
		case REPLACE:
			replace(a % n);
			break;
		case RAISE_FLOOR:
			raise_floor(6 + a % 5);
			break;
		case LEAVE:
			leave(a % 3);
			break;
		default:
			break;
		}
	}

	void replace(size_t i)
	{
		cell.vms[i].reset(new FakeVm(cell.clock, cell.fleet, i,
					     cell.doc, 10, ++incarnation));
		cell.vms[i]->svc->document_revision = revision;
	}

	/*
	 * Returns whether every VM, in its own view, has at least its floor in
	 * use.
	 */
	bool floor_held()
	{
		for (auto &vm : cell.vms) {
			unsigned serving = 0;
			unsigned used =
				tr_floor_in_use(vm->svc, cell.clock.now);

			for (unsigned i = 0; i < 10; i++)
				serving += tr_target_is_serving(vm->target(i),
								cell.clock.now);
			if (used < serving && used < vm->svc->document->floor)
				return false;
		}
		return true;
	}
};

using Actions = std::vector<std::tuple<int, unsigned, unsigned>>;

static rc::Gen<Actions> random_actions(size_t count, std::vector<int> kinds)
{
	return rc::gen::container<Actions>(
		count, rc::gen::tuple(rc::gen::elementOf(kinds),
				      rc::gen::inRange(0u, 100u),
				      rc::gen::inRange(0u, 100u)));
}

/* Applies the actions in turn, and after each runs ten steps with the check. */
template <typename Check>
static void run_actions(Scenario &scenario, const Actions &actions,
			apr_time_t between, Check check)
{
	scenario.cell.run(TR_SEC(13));
	for (auto &a : actions) {
		scenario.apply(std::get<0>(a), std::get<1>(a), std::get<2>(a));
		for (int s = 0; s < 10; s++) {
			scenario.cell.work(between, [&](size_t v, unsigned i) {
				return (i + v / 4) % 10 < scenario.sick;
			});
			check();
		}
	}
}

TEST_F(Property, NoVmEverGoesBelowItsFloor)
{
	holds("floor at each VM", rc::check([] {
		      auto actions = *random_actions(
			      12,
			      { FAIL_SOME, PAUSE, RESUME, CUT_ONE_WAY, SPLIT,
				JOIN, REPLACE, RAISE_FLOOR, LEAVE, WORK });
		      Scenario scenario;

		      run_actions(scenario, actions, TR_MSEC(100),
				  [&] { RC_ASSERT(scenario.floor_held()); });
	      }));
}

/*
 * Targets that are out at any VM, with a fixed floor and list: what the owner
 * must bound.
 */
TEST_F(Property, BudgetIsNeverOverspentOverTheFleet)
{
	holds("budget over the fleet", rc::check([] {
		      auto actions = *random_actions(
			      15, { FAIL_SOME, PAUSE, RESUME, CUT_ONE_WAY,
				    SPLIT, JOIN, REPLACE });
		      Scenario scenario;

		      run_actions(scenario, actions, TR_MSEC(200), [&] {
			      RC_ASSERT(scenario.cell.out_anywhere() <= 2u);
		      });
	      }));
}

TEST_F(Property, RevisionsInForceNeverFall)
{
	holds("revisions", rc::check([](std::vector<uint8_t> offers) {
		      tr_revision_state held{};
		      uint64_t before = 0;

		      for (uint8_t offer : offers) {
			      if (tr_revision_compare(&held, offer) ==
				  TR_REVISION_NEWER) {
				      if (offer % 3)
					      tr_revision_accept(&held, offer);
				      else
					      tr_revision_refuse(&held, offer);
			      }
			      RC_ASSERT(held.revision >= before);
			      before = held.revision;
		      }
	      }));
}

TEST_F(Property, KeysAreSentAtMostOnceInAnyOrder)
{
	ASSERT_GE(sodium_init(), 0);
	holds("at most once", rc::check([](std::vector<uint8_t> steps) {
		      tr_secret secret{};
		      tr_boot boot{};
		      tr_dispatcher d{};
		      apr_time_t now = TR_SEC(10);
		      std::vector<tr_key> keys;
		      std::vector<unsigned> unknown_sends(8);
		      std::vector<uint32_t> running;

		      tr_dispatcher_init(&d, &boot, &secret, 8, 20, 1000);
		      for (int i = 0; i < 8; i++) {
			      char text[TR_KEY_TEXT];
			      tr_key key;

			      tr_dispatcher_mint(&d, 1, now, text);
			      tr_key_read(&key, &secret, text);
			      keys.push_back(key);
		      }
		      for (uint8_t step : steps) {
			      unsigned k = step % 8;
			      uint32_t record;

			      now += TR_SEC(step / 64);
			      tr_dispatcher_sweep(&d, now, 8);
			      if (tr_dispatcher_admit(&d, &keys[k], 1, 1, 0,
						      now, &record) != TR_OK)
				      continue;
			      tr_dispatcher_mark_sent(&d, record);
			      /* A request that may have run is never resent. */
			      RC_ASSERT(unknown_sends[k] == 0u);
			      if (step / 8 % 3 == 0) {
				      tr_dispatcher_finish(&d, record,
							   TR_OUTCOME_NOT_RUN,
							   503, "", "", 0);
			      } else {
				      unknown_sends[k]++;
				      tr_dispatcher_finish(
					      &d, record,
					      step / 8 % 3 == 1
						      ? TR_OUTCOME_ANSWERED
						      : TR_OUTCOME_UNKNOWN,
					      200, "", "x", 1);
			      }
		      }
		      tr_dispatcher_release(&d);
	      }));
}

TEST_F(Property, DatagramsRoundTrip)
{
	holds("codec", rc::check([](std::vector<uint32_t> numbers,
				    uint64_t sequence, uint32_t flags) {
		      tr_gossip in{};
		      tr_gossip out;
		      tr_secret secret{};
		      char buf[CODEC_MAX_DATAGRAM];

		      snprintf(in.service, sizeof(in.service), "svc");
		      in.sequence = sequence;
		      in.flags = flags;
		      for (uint32_t n : numbers) {
			      if (in.rows_count == TR_GOSSIP_ROWS)
				      break;
			      in.rows[in.rows_count++] = { n, n / 2, n / 3,
							   n / 4 };
		      }
		      size_t len = codec_encode(&in, &secret, buf);
		      RC_ASSERT(len > 0u && len <= CODEC_MAX_DATAGRAM);
		      /* Body: after the call's header and its own length. */
		      const size_t head = 44;
		      RC_ASSERT(codec_decode_body(buf + head,
						  len - head - TR_MAC_SIZE,
						  &out) == TR_OK);
		      RC_ASSERT(same(in, out));
	      }));
}

TEST_F(Property, CellChangesByOneWhenAVmLeaves)
{
	holds("cells", rc::check([] {
		      unsigned each = *rc::gen::inRange(3u, 12u);
		      auto vms = fake_vms(4, each);
		      tr_fleet fleet = { 1, vms.size(), vms.data() };
		      FakeDocument doc;
		      tr_cell before, after;
		      unsigned gone = *rc::gen::inRange(0u, 4 * each);
		      unsigned kept = 0;

		      tr_cell_choose(&before, &fleet, &doc.doc);
		      vms[gone].leaving = true;
		      tr_cell_choose(&after, &fleet, &doc.doc);
		      for (size_t i = 0; i < before.count; i++)
			      kept += tr_cell_has(&after, &fleet,
						  vms[before.members[i]].id);
		      RC_ASSERT(kept >= before.count - 1);
		      RC_ASSERT(after.count == before.count);
	      }));
}
