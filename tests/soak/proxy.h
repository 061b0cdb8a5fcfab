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
 * directions, subject to the link mode. Dropped bytes are discarded without
 * telling either end, as on a link that is down.
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
	/* Returns false when the connection has to be closed. */
	bool forward_chunk(int to, const char *buf, ssize_t n, bool to_target)
	{
		LinkMode now = link_mode;

		if (now == LinkMode::Reset)
			return false;
		if (now == LinkMode::Delayed)
			usleep(150000);
		if (now == LinkMode::DropBoth ||
		    now == (to_target ? LinkMode::DropToTarget
				      : LinkMode::DropToCaller))
			return true;
		return send_all(to, std::string(buf, (size_t)n));
	}

	void pump(int from, int to, bool to_target)
	{
		char buf[16384];
		ssize_t n;

		while ((n = recv(from, buf, sizeof(buf), 0)) > 0)
			if (!forward_chunk(to, buf, n, to_target)) {
				set_reset_on_close(from);
				set_reset_on_close(to);
				break;
			}
		shutdown(from, SHUT_RDWR);
		shutdown(to, SHUT_RDWR);
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
