#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net.h"

namespace soak
{

/* What the way to a target does to the bytes on it. */
enum class Way { Clear, Delayed, Reset, CutThere, CutBack, Silent };

/*
 * Stands on the published address of a target and hands bytes on, or does not.
 * A cut way swallows: neither end is told, as on a link that is down.
 */
class Proxy
{
      public:
	Proxy(const Address &at, Address target)
	    : listener(at,
		       [this](int fd, const std::string &from) {
			       carry(fd, from);
		       }),
	      behind(std::move(target))
	{
	}

	bool open()
	{
		return listener.open();
	}

	void set(Way next)
	{
		changed_at = Clock::now().time_since_epoch().count();
		way = next;
	}

	/* Was all passed on as it came since the time? */
	bool was_clear_since(Time at) const
	{
		return way == Way::Clear &&
		       changed_at < at.time_since_epoch().count();
	}

      private:
	/* False when the connection is to end. */
	bool pass(int to, const char *buf, ssize_t n, bool there)
	{
		Way now = way;

		if (now == Way::Reset)
			return false;
		if (now == Way::Delayed)
			usleep(150000);
		if (now == Way::Silent ||
		    now == (there ? Way::CutThere : Way::CutBack))
			return true;
		return send_all(to, std::string(buf, (size_t)n));
	}

	void pump(int from, int to, bool there)
	{
		char buf[16384];
		ssize_t n;

		while ((n = recv(from, buf, sizeof(buf), 0)) > 0)
			if (!pass(to, buf, n, there)) {
				reset(from);
				reset(to);
				break;
			}
		shutdown(from, SHUT_RDWR);
		shutdown(to, SHUT_RDWR);
	}

	void carry(int caller, const std::string &from)
	{
		int fd = dial(behind, 20000, from);

		if (fd < 0 || way == Way::Reset) {
			reset(caller);
			if (fd >= 0)
				close(fd);
			return;
		}
		std::thread back([&] { pump(fd, caller, false); });
		pump(caller, fd, true);
		back.join();
		close(fd);
	}

	std::atomic<Way> way{ Way::Clear };
	std::atomic<Clock::rep> changed_at{ 0 };
	Listener listener;
	Address behind;
};

} // namespace soak

#endif
