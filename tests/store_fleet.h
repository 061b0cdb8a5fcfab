#ifndef STORE_FLEET_H
#define STORE_FLEET_H

/*
 * A fleet of real entry VMs over loopback, for tests of what they make of the
 * store's answers: two services with targets, and a route that moves between
 * them.
 */
#include <array>

#include "vm_fleet.h"

class StoreFleet : public VmFleet
{
      protected:
	static constexpr unsigned VMS = 4, TARGETS = 6;
	/* The targets from this one on are those of the second service. */
	static constexpr unsigned SECOND = 4;
	static constexpr uint16_t PORT = 9000;
	/* Within this time a change has to be in force. */
	static constexpr auto IN_FORCE = std::chrono::seconds(6);
	/* VMs tell each other every 40 ms what is in flight at targets, so for
	 * as long one may look busy to all of them. */
	static constexpr auto SEVERAL_REPORTS = std::chrono::milliseconds(250);

	unsigned vm_count = VMS;
	std::vector<std::unique_ptr<soak::Listener>> targets;
	std::array<std::atomic<unsigned>, TARGETS> arrivals{};
	std::mutex mutex;
	/* VMs that sent requests to the first target. */
	std::set<std::string> users;
	/* Organisations of the configuration, as rows; none if empty. */
	std::string organisations;

	void SetUp() override
	{
		ASSERT_NO_FATAL_FAILURE(open_store("store-fleet"));
		ASSERT_EQ(setenv("CUT_PATH_DIR", dir.c_str(), 1), 0);
		ASSERT_EQ(setenv("CUT_PEERS_DIR", dir.c_str(), 1), 0);
		write_config(1, "s1");
		for (unsigned i = 0; i < TARGETS; i++) {
			targets.push_back(std::make_unique<soak::Listener>(
				soak::Address{ net + std::to_string(100 + i),
					       PORT },
				[this, i](int fd, const std::string &vm) {
					serve(fd, i, vm);
				}));
			ASSERT_TRUE(targets[i]->open());
			write_target(i, "ready");
		}
		start_vms(vm_count);
		ASSERT_TRUE(eventually([&] { return all_serve("s1"); }));
	}

	void TearDown() override
	{
		close_all();
		targets.clear();
	}

	void serve(int fd, unsigned target, const std::string &vm)
	{
		std::string rest;

		for (;;) {
			std::string request = soak::read_message(fd, rest);

			if (request.empty())
				return;
			arrivals[target]++;
			if (!target) {
				std::lock_guard<std::mutex> lock(mutex);

				users.insert(vm);
			}
			std::string head =
				"X-Request-Id: " +
				soak::header(request, "X-Request-Id") +
				"\r\nX-Server-Stamp: s\r\n";

			if (!soak::send_all(fd, soak::http(200, head,
							   service_of(target))))
				return;
		}
	}

	static std::string service_of(unsigned target)
	{
		return target < SECOND ? "s1" : "s2";
	}

	/* Writes a configuration in which the route /moved/ goes to the
	 * service. */
	void write_config(unsigned version, const std::string &moved_to)
	{
		store->write(
			"op/config",
			R"({"version":)" + std::to_string(version) +
				R"(,"routes":{"columns":["name","host","prefix",)"
				R"("kind","timeout","targetLatency","priority",)"
				R"("maxAttempts","service"],"rows":[["r1","h.x",)"
				R"("/read/","safe","3s","1s",1,2,"s1"],["r2","h.x",)"
				R"("/moved/","safe","3s","1s",1,2,")" +
				moved_to + R"("]]},)" +
				(organisations.empty()
					 ? ""
					 : R"("tenants":{"columns":["name",)"
					   R"("apiKeys","ratePerS","burst"],)"
					   R"("rows":[)" +
						   organisations + "]},") +
				R"("services":{"columns":["name","healthPath",)"
				R"("maxConns"],"rows":[["s1","/health",90],["s2",)"
				R"("/health",90]]},"limits":{"maxHeaderBytes":4096,)"
				R"("maxBodyBytes":900000,"headerTimeout":"3s",)"
				R"("idleTimeout":"9s"}})");
	}

	static std::string key_of(unsigned target)
	{
		return "servers/i-" + std::to_string(target);
	}

	void write_target(unsigned target, const std::string &state,
			  unsigned sequence = 1)
	{
		store->write(
			key_of(target),
			R"({"address":")" + targets[target]->address.text() +
				R"(","info":{"service":")" +
				service_of(target) +
				R"(","version":"v","zone":"z0","slots":3},)"
				R"("status":{"state":")" +
				state + R"(","coldLeft":"0ms","sequence":)" +
				std::to_string(sequence) + "}}");
	}

	/* The service that handles the moved route at the VM, or "". */
	std::string moved_to(unsigned vm)
	{
		std::string answer = send_request(vm, "/moved/a");

		return answer.substr(0, 12) == "HTTP/1.1 200"
			       ? soak::body_of(answer)
			       : "";
	}

	bool all_serve(const std::string &service)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			if (moved_to(i) != service)
				return false;
		return true;
	}

	bool in_force(const std::string &service)
	{
		return eventually([&] { return all_serve(service); }, IN_FORCE);
	}

	void send_reads(unsigned count)
	{
		for (unsigned i = 0; i < count; i++)
			for (unsigned vm = 0; vm < vms.size(); vm++)
				status(vm, "/read/a");
	}

	/* Whether the target gets none of the VMs' requests. */
	bool unused(unsigned target)
	{
		unsigned before = arrivals[target];

		send_reads(10);
		return arrivals[target] == before;
	}

	/* Whether the target gets requests of the VMs, if not with each message
	 * between them about what is in flight there. */
	bool is_used(unsigned target)
	{
		return eventually([&] { return !unused(target); },
				  SEVERAL_REPORTS);
	}

	bool gets_no_more(unsigned target)
	{
		return eventually([&] { return unused(target); }, IN_FORCE);
	}

	/* Sends some reads to each VM. Returns whether all have sent one to the
	 * first target since the users were cleared. */
	bool all_use_first_target()
	{
		send_reads(5);
		std::lock_guard<std::mutex> lock(mutex);

		return users.size() == vm_count;
	}

	void restart(unsigned vm)
	{
		vms[vm]->kill_now();
		vms[vm]->start();
	}

	/* Cuts the VM off from all others, or ends that. */
	void set_cut_off(unsigned vm, bool cut)
	{
		std::ofstream(dir + "/" + vms[vm]->ip + ".peers")
			<< (cut ? "cut" : "open");
	}

	bool any_logs(const std::string &text)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			if (log_of(i).find(text) != std::string::npos)
				return true;
		return false;
	}

	bool all_log(const std::string &text)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			if (log_of(i).find(text) == std::string::npos)
				return false;
		return true;
	}
};

#endif
