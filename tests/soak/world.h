#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <functional>
#include <memory>
#include <random>

#include "caller.h"
#include "proxy.h"
#include "target.h"

namespace soak
{

struct Options {
	std::string program;
	std::string dir;
	uint32_t seed = 1;
	unsigned vms = 8;
	unsigned targets = 12;
	unsigned callers = 16;
	unsigned seconds = 10;
	/* Hold what is bound in time as well; not where the machine is busy. */
	bool bounds = false;
	/* Targets turn requests away all the while, as VMs are disturbed. */
	bool refusals = false;
};

/* An address that targets follow each other on, behind a proxy. */
struct Place {
	std::unique_ptr<Proxy> proxy;
	std::unique_ptr<Target> target;
	Address published, real;
	std::string zone;
};

/*
 * A deployment of real processes and stand-ins, with faults from a seed. Every
 * fault has an undoing, which is due later; others begin meanwhile.
 */
class World
{
      public:
	explicit World(const Options &options);
	~World();

	bool begin();
	void play();
	/* Undo all faults and see that everything is served again. */
	void heal();
	void stop();

	Ledger ledger;
	std::vector<std::string> story;

      private:
	struct Undo {
		Time at;
		std::function<void()> what;
	};

	void tell(const std::string &what);
	unsigned below(unsigned n);
	void later(unsigned ms, std::function<void()> what);
	void undo_due(bool all);

	bool was_calm_since(const std::string &ip, Time since) const;
	bool start_target(Place &place, const std::string &service);
	void write_config();
	void beats();
	void check_drains();

	void fault();
	void fault_of_vm();
	void fault_of_store();
	void fault_of_target();
	void shed_service(const std::string &service, unsigned ms);
	void fault_of_way();
	void change_config();

	bool vm_serves_newest(const std::string &ip);
	bool becomes(const std::function<bool()> &what);

	Options options;
	std::mt19937 random;
	Time began;
	std::string net;
	std::unique_ptr<Store> store;
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<std::string> ips;
	std::vector<std::unique_ptr<Place>> places;
	/* Targets that are gone, kept until the end: runs may still be open. */
	std::vector<std::unique_ptr<Target>> gone;
	std::vector<RouteUse> routes;
	std::vector<std::unique_ptr<Caller>> callers;
	std::vector<std::thread> threads;
	std::atomic<bool> ending{ false };
	std::vector<Undo> undos;
	unsigned instances = 0;
	unsigned version = 1;
	unsigned added = 0;
	std::string moving = "svc-a";
	unsigned weight = 30;
	Time calm_since;
	Time beat_at{};
};

} // namespace soak

#endif
