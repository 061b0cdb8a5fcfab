#ifndef SOAK_TARGET_H
#define SOAK_TARGET_H

#include <random>

#include "ledger.h"
#include "net.h"
#include "notices.h"
#include "store.h"

namespace soak
{

enum class Mode { Well, Errors, Hang, Reset, Slow, Shed, Cut, Extra };

struct TargetPlace {
	std::string id;
	std::string service;
	std::string zone;
	Address published;
	Address real;
};

/* One start of a target: it registers, works, and keeps its own count. */
class Target
{
      public:
	Target(TargetPlace place, Store &store, Ledger &ledger, uint32_t seed,
	       Notices::Excused excused);

	bool open();
	/* Say again that it lives; call every second or so. */
	void beat();
	void drain();
	/* It ends without a word; its entry stays until somebody removes it. */
	void crash();
	void unregister();
	bool has_crashed();

	const TargetPlace place;
	std::atomic<Mode> mode{ Mode::Well };
	std::atomic<Says> says{ Says::Nothing };
	/* When the store took that it leaves; zero while it does not. */
	std::atomic<Clock::rep> left_at{ 0 };
	std::atomic<Clock::rep> last_run_at{ 0 };

      private:
	void serve(int fd, const std::string &vm);
	/* False when the connection is over. */
	bool handle(int fd, const std::string &request, const std::string &vm);
	bool work(int fd, const std::string &request, const std::string &id,
		  const std::string &vm);
	bool chance(double p);
	int work_ms();
	std::string stamped(const std::string &id, const std::string &stamp,
			    int status, const std::string &notice);

	Store &store;
	Ledger &ledger;
	Notices notices;
	std::mutex mutex;
	std::mt19937 random;
	std::atomic<int> running{ 0 };
	std::atomic<unsigned> runs{ 0 };
	unsigned sequence = 0;
	bool crashed = false;
	Listener listener;
};

} // namespace soak

#endif
