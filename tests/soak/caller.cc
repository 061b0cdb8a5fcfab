#include "caller.h"

namespace soak
{

namespace
{

constexpr int DEADLINE_MS = 2500;
constexpr int LOOKUP_MS = 1000;
constexpr auto KEEP = std::chrono::milliseconds(1500);
constexpr auto PAUSE = std::chrono::milliseconds(4);
/* One in so many leaves before its answer, and one in so many closes. */
constexpr unsigned LEAVES = 25;
constexpr unsigned CLOSES = 6;

std::string request_text(const RouteUse &route, const std::string &id,
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

/* What came back, told to the ledger; the status, or 0 without an answer. */
int take_answer(const std::string &answer, const std::string &id,
		Ledger &ledger)
{
	std::string named = header(answer, "X-Request-Id");
	int status;

	if (answer.size() < 12)
		return 0;
	status = std::stoi(answer.substr(9, 3));
	if (!named.empty() && named != id)
		ledger.foreign(id, named);
	ledger.answered(id, status, header(answer, "X-Server-Stamp"),
			body_of(answer));
	return status;
}

} // namespace

unsigned Caller::below(unsigned n)
{
	return std::uniform_int_distribution<unsigned>(0, n - 1)(random);
}

void Caller::look_up()
{
	for (int i = 0; i < 3; i++) {
		int at = dial(
			{ vms[below((unsigned)vms.size())], DIRECTORY_PORT },
			LOOKUP_MS);
		std::string left, text;

		if (at < 0)
			continue;
		if (send_all(at, "GET /v1/resolve?name=h.x&region=r&zone=z "
				 "HTTP/1.1\r\nHost: x\r\n\r\n"))
			text = body_of(read_message(at, left));
		close(at);
		known.clear();
		for (const std::string &vm : vms)
			if (text.find("\"" + vm + ":") != std::string::npos)
				known.push_back(vm);
		if (!known.empty()) {
			known_until = Clock::now() + KEEP;
			return;
		}
	}
}

bool Caller::connect()
{
	if (fd >= 0)
		return true;
	if (known.empty() || Clock::now() > known_until)
		look_up();
	if (known.empty())
		return false;
	rest.clear();
	fd = dial({ known[below((unsigned)known.size())], FRONT_PORT },
		  DEADLINE_MS);
	return fd >= 0;
}

void Caller::one_request()
{
	const RouteUse &route = routes[below((unsigned)routes.size())];
	std::string id =
		"c" + std::to_string(number) + "-" + std::to_string(++sent);
	std::string body;
	std::string answer;

	if (!connect())
		return;
	if (route.kind == Kind::Unsafe)
		body = std::string(1 + below(8000), (char)('a' + below(26)));
	ledger.sending(id, { route.kind, route.name, body, Clock::now() });
	if (send_all(fd, request_text(route, id, body)) && below(LEAVES))
		answer = read_message(fd, rest);
	if (!take_answer(answer, id, ledger) ||
	    header(answer, "Connection") == "close" || !below(CLOSES)) {
		close(fd);
		fd = -1;
	}
}

void Caller::run(const std::atomic<bool> &ending)
{
	while (!ending) {
		one_request();
		std::this_thread::sleep_for(PAUSE);
	}
	if (fd >= 0)
		close(fd);
}

int Caller::ask(const std::string &vm, const RouteUse &route,
		const std::string &id, Ledger &ledger)
{
	int at = dial({ vm, FRONT_PORT }, DEADLINE_MS);
	std::string left;
	int status = 0;

	if (at < 0)
		return 0;
	ledger.sending(id, { route.kind, route.name, "", Clock::now() });
	if (send_all(at, request_text(route, id, "")))
		status = take_answer(read_message(at, left), id, ledger);
	close(at);
	return status;
}

} // namespace soak
