#include "world.h"

#include <algorithm>

namespace soak
{

namespace
{

constexpr auto HEARTBEAT_INTERVAL = std::chrono::milliseconds(500);
/* Time bounds are checked only after this long without a fault. */
constexpr double SETTLING_S = 4;
/* Latest request to a target after it started to drain; includes slack for
 * a busy machine. */
constexpr double DRAIN_S = 3;
constexpr int GRACE_S = 3;
/* Age at which the entry of a target that has ended is removed. */
constexpr unsigned EXPIRY_MS = 1500;
/* As in cut_calls.c. */
constexpr uint16_t FULL_PORT = 9002;
constexpr double MIN_SERVED_SHARE = 0.95;

} // namespace

Cluster::Cluster(const Options &o) : options(o), random(o.seed)
{
	/* A loopback subnet per process, so that several can run at once. */
	subnet = "127." + std::to_string(64 + getpid() % 64) + "." +
		 std::to_string(getpid() / 64 % 250) + ".";
	routes = { { "read", "/read/", Kind::Safe },
		   { "order", "/order/", Kind::Unsafe },
		   { "split", "/split/", Kind::Unsafe },
		   { "move", "/move/", Kind::Safe } };
	began = Clock::now();
}

Cluster::~Cluster()
{
	stopping = true;
	for (auto &t : threads)
		t.join();
	vms.clear();
}

unsigned Cluster::random_below(unsigned n)
{
	return std::uniform_int_distribution<unsigned>(0, n - 1)(random);
}

void Cluster::log_event(const std::string &text)
{
	char at[32];

	snprintf(at, sizeof(at), "%7.3f ", seconds(Clock::now() - began));
	event_log.push_back(at + text);
}

void Cluster::schedule_revert(unsigned ms, std::function<void()> revert)
{
	reverts.push_back({ Clock::now() + std::chrono::milliseconds(ms),
			    std::move(revert) });
}

void Cluster::run_due_reverts(bool all)
{
	Time now = Clock::now();
	std::vector<Revert> due;
	auto is_due = [&](const Revert &r) { return all || r.at <= now; };

	std::copy_if(reverts.begin(), reverts.end(), std::back_inserter(due),
		     is_due);
	reverts.erase(std::remove_if(reverts.begin(), reverts.end(), is_due),
		      reverts.end());
	std::sort(due.begin(), due.end(),
		  [](const Revert &a, const Revert &b) { return a.at < b.at; });
	for (const Revert &r : due)
		r.revert();
	if (!due.empty())
		last_change_at = now;
}

/* Whether the VM has not been disturbed since the time. */
bool Cluster::undisturbed_since(const std::string &ip, Time since) const
{
	for (const auto &vm : vms)
		if (vm->ip == ip)
			return vm->disturbed_at <
			       since.time_since_epoch().count();
	return false;
}

bool Cluster::start_target(TargetSlot &slot, const std::string &service)
{
	std::string id = "i-" + std::to_string(++instance_count);

	/* With overlapping faults, the revert of the other one has started
	 * it. */
	if (slot.target && !slot.target->has_crashed())
		return true;
	if (slot.target) {
		slot.target->unregister();
		retired_targets.push_back(std::move(slot.target));
	}
	slot.target = std::make_unique<Target>(
		TargetConfig{ id, service, slot.zone, slot.published,
			      slot.real },
		*store, ledger, options.seed * 1000 + instance_count,
		[this, &slot](const std::string &vm, Time since) {
			return !options.bounds ||
			       !slot.proxy->was_normal_since(since) ||
			       !undisturbed_since(vm, since);
		});
	return slot.target->open();
}

void Cluster::write_config()
{
	std::string rows =
		R"(["read","h.x","/read/","safe","2s","1s",1,3,"svc-a",null],)"
		R"(["order","h.x","/order/","unsafe","2s","1s",0,2,"svc-b",)"
		R"(null],["split","h.x","/split/","unsafe","2s","1s",1,2,null,)"
		R"([{"service":"svc-a","weight":)" +
		std::to_string(weight) + R"(},{"service":"svc-b","weight":)" +
		std::to_string(100 - weight) +
		R"(}]],["move","h.x","/move/","safe","2s","1s",2,2,")" +
		move_service + R"(",null])";

	for (unsigned i = 1; i <= added_routes; i++)
		rows += R"(,["new-)" + std::to_string(i) + R"(","h.x","/new-)" +
			std::to_string(i) +
			R"(/","safe","2s","1s",2,2,"svc-a",null])";
	ledger.allow_route("read", "svc-a");
	ledger.allow_route("order", "svc-b");
	ledger.allow_route("split", "svc-a");
	ledger.allow_route("split", "svc-b");
	ledger.allow_route("move", move_service);
	ledger.allow_route("new-" + std::to_string(added_routes), "svc-a");
	store->write(
		"op/config",
		R"({"version":)" + std::to_string(version) +
			R"(,"routes":{"columns":["name","host","prefix","kind",)"
			R"("timeout","targetLatency","priority","maxAttempts",)"
			R"("service","trafficSplit"],"rows":[)" +
			rows +
			R"(]},"services":{"columns":["name","healthPath",)"
			R"("maxConns"],"rows":[["svc-a","/health",50],["svc-b",)"
			R"("/health",50]]},"limits":{"maxHeaderBytes":16384,)"
			R"("maxBodyBytes":1000000,"headerTimeout":"3s",)"
			R"("idleTimeout":"9s"}})");
}

void Cluster::change_config()
{
	version += 1 + random_below(4);
	switch (random_below(3)) {
	case 0:
		move_service = move_service == "svc-a" ? "svc-b" : "svc-a";
		break;
	case 1:
		weight = 10 + random_below(80);
		break;
	default:
		added_routes++;
		break;
	}
	write_config();
	log_event("configuration " + std::to_string(version));
}

bool Cluster::start_all()
{
	store = std::make_unique<Store>(Address{ subnet + "250", 8500 });
	if (!store->open())
		return false;
	write_config();
	for (unsigned i = 0; i < options.targets; i++) {
		auto p = std::make_unique<TargetSlot>();

		p->zone = "z" + std::to_string(i % 2);
		p->published = { subnet + std::to_string(100 + i), 9000 };
		p->real = { subnet + std::to_string(100 + i), 9001 };
		p->proxy = std::make_unique<Proxy>(p->published, p->real);
		p->full = std::make_unique<FullListener>(
			Address{ p->published.ip, FULL_PORT });
		if (!p->proxy->open() ||
		    !start_target(*p, i % 2 ? "svc-b" : "svc-a"))
			return false;
		target_slots.push_back(std::move(p));
	}
	for (unsigned i = 0; i < options.vms; i++)
		ips.push_back(subnet + std::to_string(1 + i));
	std::vector<std::string> seeds(
		ips.begin(), ips.begin() + std::min<long>(3, (long)ips.size()));
	for (unsigned i = 0; i < options.vms; i++) {
		vms.push_back(std::make_unique<Vm>(
			options.program, options.dir, ips[i],
			"z" + std::to_string(i % 2), store->address().text()));
		vms[i]->write_settings(seeds);
		vms[i]->start();
	}
	if (!wait_until([this] { return serves_newest_route(ips[0]); }))
		return false;
	last_change_at = Clock::now();
	for (unsigned i = 0; i < options.callers; i++) {
		callers.push_back(std::make_unique<Caller>(
			i, ips, routes, ledger, options.seed * 77 + i));
		threads.emplace_back(
			[this, c = callers[i].get()] { c->run(stopping); });
	}
	return true;
}

void Cluster::send_heartbeats()
{
	if (Clock::now() - last_heartbeat_at < HEARTBEAT_INTERVAL)
		return;
	last_heartbeat_at = Clock::now();
	for (auto &p : target_slots)
		p->target->heartbeat();
}

/* The bound holds only after a while without faults. */
void Cluster::check_drains()
{
	for (auto &p : target_slots) {
		Clock::rep left = p->target->draining_since;
		Clock::rep ran = p->target->last_run_at;

		if (!options.bounds || !left ||
		    seconds(Clock::now() - last_change_at) <
			    SETTLING_S + DRAIN_S)
			continue;
		if (seconds(Clock::duration(ran - left)) > DRAIN_S)
			ledger.report_violation(
				p->target->config.id +
				" got a request after its drain");
	}
}

/* Cuts some VMs off from all targets, in one of two ways. */
void Cluster::cut_paths(unsigned ms)
{
	std::string state = random_below(2) ? "refused" : "hangs";
	unsigned share = 1 + random_below(4);

	log_event("paths " + state + ", VMs of 5: " + std::to_string(share));
	for (auto &vm : vms) {
		if (random_below(5) >= share)
			continue;
		vm->set_path(state);
		schedule_revert(ms, [&vm] { vm->set_path("open"); });
	}
}

void Cluster::inject_vm_fault()
{
	Vm &vm = *vms[random_below((unsigned)vms.size())];
	unsigned ms = 200 + random_below(2500);

	switch (random_below(6)) {
	case 0:
		log_event("kill " + vm.ip);
		vm.kill_now();
		schedule_revert(ms, [&vm] { vm.start(); });
		break;
	case 1:
		log_event("stop " + vm.ip);
		vm.send(SIGTERM);
		/* An overlapping fault may have killed and restarted the VM
		 * or paused it, and recover() runs this revert early. */
		schedule_revert(GRACE_S * 1000, [this, &vm, start = vm.starts,
						 at = Clock::now()] {
			Time since = std::max(at, vm.resumed_at);

			if (!vm.has_exited() && start == vm.starts &&
			    !vm.paused &&
			    seconds(Clock::now() - since) >= GRACE_S &&
			    options.bounds)
				ledger.report_violation(
					vm.ip +
					" did not exit within its grace period");
			vm.kill_now();
			vm.start();
		});
		break;
	case 2:
		log_event("pause " + vm.ip + " " + std::to_string(ms));
		vm.send(SIGSTOP);
		schedule_revert(ms, [&vm] { vm.send(SIGCONT); });
		break;
	case 3:
		log_event("reload " + vm.ip);
		vm.write_settings({ ips[random_below((unsigned)ips.size())] });
		if (random_below(2))
			vm.send(SIGHUP);
		break;
	case 4:
		cut_paths(ms);
		break;
	default:
		log_event("kill every second VM");
		for (unsigned i = 0; i < vms.size(); i += 2) {
			Vm &each = *vms[i];

			each.kill_now();
			schedule_revert(ms + 50 * i, [&each] { each.start(); });
		}
		break;
	}
}

/*
 * Takes a copy of the store, which is away for a moment some time later and
 * then returns from it. The operator and the targets write again what they had
 * written; what the copy has of targets that have ended expires.
 */
void Cluster::return_store_from_copy()
{
	unsigned lost = 200 + random_below(2500),
		 away = 100 + random_below(900);
	std::chrono::milliseconds late(random_below(2) ? 300 : 0);

	log_event("store returns in " + std::to_string(lost + away) +
		  " ms from a copy taken now");
	store->take_copy();
	schedule_revert(lost, [this] { store->set_mode(StoreMode::Reset); });
	schedule_revert(lost + away, [this, late] {
		store->return_from_copy(late);
		store->set_mode(StoreMode::Up);
	});
	schedule_revert(lost + away + 100 + random_below(600),
			[this] { write_config(); });
	schedule_revert(lost + away + EXPIRY_MS, [this] {
		for (auto &t : retired_targets)
			t->unregister();
	});
}

void Cluster::inject_store_fault()
{
	static const StoreMode modes[] = {
		StoreMode::Busy, StoreMode::Reset, StoreMode::Silent,
		StoreMode::Slow, StoreMode::Lost,  StoreMode::Endless
	};
	unsigned which = random_below(8);
	std::set<std::string> some;

	if (which == 7) {
		return_store_from_copy();
		return;
	}

	if (which == 6) {
		log_event("store compacts its history");
		store->compact_history();
		return;
	}
	if (random_below(2))
		for (const std::string &ip : ips)
			if (random_below(3) == 0)
				some.insert(ip);
	log_event("store mode " + std::to_string(which) + " for " +
		  std::to_string(some.size()) + " VMs (0: all)");
	store->set_mode(modes[which], some);
	schedule_revert(500 + random_below(3000),
			[this] { store->set_mode(StoreMode::Up); });
}

/* Makes all targets of the service reject most requests. */
void Cluster::shed_service(const std::string &service, unsigned ms)
{
	log_event("targets of " + service +
		  " reject requests for ms: " + std::to_string(ms));
	for (auto &p : target_slots) {
		Target *t = p->target.get();

		if (t->config.service != service)
			continue;
		t->mode = Mode::Shed;
		schedule_revert(ms, [t] { t->mode = Mode::Healthy; });
	}
}

void Cluster::inject_target_fault()
{
	TargetSlot &p =
		*target_slots[random_below((unsigned)target_slots.size())];
	std::string service = p.target->config.service;
	unsigned which = random_below(FAULTY_MODES + 7);

	if (which == FAULTY_MODES + 6) {
		shed_service(service, 2000 + random_below(4000));
		return;
	}
	if (which >= FAULTY_MODES + 3) {
		static const Notice notices[] = { Notice::Limit,
						  Notice::Leaving,
						  Notice::RetryAfter };
		Target *t = p.target.get();
		Notice notice = notices[which - FAULTY_MODES - 3];

		log_event("target " + t->config.id + " sends notice " +
			  std::to_string((int)notice));
		t->current_notice = notice;
		/* A target that announced that it leaves is replaced. */
		schedule_revert(2000 + random_below(4000), [this, t, &p,
							    service, notice] {
			t->current_notice = Notice::None;
			if (notice != Notice::Leaving || p.target.get() != t)
				return;
			p.target->crash();
			start_target(p, service);
		});
		return;
	}
	if (which < FAULTY_MODES) {
		Mode mode = (Mode)(1 + which);
		Target *t = p.target.get();

		log_event("target " + t->config.id + " mode " +
			  std::to_string((int)mode));
		t->mode = mode;
		schedule_revert(500 + random_below(4000),
				[t] { t->mode = Mode::Healthy; });
		return;
	}
	if (which == FAULTY_MODES) {
		log_event("target " + p.target->config.id + " drains");
		p.target->drain();
		schedule_revert(5000, [this, &p, service] {
			p.target->crash();
			start_target(p, service);
		});
		return;
	}
	/* After the crash the address is reused by another service or the
	 * same one. */
	log_event("target " + p.target->config.id + " crashes");
	p.target->crash();
	if (which == FAULTY_MODES + 2)
		service = service == "svc-a" ? "svc-b" : "svc-a";
	schedule_revert(300 + random_below(2500),
			[this, &p, service] { start_target(p, service); });
}

void Cluster::inject_link_fault()
{
	static const LinkMode link_modes[] = {
		LinkMode::Delayed, LinkMode::Reset, LinkMode::DropToTarget,
		LinkMode::DropToCaller, LinkMode::DropBoth
	};
	TargetSlot &p =
		*target_slots[random_below((unsigned)target_slots.size())];
	unsigned which = random_below(5);

	log_event("link to " + p.target->config.id + " " +
		  std::to_string(which));
	p.proxy->set(link_modes[which]);
	schedule_revert(300 + random_below(2500),
			[&p] { p.proxy->set(LinkMode::Normal); });
}

void Cluster::inject_fault()
{
	if (options.refusals && random_below(4)) {
		inject_vm_fault();
		last_change_at = Clock::now();
		return;
	}
	switch (random_below(10)) {
	case 0:
	case 1:
	case 2:
		inject_vm_fault();
		break;
	case 3:
	case 4:
		inject_store_fault();
		break;
	case 5:
	case 6:
		inject_target_fault();
		break;
	case 7:
	case 8:
		inject_link_fault();
		break;
	default:
		change_config();
		return;
	}
	last_change_at = Clock::now();
}

void Cluster::run_faults()
{
	Time end = Clock::now() + std::chrono::seconds(options.seconds);
	Time next = Clock::now();

	if (options.refusals)
		for (const char *service : { "svc-a", "svc-b" })
			shed_service(service, options.seconds * 1000);
	while (Clock::now() < end) {
		send_heartbeats();
		run_due_reverts(false);
		check_drains();
		if (Clock::now() >= next) {
			inject_fault();
			/* Bursts of overlapping faults, with an occasional
			 * quiet period. */
			next = Clock::now() +
			       std::chrono::milliseconds(
				       random_below(8) ? random_below(600)
						       : 6000);
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
}

bool Cluster::serves_newest_route(const std::string &ip)
{
	static std::atomic<unsigned> asked{ 0 };
	Route route{ "read", "/read/", Kind::Safe };

	if (added_routes) {
		route.name = "new-" + std::to_string(added_routes);
		route.prefix = "/" + route.name + "/";
	}
	/* Uses a separate ledger, as the 404 before the new route is in
	 * force is no violation. */
	Ledger own;
	std::string id = "probe-" + std::to_string(++asked);

	ledger.record_sent(id, { route.kind, route.name, "", Clock::now() });
	return Caller::send_single(ip, route, id, own) == 200;
}

/* Polls until the condition holds; 30 s of sleep in total, enough for a
 * busy machine. */
bool Cluster::wait_until(const std::function<bool()> &condition)
{
	for (int i = 0; i < 600; i++) {
		send_heartbeats();
		if (condition())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	return false;
}

void Cluster::recover()
{
	run_due_reverts(true);
	run_due_reverts(true);
	log_event("all faults reverted");
	added_routes++;
	version++;
	write_config();
	for (const std::string &ip : ips)
		if (!wait_until([&] { return serves_newest_route(ip); }))
			ledger.report_violation(
				ip + " does not serve the newest route");
	bool served = wait_until([this] {
		Time at = Clock::now();

		for (int i = 0; i < 20; i++) {
			send_heartbeats();
			std::this_thread::sleep_for(
				std::chrono::milliseconds(100));
		}
		return ledger.success_share_since(at) >= MIN_SERVED_SHARE;
	});
	if (!served)
		ledger.report_violation(
			"requests are not served after the recovery");
}

void Cluster::stop()
{
	stopping = true;
	for (auto &t : threads)
		t.join();
	threads.clear();
	ledger.check_repeats();
	for (auto &vm : vms)
		vm->send(SIGTERM);
	for (auto &vm : vms)
		if (!wait_until([&] { return vm->has_exited(); }) ||
		    vm->wait_status)
			ledger.report_violation(vm->ip +
						" did not exit cleanly");
}

} // namespace soak
