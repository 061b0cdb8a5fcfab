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
	/* Also check time bounds; these don't hold on a busy machine. */
	bool bounds = false;
	/* All targets reject most requests throughout, while VMs are
	 * disturbed. */
	bool refusals = false;
};

/* A target address behind a proxy; successive targets reuse it. */
struct TargetSlot {
	std::unique_ptr<Proxy> proxy;
	std::unique_ptr<FullListener> full;
	std::unique_ptr<Target> target;
	Address published, real;
	std::string zone;
};

/*
 * A deployment of real entry daemons and simulated peers with fault
 * injection from a seed. Each fault schedules its own revert; further faults
 * may start before that.
 */
class Cluster
{
      public:
	explicit Cluster(const Options &options);
	~Cluster();

	bool start_all();
	void run_faults();
	/* Reverts all faults and checks that the service recovers. */
	void recover();
	void stop();

	Ledger ledger;
	std::vector<std::string> event_log;

      private:
	struct Revert {
		Time at;
		std::function<void()> revert;
	};

	void log_event(const std::string &text);
	unsigned random_below(unsigned n);
	void schedule_revert(unsigned ms, std::function<void()> revert);
	void run_due_reverts(bool all);

	bool undisturbed_since(const std::string &ip, Time since) const;
	bool start_target(TargetSlot &slot, const std::string &service);
	void write_config();
	void send_heartbeats();
	void check_drains();

	void inject_fault();
	void inject_vm_fault();
	void cut_paths(unsigned ms);
	void inject_store_fault();
	void return_store_from_copy();
	void inject_target_fault();
	void shed_service(const std::string &service, unsigned ms);
	void inject_link_fault();
	void change_config();

	bool serves_newest_route(const std::string &ip);
	bool wait_until(const std::function<bool()> &condition);

	Options options;
	std::mt19937 random;
	Time began;
	std::string subnet;
	std::unique_ptr<Store> store;
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<std::string> ips;
	std::vector<std::unique_ptr<TargetSlot>> target_slots;
	/* Stopped targets, kept until the end since they may still be
	 * serving requests. */
	std::vector<std::unique_ptr<Target>> retired_targets;
	std::vector<Route> routes;
	std::vector<std::unique_ptr<Caller>> callers;
	std::vector<std::thread> threads;
	std::atomic<bool> stopping{ false };
	std::vector<Revert> reverts;
	unsigned instance_count = 0;
	unsigned version = 1;
	unsigned added_routes = 0;
	std::string move_service = "svc-a";
	unsigned weight = 30;
	Time last_change_at;
	Time last_heartbeat_at{};
};

} // namespace soak

#endif
