#ifndef SOAK_TARGET_H
#define SOAK_TARGET_H

#include <random>

#include "ledger.h"
#include "net.h"
#include "notices.h"
#include "store.h"

namespace soak
{

enum class Mode {
	Healthy,
	Errors,
	Hang,
	Reset,
	Slow,
	Shed,
	Cut,
	Extra,
	EndlessHead,
	EndlessBody,
};

/* Modes in which a target is faulty. */
constexpr unsigned FAULTY_MODES = (unsigned)Mode::EndlessBody;

struct TargetConfig {
	std::string id;
	std::string service;
	std::string zone;
	Address published;
	Address real;
};

/* One instance of a target: registers itself, executes requests and records
 * each execution. */
class Target
{
      public:
	Target(TargetConfig config, Store &store, Ledger &ledger, uint32_t seed,
	       NoticeChecker::MayHaveMissed may_have_missed);

	bool open();
	/* Renews the registration; call about once a second. */
	void heartbeat();
	void drain();
	/* Stops without deregistering; the entry stays in the store until
	 * it is removed. */
	void crash();
	void unregister();
	bool has_crashed();

	const TargetConfig config;
	std::atomic<Mode> mode{ Mode::Healthy };
	std::atomic<Notice> current_notice{ Notice::None };
	/* When the store accepted the draining state; zero before. */
	std::atomic<Clock::rep> draining_since{ 0 };
	std::atomic<Clock::rep> last_run_at{ 0 };

      private:
	void serve(int fd, const std::string &vm);
	/* Returns false when the connection has to be closed. */
	bool handle(int fd, const std::string &request, const std::string &vm);
	bool work(int fd, const std::string &request, const std::string &id,
		  const std::string &vm);
	/* Answers without an end while the mode lasts. */
	void answer_without_end(int fd, Mode now, const std::string &id,
				const std::string &stamp);
	bool chance(double p);
	int work_ms();
	std::string make_response(const std::string &id,
				  const std::string &stamp, int status,
				  const std::string &notice);

	Store &store;
	Ledger &ledger;
	NoticeChecker notices;
	std::mutex mutex;
	std::mt19937 random;
	std::atomic<int> running{ 0 };
	std::atomic<unsigned> run_count{ 0 };
	unsigned sequence = 0;
	bool crashed = false;
	Listener listener;
};

} // namespace soak

#endif
