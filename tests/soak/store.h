#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "net.h"

namespace soak
{

enum class StoreMode { Up, Busy, Reset, Silent, Slow, Lost, Endless };

/*
 * Simulates the platform's key-value store for entry VMs: paged range reads,
 * watches by revision, and a history that can be compacted. A write made
 * through the methods is committed when the method returns. The store can
 * return from a copy: what was written since is lost, and its revisions are
 * given out again in a new era.
 */
class Store
{
      public:
	explicit Store(const Address &at)
	    : listener(at,
		       [this](int fd, const std::string &ip) { serve(fd, ip); })
	{
	}

	~Store()
	{
		{
			std::lock_guard<std::mutex> lock(mutex);

			stopping = true;
		}
		changed.notify_all();
		listener.shut();
	}

	bool open()
	{
		return listener.open();
	}

	const Address &address() const
	{
		return listener.address;
	}

	/* Returns the revision of the write. */
	uint64_t write(const std::string &key, const std::string &value);
	uint64_t remove(const std::string &key);
	void compact_history();
	/* Takes the copy that the store returns from later. */
	void take_copy();
	/* Returns from the copy. Watches that wait are cut or, if late isn't 0,
	 * answered that much later as the former era would have. */
	void return_from_copy(std::chrono::milliseconds late = {});
	/* Writes an item again as it was before the return. */
	void write_again(const std::string &key);
	/* Sets the text of the era in all answers from now on; empty: none. */
	void set_era_text(std::optional<std::string> text);
	/* Applies from now on to the VMs with these addresses; to all if
	 * empty. */
	void set_mode(StoreMode mode, std::set<std::string> vms = {});

	/* Returns the VMs that were sent the item since it was last written or,
	 * on the first call for its key, begins to note them. */
	std::set<std::string> vms_sent(const std::string &key);

	std::atomic<unsigned> calls{ 0 };

      private:
	struct Item {
		std::string value;
		uint64_t rev = 0;
	};
	struct Event {
		std::string key;
		Item item;
		bool removed = false;
	};

	void serve(int fd, const std::string &ip);
	std::string respond(const std::string &request);
	std::string range(const std::string &request);
	std::string watch(const std::string &request);
	std::string changes_since(uint64_t after, const std::string &prefix);
	std::string answer(int status, const std::string &body);
	StoreMode mode_for(const std::string &ip);
	void note_sent(const std::string &ip, const std::string &text);

	std::mutex mutex;
	std::condition_variable changed;
	std::map<std::string, Item> items;
	/* The VMs that were sent an item, for the keys that a test asks for. */
	std::map<std::string, std::set<std::string>> sent;
	std::deque<Event> history;
	uint64_t rev = 1;
	uint64_t compacted_rev = 0;
	uint64_t era = 1;
	std::optional<std::string> era_text;
	std::map<std::string, Item> copy, before_return;
	uint64_t copy_rev = 0;
	std::chrono::milliseconds late{};
	StoreMode mode = StoreMode::Up;
	std::set<std::string> affected_vms;
	bool stopping = false;
	Listener listener;
};

} // namespace soak

#endif
