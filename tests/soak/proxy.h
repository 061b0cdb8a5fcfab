#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net.h"

namespace soak
{

/* What the proxy does to the bytes on the link to a target. */
enum class LinkMode {
	Normal,
	Delayed,
	Reset,
	DropToTarget,
	DropToCaller,
	DropBoth
};

/*
 * Listens on the published address of a target and forwards bytes in both
 * directions, subject to the link mode. A direction of a connection in which
 * bytes were dropped forwards nothing more, and the connection ends with a
 * reset, since TCP delivers no data after a gap.
 */
class Proxy
{
      public:
	Proxy(const Address &at, Address target)
	    : listener(at,
		       [this](int fd, const std::string &from) {
			       relay(fd, from);
		       }),
	      target_address(std::move(target))
	{
	}

	bool open()
	{
		return listener.open();
	}

	void set(LinkMode next)
	{
		changed_at = Clock::now().time_since_epoch().count();
		link_mode = next;
	}

	/* Whether everything has been forwarded unchanged since the time. */
	bool was_normal_since(Time at) const
	{
		return link_mode == LinkMode::Normal &&
		       changed_at < at.time_since_epoch().count();
	}

      private:
	bool drops(bool to_target) const
	{
		LinkMode now = link_mode;

		return now == LinkMode::DropBoth ||
		       now == (to_target ? LinkMode::DropToTarget
					 : LinkMode::DropToCaller);
	}

	/* Returns false when the connection has to be reset. */
	bool forward_chunk(int to, const char *buf, ssize_t n)
	{
		if (link_mode == LinkMode::Reset)
			return false;
		if (link_mode == LinkMode::Delayed)
			usleep(150000);
		return send_all(to, std::string(buf, (size_t)n));
	}

	void pump(int from, int to, bool to_target)
	{
		bool dropped = false;
		bool refused = false;
		char buf[16384];
		ssize_t n = 0;

		while (!refused && (n = recv(from, buf, sizeof(buf), 0)) > 0) {
			dropped |= drops(to_target);
			refused = !dropped && !forward_chunk(to, buf, n);
		}
		if (dropped || refused || (n < 0 && errno != EAGAIN)) {
			reset(from);
			reset(to);
		} else {
			shutdown(from, SHUT_RDWR);
			shutdown(to, SHUT_RDWR);
		}
	}

	void relay(int caller, const std::string &from)
	{
		int fd = dial(target_address, 20000, from);

		if (fd < 0 || link_mode == LinkMode::Reset) {
			set_reset_on_close(caller);
			if (fd >= 0)
				close(fd);
			return;
		}
		std::thread back([&] { pump(fd, caller, false); });
		pump(caller, fd, true);
		back.join();
		close(fd);
	}

	std::atomic<LinkMode> link_mode{ LinkMode::Normal };
	std::atomic<Clock::rep> changed_at{ 0 };
	Listener listener;
	Address target_address;
};

} // namespace soak

#endif
