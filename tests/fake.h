/*
 * Fakes for tests of a cell: a clock, a document, VMs and the messages between
 * them.
 */
#ifndef FAKE_H
#define FAKE_H

#include <cstdio>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "board.h"
#include "detector.h"
#include "document.h"
#include "gossip.h"
#include "member.h"
#include "permit.h"
#include "service.h"
}

/* A clock that only a test advances. */
struct FakeClock {
	apr_time_t now = TR_SEC(1000);

	static apr_time_t read(void *ctx)
	{
		return static_cast<FakeClock *>(ctx)->now;
	}

	tr_clock clock()
	{
		return { read, this };
	}
};

/* A document of one service over some data centres; tests may change it. */
struct FakeDocument {
	tr_document doc{};
	std::vector<std::string> names;
	std::vector<char *> centres;
	std::vector<tr_route> routes;
	char slash[2] = "/";

	explicit FakeDocument(unsigned centre_count = 4, unsigned floor = 6)
	{
		static char service[] = "svc";
		static char team[] = "team";
		static char list[] = "svc";

		names.reserve(centre_count);
		for (unsigned i = 0; i < centre_count; i++)
			names.push_back("dc-" + std::to_string(i + 1));
		for (auto &name : names)
			centres.push_back(&name[0]);
		routes.push_back({ slash, nullptr, 0, TR_REPEAT_IDEMPOTENT,
				   TR_PRIORITY_NORMAL, 0 });
		doc.service = service;
		doc.team = team;
		doc.target_list = list;
		doc.data_centres = centres.data();
		doc.data_centres_count = centre_count;
		doc.floor = floor;
		doc.slots = 3;
		doc.ejection.false_per_day = 5;
		doc.routes = routes.data();
		doc.routes_count = 1;
		tr_document_defaults(&doc);
	}
};

inline std::vector<tr_vm> fake_vms(unsigned centres, unsigned each)
{
	std::vector<tr_vm> vms;

	for (unsigned c = 0; c < centres; c++)
		for (unsigned n = 0; n < each; n++) {
			tr_vm vm{};

			snprintf(vm.name, sizeof(vm.name), "vm-%u-%u", c, n);
			snprintf(vm.data_centre, sizeof(vm.data_centre),
				 "dc-%u", c + 1);
			vm.id = tr_hash_string(vm.name);
			vms.push_back(vm);
		}
	return vms;
}

inline std::vector<tr_target_entry> fake_targets(unsigned n, unsigned centres)
{
	std::vector<tr_target_entry> entries(n);

	for (unsigned i = 0; i < n; i++) {
		memset(&entries[i], 0, sizeof(entries[i]));
		snprintf(entries[i].name, sizeof(entries[i].name), "t-%u", i);
		snprintf(entries[i].address, sizeof(entries[i].address),
			 "127.0.0.1:%u", 9000 + i);
		snprintf(entries[i].data_centre, sizeof(entries[i].data_centre),
			 "dc-%u", i % centres + 1);
	}
	return entries;
}

/* Compares field by field: padding bytes are undefined. */
inline bool same(const tr_gossip &a, const tr_gossip &b)
{
	bool rows = a.rows_count == b.rows_count;
	bool orders = a.orders_count == b.orders_count;

	for (uint32_t i = 0; rows && i < a.rows_count; i++)
		rows = !memcmp(&a.rows[i], &b.rows[i], sizeof(a.rows[i]));
	for (uint32_t i = 0; orders && i < a.orders_count; i++)
		orders = !memcmp(&a.orders[i], &b.orders[i],
				 sizeof(a.orders[i]));
	return rows && orders && !strcmp(a.service, b.service) &&
	       a.from == b.from && a.to == b.to &&
	       !memcmp(a.boot.id, b.boot.id, sizeof(a.boot.id)) &&
	       a.sequence == b.sequence && a.sent_at == b.sent_at &&
	       a.echo == b.echo && !tr_hlc_compare(a.hlc, b.hlc) &&
	       a.flags == b.flags && a.list_revision == b.list_revision &&
	       a.document_revision == b.document_revision &&
	       a.targets_revision == b.targets_revision;
}

/* One VM with one service. */
struct FakeVm {
	std::unique_ptr<tr_board> board{ new tr_board() };
	tr_service *svc = nullptr;
	uint64_t sequence = 0;
	std::vector<tr_vm> vms;

	FakeVm(FakeClock &clock, const std::vector<tr_vm> &fleet, size_t me,
	       FakeDocument &doc, unsigned targets,
	       unsigned char incarnation = 1)
	    : vms(fleet)
	{
		auto entries =
			fake_targets(targets, doc.doc.data_centres_count);

		board->clock = clock.clock();
		board->random.state = me + 7;
		board->vm_id = vms[me].id;
		snprintf(board->vm_name, sizeof(board->vm_name), "%s",
			 vms[me].name);
		snprintf(board->data_centre, sizeof(board->data_centre), "%s",
			 vms[me].data_centre);
		memset(board->boot.id, (int)me + 1, sizeof(board->boot.id));
		board->boot.id[0] = incarnation;
		board->started_at = clock.now;
		board->fleet.vms = vms.data();
		board->fleet.count = vms.size();
		board->fleet.revision = 1;
		svc = tr_board_add_service(board.get(), "svc");
		tr_service_set_document(board.get(), svc, &doc.doc, 1);
		tr_service_set_targets(board.get(), svc, entries.data(),
				       targets, 1);
	}

	~FakeVm()
	{
		tr_service_release(svc);
	}

	FakeVm(const FakeVm &) = delete;
	FakeVm &operator=(const FakeVm &) = delete;

	tr_target *target(unsigned i)
	{
		return &svc->targets[i];
	}

	/* One attempt at a target that succeeds or fails. */
	void outcome(unsigned i, bool well)
	{
		apr_time_t now = tr_clock_now(&board->clock);

		tr_attempt_begin(svc, target(i), TR_PICK_NORMAL, now);
		tr_attempt_end(board.get(), svc, target(i), 0,
			       well ? TR_ATTEMPT_ANSWERED : TR_ATTEMPT_BROKEN,
			       now - TR_MSEC(5), false, now);
	}

	bool out(unsigned i)
	{
		return tr_permit_in_effect(board.get(), svc, target(i),
					   tr_clock_now(&board->clock));
	}
};

/*
 * The VMs of one cell and the network between them: messages can be lost in one
 * direction, and VMs can be paused. Time advances in steps of 50 ms.
 */
struct FakeCell {
	FakeClock clock;
	FakeDocument doc;
	std::vector<tr_vm> fleet;
	unsigned targets;
	std::vector<std::unique_ptr<FakeVm>> vms;
	std::vector<bool> paused;
	std::vector<std::vector<bool>> cut;
	struct Datagram {
		size_t to;
		tr_gossip msg;
	};
	std::vector<Datagram> buffered;

	explicit FakeCell(unsigned targets_ = 10, unsigned floor = 6)
	    : doc(4, floor), fleet(fake_vms(4, 2)), targets(targets_)
	{
		for (size_t i = 0; i < fleet.size(); i++)
			vms.emplace_back(
				new FakeVm(clock, fleet, i, doc, targets));
		paused.assign(fleet.size(), false);
		cut.assign(fleet.size(),
			   std::vector<bool>(fleet.size(), false));
	}

	size_t index_of(uint64_t id)
	{
		for (size_t i = 0; i < fleet.size(); i++)
			if (fleet[i].id == id)
				return i;
		return 0;
	}

	void deliver(size_t from, size_t to, const tr_gossip &msg)
	{
		if (cut[from][to])
			return;
		if (paused[to])
			buffered.push_back({ to, msg });
		else
			tr_gossip_receive(vms[to]->board.get(), &msg);
	}

	void send(size_t from)
	{
		FakeVm &vm = *vms[from];

		for (unsigned p = 0; p < vm.svc->peers_count; p++) {
			tr_peer *peer = &vm.svc->peers[p];
			tr_gossip msg;

			if (!peer->in_cell ||
			    !tr_gossip_due(vm.svc, peer, true, clock.now))
				continue;
			tr_gossip_build(vm.board.get(), vm.svc, peer,
					++vm.sequence, &msg);
			deliver(from, index_of(peer->vm_id), msg);
		}
	}

	void step()
	{
		clock.now += TR_MSEC(50);
		for (size_t i = 0; i < vms.size(); i++)
			if (!paused[i]) {
				tr_service_step(vms[i]->board.get(),
						vms[i]->svc, clock.now);
				send(i);
			}
	}

	void run(apr_time_t time)
	{
		for (apr_time_t t = 0; t < time; t += TR_MSEC(50))
			step();
	}

	/*
	 * Resumes a VM, which receives what was buffered while it was paused.
	 */
	void wake(size_t i)
	{
		paused[i] = false;
		for (auto &d : buffered)
			if (d.to == i)
				tr_gossip_receive(vms[i]->board.get(), &d.msg);
		buffered.clear();
	}

	void partition(const std::vector<size_t> &side, bool on)
	{
		for (size_t a = 0; a < vms.size(); a++)
			for (size_t b = 0; b < vms.size(); b++) {
				bool in_a = contains(side, a);
				bool in_b = contains(side, b);

				if (in_a != in_b)
					cut[a][b] = on;
			}
	}

	static bool contains(const std::vector<size_t> &v, size_t x)
	{
		for (size_t y : v)
			if (y == x)
				return true;
		return false;
	}

	/*
	 * Makes every VM send to every target in use; those for which sick is
	 * true fail.
	 */
	template <typename Sick> void work(apr_time_t time, Sick sick)
	{
		for (apr_time_t t = 0; t < time; t += TR_MSEC(50)) {
			for (size_t v = 0; v < vms.size(); v++)
				for (unsigned i = 0; i < targets; i++)
					if (!paused[v] && !vms[v]->out(i))
						vms[v]->outcome(i, !sick(v, i));
			step();
		}
	}

	size_t owner()
	{
		for (size_t i = 0; i < vms.size(); i++)
			if (!paused[i] && vms[i]->svc->vote.owner)
				return i;
		return SIZE_MAX;
	}

	unsigned owners()
	{
		unsigned n = 0;

		for (auto &vm : vms)
			n += vm->svc->vote.owner;
		return n;
	}

	/* Counts the targets that any VM has stopped using. */
	unsigned out_anywhere()
	{
		unsigned n = 0;

		for (unsigned i = 0; i < targets; i++) {
			bool out = false;

			for (auto &vm : vms)
				out |= vm->out(i);
			n += out;
		}
		return n;
	}

	bool out_everywhere(unsigned i)
	{
		for (auto &vm : vms)
			if (!vm->out(i))
				return false;
		return true;
	}
};

#endif
