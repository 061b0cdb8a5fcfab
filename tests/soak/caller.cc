#include "caller.h"

namespace soak
{

namespace
{

constexpr int DEADLINE_MS = 2500;
constexpr int LOOKUP_MS = 1000;
constexpr auto LOOKUP_TTL = std::chrono::milliseconds(1500);
constexpr auto PAUSE = std::chrono::milliseconds(4);
/* One request in ABANDON_ONE_IN is abandoned before its response; one
 * connection in CLOSE_ONE_IN is closed after a response. */
constexpr unsigned ABANDON_ONE_IN = 25;
constexpr unsigned CLOSE_ONE_IN = 6;

std::string request_text(const Route &route, const std::string &id,
			 const std::string &body)
{
	std::string text =
		(route.kind == Kind::Safe ? "GET " : "POST ") + route.prefix +
		id + " HTTP/1.1\r\nHost: h.x\r\nX-Request-Id: " + id +
		"\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS) + "\r\n";

	if (route.kind == Kind::Unsafe)
		text += "Content-Length: " + std::to_string(body.size()) +
			"\r\n";
	return text + "\r\n" + body;
}

/* Records the response in the ledger. Returns its status, or 0 without a
 * response. */
int report_response(const std::string &response, const std::string &id,
		    Ledger &ledger)
{
	std::string response_id = header(response, "X-Request-Id");
	int status;

	if (response.size() < 12)
		return 0;
	status = std::stoi(response.substr(9, 3));
	if (!response_id.empty() && response_id != id)
		ledger.record_mismatch(id, response_id);
	ledger.record_response(id, status, header(response, "X-Server-Stamp"),
			       body_of(response));
	return status;
}

} // namespace

unsigned Caller::random_below(unsigned n)
{
	return std::uniform_int_distribution<unsigned>(0, n - 1)(random);
}

void Caller::look_up()
{
	for (int i = 0; i < 3; i++) {
		int conn = dial({ vms[random_below((unsigned)vms.size())],
				  DIRECTORY_PORT },
				LOOKUP_MS);
		std::string left, text;

		if (conn < 0)
			continue;
		if (send_all(conn, "GET /v1/resolve?name=h.x&region=r&zone=z "
				   "HTTP/1.1\r\nHost: x\r\n\r\n"))
			text = body_of(read_message(conn, left));
		close(conn);
		resolved_vms.clear();
		for (const std::string &vm : vms)
			if (text.find("\"" + vm + ":") != std::string::npos)
				resolved_vms.push_back(vm);
		if (!resolved_vms.empty()) {
			resolved_until = Clock::now() + LOOKUP_TTL;
			return;
		}
	}
}

bool Caller::connect()
{
	if (fd >= 0)
		return true;
	if (resolved_vms.empty() || Clock::now() > resolved_until)
		look_up();
	if (resolved_vms.empty())
		return false;
	rest.clear();
	fd = dial({ resolved_vms[random_below((unsigned)resolved_vms.size())],
		    FRONT_PORT },
		  DEADLINE_MS);
	return fd >= 0;
}

void Caller::one_request()
{
	const Route &route = routes[random_below((unsigned)routes.size())];
	std::string id =
		"c" + std::to_string(number) + "-" + std::to_string(++sent);
	std::string body;
	std::string response;

	if (!connect())
		return;
	if (route.kind == Kind::Unsafe)
		body = std::string(1 + random_below(8000),
				   (char)('a' + random_below(26)));
	ledger.record_sent(id, { route.kind, route.name, body, Clock::now() });
	if (send_all(fd, request_text(route, id, body)) &&
	    random_below(ABANDON_ONE_IN))
		response = read_message(fd, rest);
	if (!report_response(response, id, ledger) ||
	    header(response, "Connection") == "close" ||
	    !random_below(CLOSE_ONE_IN)) {
		close(fd);
		fd = -1;
	}
}

void Caller::run(const std::atomic<bool> &stopping)
{
	while (!stopping) {
		one_request();
		std::this_thread::sleep_for(PAUSE);
	}
	if (fd >= 0)
		close(fd);
}

int Caller::send_single(const std::string &vm, const Route &route,
			const std::string &id, Ledger &ledger)
{
	int conn = dial({ vm, FRONT_PORT }, DEADLINE_MS);
	std::string left;
	int status = 0;

	if (conn < 0)
		return 0;
	ledger.record_sent(id, { route.kind, route.name, "", Clock::now() });
	if (send_all(conn, request_text(route, id, "")))
		status = report_response(read_message(conn, left), id, ledger);
	close(conn);
	return status;
}

} // namespace soak
