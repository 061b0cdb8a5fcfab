#include "ledger.h"

#include <algorithm>

namespace soak
{

std::string response_body(const std::string &id, const std::string &stamp)
{
	std::string text = "answer to " + id + " by " + stamp + "\n";

	/* Some bodies span several TCP segments, so that truncation is
	 * detected. */
	if (id.back() % 4 == 0)
		text += std::string(20000, id.back());
	return text;
}

void Ledger::add_violation(const std::string &message)
{
	if (recorded_violations.size() < 50)
		recorded_violations.push_back(message);
}

void Ledger::report_violation(const std::string &message)
{
	std::lock_guard<std::mutex> lock(mutex);

	add_violation(message);
}

void Ledger::record_sent(const std::string &id, const Sent &sent)
{
	std::lock_guard<std::mutex> lock(mutex);

	requests_by_id[id].sent = sent;
}

void Ledger::allow_route(const std::string &route, const std::string &service)
{
	std::lock_guard<std::mutex> lock(mutex);

	allowed.insert({ route, service });
}

static bool says_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void Ledger::record_arrival(const std::string &id, const std::string &service)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto it = requests_by_id.find(id);

	if (it == requests_by_id.end())
		return;
	if (it->second.service.empty())
		it->second.service = service;
	else
		repeats[service].push_back(Clock::now());
}

/* Send times of the requests per service, sorted. A request counts for the
 * service at which it first arrived or, if it never arrived, for the only
 * service of its route. */
std::map<std::string, std::vector<Time>> Ledger::requests_by_service()
{
	std::map<std::string, std::vector<Time>> requests;
	std::map<std::string, std::vector<std::string>> services;

	for (const auto &[route, service] : allowed)
		services[route].push_back(service);
	for (const auto &[id, record] : requests_by_id) {
		const auto &allowed_services = services[record.sent.route];

		if (!record.service.empty())
			requests[record.service].push_back(record.sent.at);
		else if (allowed_services.size() == 1)
			requests[allowed_services[0]].push_back(record.sent.at);
	}
	for (auto &[service, times] : requests)
		std::sort(times.begin(), times.end());
	return requests;
}

static long count_in(const std::vector<Time> &times, Time from)
{
	return std::lower_bound(times.begin(), times.end(),
				from + REPEAT_WINDOW) -
	       std::lower_bound(times.begin(), times.end(), from);
}

void Ledger::check_repeats()
{
	std::lock_guard<std::mutex> lock(mutex);
	auto requests = requests_by_service();

	for (const auto &[service, times] : repeats) {
		const auto &sent = requests[service];
		long worst_count = 0;
		double worst_allowed = 0;

		for (Time at : times) {
			long request_count = std::max(
				{ count_in(sent, at),
				  count_in(sent, at - REPEAT_WINDOW / 2),
				  count_in(sent, at - REPEAT_WINDOW) });
			double max_repeats =
				REPEAT_RATIO * (double)request_count +
				REPEAT_SLACK;
			long repeated = count_in(times, at);

			if ((double)repeated > max_repeats &&
			    repeated > worst_count) {
				worst_count = repeated;
				worst_allowed = max_repeats;
			}
		}
		if (worst_count)
			add_violation(service + ": " +
				      std::to_string(worst_count) +
				      " repeated arrivals in a window, "
				      "at most " +
				      std::to_string((long)worst_allowed) +
				      " are allowed");
	}
}

void Ledger::record_run(const std::string &id, const Run &run,
			const std::string &body)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto it = requests_by_id.find(id);

	if (it == requests_by_id.end()) {
		add_violation("a target ran " + id + ", which no caller sent");
		return;
	}
	RequestRecord &record = it->second;

	if (body != record.sent.body)
		add_violation("a target received a body for " + id +
			      " that its caller did not send");
	if (!allowed.count({ record.sent.route, run.service }))
		add_violation(id + " on " + record.sent.route + " ran at " +
			      run.service +
			      ", to which no configuration routes it");
	if (record.sent.kind == Kind::Unsafe && !record.runs.empty())
		add_violation(id + " must run at most once, but ran at " +
			      record.runs[0].instance + " and " + run.instance);
	if (record.sent.kind == Kind::Unsafe && says_not_run(record.status))
		add_violation(id + " ran after its caller received " +
			      std::to_string(record.status));
	record.runs.push_back(run);
}

void Ledger::record_response(const std::string &id, int status,
			     const std::string &stamp, const std::string &body)
{
	std::lock_guard<std::mutex> lock(mutex);
	RequestRecord &record = requests_by_id[id];
	bool sent_by_target = false;

	status_counts[status]++;
	record.status = status;
	if (says_not_run(status) && record.sent.kind == Kind::Unsafe &&
	    !record.runs.empty())
		add_violation(id + " had run when its caller received " +
			      std::to_string(status));
	if (status == 404 || status == 403 || status == 401)
		add_violation(id + " on " + record.sent.route + " got " +
			      std::to_string(status) +
			      " although its route is always configured");
	if (status / 100 != 2)
		return;
	for (const Run &run : record.runs)
		sent_by_target |=
			run.stamp == stamp && body == response_body(id, stamp);
	if (!sent_by_target)
		add_violation(id + " got a 2xx response with stamp '" + stamp +
			      "' and " + std::to_string(body.size()) +
			      " bytes, which no target sent");
}

void Ledger::record_mismatch(const std::string &id, const std::string &got)
{
	std::lock_guard<std::mutex> lock(mutex);

	add_violation(id + " got a response to " + got);
}

std::vector<std::string> Ledger::violations()
{
	std::lock_guard<std::mutex> lock(mutex);

	return recorded_violations;
}

std::map<int, unsigned> Ledger::statuses()
{
	std::lock_guard<std::mutex> lock(mutex);

	return status_counts;
}

double Ledger::success_share_since(Time at)
{
	std::lock_guard<std::mutex> lock(mutex);
	unsigned sent = 0;
	unsigned served = 0;

	for (const auto &[id, record] : requests_by_id) {
		if (record.sent.at < at)
			continue;
		sent++;
		served += record.status / 100 == 2;
	}
	return sent ? (double)served / sent : -1;
}

} // namespace soak
