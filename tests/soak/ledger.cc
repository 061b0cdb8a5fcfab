#include "ledger.h"

namespace soak
{

std::string body_for(const std::string &id, const std::string &stamp)
{
	std::string text = "answer to " + id + " by " + stamp + "\n";

	/* Some are longer than a segment, so that a cut one shows. */
	if (id.back() % 4 == 0)
		text += std::string(20000, id.back());
	return text;
}

void Ledger::fail(const std::string &what)
{
	if (found.size() < 50)
		found.push_back(what);
}

void Ledger::broken(const std::string &what)
{
	std::lock_guard<std::mutex> lock(mutex);

	fail(what);
}

void Ledger::sending(const std::string &id, const Sent &sent)
{
	std::lock_guard<std::mutex> lock(mutex);

	fates[id].sent = sent;
}

void Ledger::allow(const std::string &route, const std::string &service)
{
	std::lock_guard<std::mutex> lock(mutex);

	allowed.insert({ route, service });
}

static bool says_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void Ledger::runs(const std::string &id, const Run &run,
		  const std::string &body)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto it = fates.find(id);

	if (it == fates.end()) {
		fail("a target ran " + id + ", which nobody sent");
		return;
	}
	Fate &fate = it->second;

	if (body != fate.sent.body)
		fail("a target got another body than " + id + " had");
	if (!allowed.count({ fate.sent.route, run.service }))
		fail(id + " on " + fate.sent.route + " ran at " + run.service +
		     ", where no configuration sends it");
	if (fate.sent.kind == Kind::Unsafe && !fate.runs.empty())
		fail(id + " must run once and ran at " + fate.runs[0].instance +
		     " and " + run.instance);
	if (fate.sent.kind == Kind::Unsafe && says_not_run(fate.status))
		fail(id + " ran after its caller was told " +
		     std::to_string(fate.status));
	fate.runs.push_back(run);
}

void Ledger::answered(const std::string &id, int status,
		      const std::string &stamp, const std::string &body)
{
	std::lock_guard<std::mutex> lock(mutex);
	Fate &fate = fates[id];
	bool known = false;

	counts[status]++;
	fate.status = status;
	if (says_not_run(status) && fate.sent.kind == Kind::Unsafe &&
	    !fate.runs.empty())
		fail(id + " has run, and its caller was told " +
		     std::to_string(status));
	if (status == 404 || status == 403 || status == 401)
		fail(id + " on " + fate.sent.route + " was told " +
		     std::to_string(status) +
		     ", and its route was always there");
	if (status / 100 != 2)
		return;
	for (const Run &run : fate.runs)
		known |= run.stamp == stamp && body == body_for(id, stamp);
	if (!known)
		fail(id + " got a success with stamp '" + stamp + "' and " +
		     std::to_string(body.size()) +
		     " bytes, which no target gave");
}

void Ledger::foreign(const std::string &id, const std::string &got)
{
	std::lock_guard<std::mutex> lock(mutex);

	fail(id + " got an answer to " + got);
}

std::vector<std::string> Ledger::failures()
{
	std::lock_guard<std::mutex> lock(mutex);

	return found;
}

std::map<int, unsigned> Ledger::statuses()
{
	std::lock_guard<std::mutex> lock(mutex);

	return counts;
}

double Ledger::served_since(Time at)
{
	std::lock_guard<std::mutex> lock(mutex);
	unsigned sent = 0;
	unsigned served = 0;

	for (const auto &[id, fate] : fates) {
		if (fate.sent.at < at)
			continue;
		sent++;
		served += fate.status / 100 == 2;
	}
	return sent ? (double)served / sent : -1;
}

} // namespace soak
