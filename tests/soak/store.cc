#include "store.h"

extern "C" {
#include <glib.h>
}

namespace soak
{

namespace
{

constexpr size_t PAGE = 20;
constexpr int SLOW_MS = 240;

std::string base64(const std::string &text)
{
	g_autofree char *out = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());

	return out;
}

std::string query(const std::string &request, const std::string &name)
{
	size_t end = request.find(" HTTP/");
	size_t at = request.find(name + "=");

	if (at == std::string::npos || at > end)
		return "";
	at += name.size() + 1;
	g_autofree char *text = g_uri_unescape_string(
		request.substr(at, request.find_first_of("& ", at) - at)
			.c_str(),
		nullptr);

	return text ? text : "";
}

uint64_t number(const std::string &text)
{
	return text.empty() ? 0 : std::stoull(text);
}

std::string item_json(const std::string &key, const std::string &value,
		      uint64_t rev)
{
	return R"({"key":")" + key + R"(","value":")" + base64(value) +
	       R"(","rev":)" + std::to_string(rev) +
	       R"(,"createRevision":1,"lease":0})";
}

} // namespace

uint64_t Store::write(const std::string &key, const std::string &value)
{
	std::lock_guard<std::mutex> lock(mutex);

	items[key] = { value, ++rev };
	if (sent.count(key))
		sent[key].clear();
	history.push_back({ key, items[key], false });
	changed.notify_all();
	return rev;
}

uint64_t Store::remove(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex);

	if (!items.erase(key))
		return rev;
	++rev;
	history.push_back({ key, { "", rev }, true });
	changed.notify_all();
	return rev;
}

std::set<std::string> Store::vms_sent(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex);

	return sent[key];
}

void Store::note_sent(const std::string &ip, const std::string &text)
{
	std::lock_guard<std::mutex> lock(mutex);

	for (auto &[key, vms] : sent) {
		const Item &item = items[key];

		if (text.find(item_json(key, item.value, item.rev)) !=
		    std::string::npos)
			vms.insert(ip);
	}
}

void Store::compact_history()
{
	std::lock_guard<std::mutex> lock(mutex);

	history.clear();
	compacted_rev = rev;
	changed.notify_all();
}

void Store::take_copy()
{
	std::lock_guard<std::mutex> lock(mutex);

	copy = items;
	copy_rev = rev;
}

void Store::return_from_copy(std::chrono::milliseconds answer_late)
{
	std::lock_guard<std::mutex> lock(mutex);

	before_return = items;
	items = copy;
	rev = compacted_rev = copy_rev;
	history.clear();
	late = answer_late;
	era++;
	changed.notify_all();
}

void Store::write_again(const std::string &key)
{
	std::unique_lock<std::mutex> lock(mutex);
	auto found = before_return.find(key);

	if (found == before_return.end())
		return;
	std::string value = found->second.value;

	lock.unlock();
	write(key, value);
}

void Store::set_era_text(std::optional<std::string> text)
{
	std::lock_guard<std::mutex> lock(mutex);

	era_text = std::move(text);
}

/* An answer with the era in its head. */
std::string Store::answer(int status, const std::string &body)
{
	std::string text = era_text.value_or(std::to_string(era));

	return http(status,
		    "Content-Type: application/json\r\n" +
			    (text.empty() ? "" : "Store-Era: " + text + "\r\n"),
		    body);
}

void Store::set_mode(StoreMode m, std::set<std::string> vms)
{
	std::lock_guard<std::mutex> lock(mutex);

	mode = m;
	affected_vms = std::move(vms);
}

StoreMode Store::mode_for(const std::string &ip)
{
	std::lock_guard<std::mutex> lock(mutex);

	return affected_vms.empty() || affected_vms.count(ip) ? mode
							      : StoreMode::Up;
}

std::string Store::range(const std::string &request)
{
	std::string prefix = query(request, "prefix");
	std::string after = query(request, "after");
	std::lock_guard<std::mutex> lock(mutex);
	std::string rows;
	size_t n = 0;
	bool more = false;

	for (const auto &[key, item] : items) {
		if (key.compare(0, prefix.size(), prefix) || key <= after)
			continue;
		if (n == PAGE) {
			more = true;
			break;
		}
		rows += (n++ ? "," : "") + item_json(key, item.value, item.rev);
	}
	return answer(200, R"({"items":[)" + rows + R"(],"hasMore":)" +
				   (more ? "true" : "false") + R"(,"asOf":)" +
				   std::to_string(rev) + "}");
}

std::string Store::changes_since(uint64_t after, const std::string &prefix)
{
	std::string rows;

	for (const Event &e : history) {
		if (e.item.rev <= after ||
		    e.key.compare(0, prefix.size(), prefix))
			continue;
		if (!rows.empty())
			rows += ",";
		if (e.removed)
			rows += R"({"key":")" + e.key + R"(","rev":)" +
				std::to_string(e.item.rev) +
				R"(,"removed":true})";
		else
			rows += item_json(e.key, e.item.value, e.item.rev);
	}
	return answer(200, R"({"events":[)" + rows + R"(],"asOf":)" +
				   std::to_string(rev) + "}");
}

/* Returns "" if the watch is cut. */
std::string Store::watch(const std::string &request)
{
	std::string prefix = query(request, "prefix");
	uint64_t after = number(query(request, "after"));
	std::chrono::milliseconds wait(number(query(request, "waitMs")));
	std::unique_lock<std::mutex> lock(mutex);
	std::string unchanged = changes_since(after, prefix);
	uint64_t era_before = era;

	if (after < compacted_rev || after > rev)
		return answer(410, "");
	changed.wait_for(lock, wait, [&] {
		return stopping || rev > after || era != era_before;
	});
	if (era == era_before)
		return after < compacted_rev ? answer(410, "")
					     : changes_since(after, prefix);
	std::chrono::milliseconds by = late;

	lock.unlock();
	std::this_thread::sleep_for(by);
	return by.count() ? unchanged : "";
}

std::string Store::respond(const std::string &request)
{
	if (request.rfind("GET /v1/kv-range?", 0) == 0)
		return range(request);
	if (request.rfind("GET /v1/kv-watch?", 0) == 0)
		return watch(request);
	return http(404, "", "");
}

void Store::serve(int fd, const std::string &ip)
{
	std::string rest;

	for (;;) {
		std::string request = read_message(fd, rest);
		StoreMode now = mode_for(ip);
		std::string text;

		if (request.empty())
			return;
		calls++;
		if (now == StoreMode::Reset) {
			set_reset_on_close(fd);
			return;
		}
		if (now == StoreMode::Endless) {
			send_without_end(fd, "HTTP/1.1 200 X\r\n\r\n",
					 std::string(16384, ' '), 2000,
					 [&] { return mode_for(ip) == now; });
			return;
		}
		if (now == StoreMode::Silent)
			continue;
		if (now == StoreMode::Slow)
			usleep(SLOW_MS * 1000);
		text = now == StoreMode::Busy ? http(503, "", "")
					      : respond(request);
		if (text.empty())
			return;
		/* A lost response also blocks all later ones on its
		 * connection. */
		if (now == StoreMode::Lost)
			continue;
		if (!send_all(fd, text))
			return;
		note_sent(ip, text);
	}
}

} // namespace soak
