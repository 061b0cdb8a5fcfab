#include "world.h"

#include <algorithm>

namespace soak
{

namespace
{

constexpr auto BEAT = std::chrono::milliseconds(500);
/* A VM is held to bounds in time when nothing was wrong for so long. */
constexpr double TOUCH_S = 4;
/* Last request to a target after it said that it leaves, with room for a busy
 * machine. */
constexpr double DRAIN_S = 3;
constexpr int GRACE_S = 3;
constexpr double SERVED_AGAIN = 0.95;

} // namespace

World::World(const Options &o) : options(o), random(o.seed)
{
	/* A part of the loopback net for each process that runs this. */
	net = "127." + std::to_string(64 + getpid() % 64) + "." +
	      std::to_string(getpid() / 64 % 250) + ".";
	routes = { { "read", "/read/", Kind::Safe },
		   { "order", "/order/", Kind::Unsafe },
		   { "split", "/split/", Kind::Unsafe },
		   { "move", "/move/", Kind::Safe } };
	began = Clock::now();
}

World::~World()
{
	ending = true;
	for (auto &t : threads)
		t.join();
	vms.clear();
}

unsigned World::below(unsigned n)
{
	return std::uniform_int_distribution<unsigned>(0, n - 1)(random);
}

void World::tell(const std::string &what)
{
	char at[32];

	snprintf(at, sizeof(at), "%7.3f ", seconds(Clock::now() - began));
	story.push_back(at + what);
}

void World::later(unsigned ms, std::function<void()> what)
{
	undos.push_back({ Clock::now() + std::chrono::milliseconds(ms),
			  std::move(what) });
}

void World::undo_due(bool all)
{
	Time now = Clock::now();
	std::vector<Undo> due;
	auto is_due = [&](const Undo &u) { return all || u.at <= now; };

	std::copy_if(undos.begin(), undos.end(), std::back_inserter(due),
		     is_due);
	undos.erase(std::remove_if(undos.begin(), undos.end(), is_due),
		    undos.end());
	std::sort(due.begin(), due.end(),
		  [](const Undo &a, const Undo &b) { return a.at < b.at; });
	for (const Undo &u : due)
		u.what();
	if (!due.empty())
		calm_since = now;
}

/* Did the VM run on without a fault of its own since the time? */
bool World::was_calm_since(const std::string &ip, Time since) const
{
	for (const auto &vm : vms)
		if (vm->ip == ip)
			return vm->disturbed_at <
			       since.time_since_epoch().count();
	return false;
}

bool World::start_target(Place &place, const std::string &service)
{
	std::string id = "i-" + std::to_string(++instances);

	/* Of two faults that overlap, the other one's undoing came first. */
	if (place.target && !place.target->has_crashed())
		return true;
	if (place.target) {
		place.target->unregister();
		gone.push_back(std::move(place.target));
	}
	place.target = std::make_unique<Target>(
		TargetPlace{ id, service, place.zone, place.published,
			     place.real },
		*store, ledger, options.seed * 1000 + instances,
		[this, &place](const std::string &vm, Time since) {
			return !options.bounds ||
			       !place.proxy->was_clear_since(since) ||
			       !was_calm_since(vm, since);
		});
	return place.target->open();
}

void World::write_config()
{
	std::string rows =
		R"(["read","h.x","/read/","safe","2s","1s",1,3,"svc-a",null],)"
		R"(["order","h.x","/order/","unsafe","2s","1s",0,2,"svc-b",)"
		R"(null],["split","h.x","/split/","unsafe","2s","1s",1,2,null,)"
		R"([{"service":"svc-a","weight":)" +
		std::to_string(weight) + R"(},{"service":"svc-b","weight":)" +
		std::to_string(100 - weight) +
		R"(}]],["move","h.x","/move/","safe","2s","1s",2,2,")" +
		moving + R"(",null])";

	for (unsigned i = 1; i <= added; i++)
		rows += R"(,["new-)" + std::to_string(i) + R"(","h.x","/new-)" +
			std::to_string(i) +
			R"(/","safe","2s","1s",2,2,"svc-a",null])";
	ledger.allow("read", "svc-a");
	ledger.allow("order", "svc-b");
	ledger.allow("split", "svc-a");
	ledger.allow("split", "svc-b");
	ledger.allow("move", moving);
	ledger.allow("new-" + std::to_string(added), "svc-a");
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

void World::change_config()
{
	version += 1 + below(4);
	switch (below(3)) {
	case 0:
		moving = moving == "svc-a" ? "svc-b" : "svc-a";
		break;
	case 1:
		weight = 10 + below(80);
		break;
	default:
		added++;
		break;
	}
	write_config();
	tell("configuration " + std::to_string(version));
}

bool World::begin()
{
	store = std::make_unique<Store>(Address{ net + "250", 8500 });
	if (!store->open())
		return false;
	write_config();
	for (unsigned i = 0; i < options.targets; i++) {
		auto p = std::make_unique<Place>();

		p->zone = "z" + std::to_string(i % 2);
		p->published = { net + std::to_string(100 + i), 9000 };
		p->real = { net + std::to_string(100 + i), 9001 };
		p->proxy = std::make_unique<Proxy>(p->published, p->real);
		if (!p->proxy->open() ||
		    !start_target(*p, i % 2 ? "svc-b" : "svc-a"))
			return false;
		places.push_back(std::move(p));
	}
	for (unsigned i = 0; i < options.vms; i++)
		ips.push_back(net + std::to_string(1 + i));
	std::vector<std::string> seeds(
		ips.begin(), ips.begin() + std::min<long>(3, (long)ips.size()));
	for (unsigned i = 0; i < options.vms; i++) {
		vms.push_back(std::make_unique<Vm>(
			options.program, options.dir, ips[i],
			"z" + std::to_string(i % 2), store->address().text()));
		vms[i]->write_settings(seeds);
		vms[i]->start();
	}
	if (!becomes([this] { return vm_serves_newest(ips[0]); }))
		return false;
	calm_since = Clock::now();
	for (unsigned i = 0; i < options.callers; i++) {
		callers.push_back(std::make_unique<Caller>(
			i, ips, routes, ledger, options.seed * 77 + i));
		threads.emplace_back(
			[this, c = callers[i].get()] { c->run(ending); });
	}
	return true;
}

void World::beats()
{
	if (Clock::now() - beat_at < BEAT)
		return;
	beat_at = Clock::now();
	for (auto &p : places)
		p->target->beat();
}

/* Only where nothing was wrong for a while: then the bound holds. */
void World::check_drains()
{
	for (auto &p : places) {
		Clock::rep left = p->target->left_at;
		Clock::rep ran = p->target->last_run_at;

		if (!options.bounds || !left ||
		    seconds(Clock::now() - calm_since) < TOUCH_S + DRAIN_S)
			continue;
		if (seconds(Clock::duration(ran - left)) > DRAIN_S)
			ledger.broken(p->target->place.id +
				      " got a request after it had left");
	}
}

void World::fault_of_vm()
{
	Vm &vm = *vms[below((unsigned)vms.size())];
	unsigned ms = 200 + below(2500);

	switch (below(5)) {
	case 0:
		tell("kill " + vm.ip);
		vm.kill_now();
		later(ms, [&vm] { vm.start(); });
		break;
	case 1:
		tell("stop " + vm.ip);
		vm.send(SIGTERM);
		/* Another fault may have ended and started it meanwhile, or
		 * paused it, and the end of the run undoes this early. */
		later(GRACE_S * 1000, [this, &vm, start = vm.starts,
				       at = Clock::now()] {
			Time since = std::max(at, vm.resumed_at);

			if (!vm.has_ended() && start == vm.starts &&
			    !vm.paused &&
			    seconds(Clock::now() - since) >= GRACE_S &&
			    options.bounds)
				ledger.broken(vm.ip + " outlived its grace");
			vm.kill_now();
			vm.start();
		});
		break;
	case 2:
		tell("pause " + vm.ip + " " + std::to_string(ms));
		vm.send(SIGSTOP);
		later(ms, [&vm] { vm.send(SIGCONT); });
		break;
	case 3:
		tell("reload " + vm.ip);
		vm.write_settings({ ips[below((unsigned)ips.size())] });
		if (below(2))
			vm.send(SIGHUP);
		break;
	default:
		tell("kill many");
		for (unsigned i = 0; i < vms.size(); i += 2) {
			Vm &each = *vms[i];

			each.kill_now();
			later(ms + 50 * i, [&each] { each.start(); });
		}
		break;
	}
}

void World::fault_of_store()
{
	static const StoreMode modes[] = { StoreMode::Busy, StoreMode::Reset,
					   StoreMode::Silent, StoreMode::Slow,
					   StoreMode::Lost };
	unsigned which = below(6);
	std::set<std::string> some;

	if (which == 5) {
		tell("store forgets its history");
		store->forget_history();
		return;
	}
	if (below(2))
		for (const std::string &ip : ips)
			if (below(3) == 0)
				some.insert(ip);
	tell("store mode " + std::to_string(which) + " for " +
	     std::to_string(some.size()) + " VMs (0: all)");
	store->set_mode(modes[which], some);
	later(500 + below(3000), [this] { store->set_mode(StoreMode::Up); });
}

/* All targets of the service turn most requests away. */
void World::shed_service(const std::string &service, unsigned ms)
{
	tell("targets of " + service + " shed for " + std::to_string(ms));
	for (auto &p : places) {
		Target *t = p->target.get();

		if (t->place.service != service)
			continue;
		t->mode = Mode::Shed;
		later(ms, [t] { t->mode = Mode::Well; });
	}
}

void World::fault_of_target()
{
	Place &p = *places[below((unsigned)places.size())];
	std::string service = p.target->place.service;
	unsigned which = below(14);

	if (which == 13) {
		shed_service(service, 2000 + below(4000));
		return;
	}
	if (which >= 10) {
		static const Says words[] = { Says::Limit, Says::Leaving,
					      Says::Rest };
		Target *t = p.target.get();

		tell("target " + t->place.id + " says " +
		     std::to_string(which - 9));
		t->says = words[which - 10];
		/* One that has said that it leaves ends. */
		later(2000 + below(4000), [this, t, &p, service, which] {
			t->says = Says::Nothing;
			if (which != 11 || p.target.get() != t)
				return;
			p.target->crash();
			start_target(p, service);
		});
		return;
	}
	if (which < 7) {
		Mode mode = (Mode)(1 + which);
		Target *t = p.target.get();

		tell("target " + t->place.id + " mode " +
		     std::to_string((int)mode));
		t->mode = mode;
		later(500 + below(4000), [t] { t->mode = Mode::Well; });
		return;
	}
	if (which == 7) {
		tell("target " + p.target->place.id + " leaves");
		p.target->drain();
		later(5000, [this, &p, service] {
			p.target->crash();
			start_target(p, service);
		});
		return;
	}
	/* Crashed; its address goes to another service, or back to its own. */
	tell("target " + p.target->place.id + " crashes");
	p.target->crash();
	if (which == 9)
		service = service == "svc-a" ? "svc-b" : "svc-a";
	later(300 + below(2500),
	      [this, &p, service] { start_target(p, service); });
}

void World::fault_of_way()
{
	static const Way ways[] = { Way::Delayed, Way::Reset, Way::CutThere,
				    Way::CutBack, Way::Silent };
	Place &p = *places[below((unsigned)places.size())];
	unsigned which = below(5);

	tell("way to " + p.target->place.id + " " + std::to_string(which));
	p.proxy->set(ways[which]);
	later(300 + below(2500), [&p] { p.proxy->set(Way::Clear); });
}

void World::fault()
{
	if (options.refusals && below(4)) {
		fault_of_vm();
		calm_since = Clock::now();
		return;
	}
	switch (below(10)) {
	case 0:
	case 1:
	case 2:
		fault_of_vm();
		break;
	case 3:
	case 4:
		fault_of_store();
		break;
	case 5:
	case 6:
		fault_of_target();
		break;
	case 7:
	case 8:
		fault_of_way();
		break;
	default:
		change_config();
		return;
	}
	calm_since = Clock::now();
}

void World::play()
{
	Time end = Clock::now() + std::chrono::seconds(options.seconds);
	Time next = Clock::now();

	if (options.refusals)
		for (const char *service : { "svc-a", "svc-b" })
			shed_service(service, options.seconds * 1000);
	while (Clock::now() < end) {
		beats();
		undo_due(false);
		check_drains();
		if (Clock::now() >= next) {
			fault();
			/* In series that overlap, and now and then a rest. */
			next = Clock::now() +
			       std::chrono::milliseconds(below(8) ? below(600)
								  : 6000);
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
}

bool World::vm_serves_newest(const std::string &ip)
{
	static std::atomic<unsigned> asked{ 0 };
	RouteUse route{ "read", "/read/", Kind::Safe };

	if (added) {
		route.name = "new-" + std::to_string(added);
		route.prefix = "/" + route.name + "/";
	}
	/* A route that is not there yet is asked for in vain at first; that is
	 * told to a ledger of its own. */
	Ledger own;
	std::string id = "probe-" + std::to_string(++asked);

	ledger.sending(id, { route.kind, route.name, "", Clock::now() });
	return Caller::ask(ip, route, id, own) == 200;
}

/* Wait for what must come, for as long as a busy machine may need. */
bool World::becomes(const std::function<bool()> &what)
{
	for (int i = 0; i < 600; i++) {
		beats();
		if (what())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	return false;
}

void World::heal()
{
	undo_due(true);
	undo_due(true);
	tell("all is well again");
	added++;
	version++;
	write_config();
	for (const std::string &ip : ips)
		if (!becomes([&] { return vm_serves_newest(ip); }))
			ledger.broken(ip + " does not serve the newest route");
	bool served = becomes([this] {
		Time at = Clock::now();

		for (int i = 0; i < 20; i++) {
			beats();
			std::this_thread::sleep_for(
				std::chrono::milliseconds(100));
		}
		return ledger.served_since(at) >= SERVED_AGAIN;
	});
	if (!served)
		ledger.broken("requests are not served again");
}

void World::stop()
{
	ending = true;
	for (auto &t : threads)
		t.join();
	threads.clear();
	ledger.check_repeats();
	for (auto &vm : vms)
		vm->send(SIGTERM);
	for (auto &vm : vms)
		if (!becomes([&] { return vm->has_ended(); }) || vm->ended_with)
			ledger.broken(vm->ip + " did not end well");
}

} // namespace soak
