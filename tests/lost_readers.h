#ifndef LOST_READERS_H
#define LOST_READERS_H

/* Ways in which the VMs that read the store are lost, for tests of the others.
 */
#include "store_fleet.h"

/* A way in which VMs are lost. */
struct Loss {
	const char *name;
	void (*lose)(soak::Vm &vm);
	/* What the others' paths to it are then, see cut_calls.c. */
	const char *peers;
};

const Loss LOSSES[] = {
	{ "Killed", [](soak::Vm &vm) { vm.kill_now(); }, "open" },
	{ "Suspended", [](soak::Vm &vm) { vm.send(SIGSTOP); }, "open" },
	{ "ToldToEnd", [](soak::Vm &vm) { vm.send(SIGTERM); }, "open" },
	{ "CutOff", [](soak::Vm &) {}, "cut" },
	{ "Restarted",
	  [](soak::Vm &vm) {
		  vm.kill_now();
		  vm.start();
	  },
	  "open" },
};

inline void PrintTo(const Loss &loss, std::ostream *out)
{
	*out << loss.name;
}

inline std::string name_of_loss(const testing::TestParamInfo<Loss> &loss)
{
	return loss.param.name;
}

class LostReaders : public StoreFleet, public testing::WithParamInterface<Loss>
{
      protected:
	LostReaders()
	{
		vm_count = 5;
	}

	void set_peers(unsigned vm, const std::string &state)
	{
		std::ofstream(dir + "/" + vms[vm]->ip + ".peers") << state;
	}

	void set_all_peers(const std::string &state)
	{
		for (unsigned i = 0; i < vms.size(); i++)
			set_peers(i, state);
	}

	void lose(const std::set<unsigned> &lost)
	{
		for (unsigned vm : lost)
			GetParam().lose(*vms[vm]);
		set_all_peers("open");
		for (unsigned vm : lost)
			set_peers(vm, GetParam().peers);
	}

	void SetUp() override
	{
		StoreFleet::SetUp();
		/* Seeds read at first, then those whose turn it is. */
		std::this_thread::sleep_for(std::chrono::seconds(1));
	}

	/* The VMs that read the store, by their last lines on that. */
	std::set<unsigned> readers()
	{
		std::set<unsigned> found;

		for (unsigned i = 0; i < vms.size(); i++) {
			std::string log = log_of(i);
			size_t at = log.rfind("event=reading-");

			if (at != std::string::npos &&
			    !log.compare(at, 20, "event=reading-begins"))
				found.insert(i);
		}
		return found;
	}
};

#endif
