#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "dialect.h"
#include "error.h"
#include "message.h"
#include "notice.h"
#include "organisation.h"
#include "platform.h"
#include "revision.h"
}

namespace
{

struct Page {
	store_page page{};
	tr_error err{};

	Page()
	{
		store_page_init(&page);
	}

	~Page()
	{
		store_page_clear(&page);
	}

	int read(const std::string &text)
	{
		return platform_dialect.parse_page(text.data(), text.size(),
						   &page, &err);
	}

	store_item *item(guint i)
	{
		return &g_array_index(page.items, store_item, i);
	}
};

std::string base64(const std::string &text)
{
	g_autofree char *out = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());

	return out;
}

store_item item_of(const char *key, std::string &text)
{
	store_item item{};

	item.key = const_cast<char *>(key);
	item.value = &text[0];
	item.value_len = text.size();
	item.revision = 5;
	return item;
}

const char *const CONFIG =
	R"({"version":7,"routes":{"columns":["name","host","prefix","kind",)"
	R"("timeout","targetLatency","priority","trafficSplit","maxAttempts",)"
	R"("service"],"rows":[["r1","h.example","/a/","safe","1500ms",)"
	R"("1000ms",2,[{"service":"s1","weight":90},{"service":"s2",)"
	R"("weight":10}],2,null],["r2","h.example","/b/","unsafe","2s",)"
	R"("1000ms",1,null,2,"s2"]]},"services":{"columns":["name",)"
	R"("healthPath","maxConns"],"rows":[["s1","/health",330],)"
	R"(["s2","/health",330]]},"limits":{"maxHeaderBytes":16384,)"
	R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
	R"("idleTimeout":"15000ms"}})";

TEST(Platform, ReadsAListing)
{
	Page p;

	ASSERT_EQ(p.read(R"({"items":[{"key":"servers/i-1","value":")" +
			 base64("hello") +
			 R"(","rev":9,"createRevision":1,"lease":3}],)"
			 R"("hasMore":true,"asOf":530})"),
		  0);
	EXPECT_EQ(p.page.as_of, 530u);
	EXPECT_TRUE(p.page.has_more);
	ASSERT_EQ(p.page.items->len, 1u);
	EXPECT_STREQ(p.item(0)->key, "servers/i-1");
	EXPECT_EQ(p.item(0)->revision, 9u);
	EXPECT_EQ(std::string(p.item(0)->value, p.item(0)->value_len), "hello");
}

TEST(Platform, ReadsChanges)
{
	Page p;

	ASSERT_EQ(p.read(R"({"events":[{"key":"servers/i-1","rev":10,)"
			 R"("removed":true}],"asOf":11})"),
		  0);
	EXPECT_TRUE(p.item(0)->removed);
	EXPECT_FALSE(p.page.has_more);
}

/*
 * Guards against losing all targets when the store answers 200 with half a page
 * or with something else, and what can't be parsed is taken for an empty list.
 */
/* An answer with that text as its era, or without one. */
int parse_era(const char *text, uint32_t *era, tr_error *err)
{
	std::string head = "HTTP/1.1 200 OK\r\n";
	message answer{};
	int result;

	if (text)
		head += std::string("Store-Era: ") + text + "\r\n";
	head += "Content-Length: 0\r\n\r\n";
	message_init(&answer, HTTP_RESPONSE, 1000, 1000);
	message_feed(&answer, head.data(), head.size());
	result = platform_dialect.parse_era(&answer, era, err);
	message_free(&answer);
	return result;
}

TEST(Platform, ReadsTheErasOfAnswers)
{
	uint32_t era = 0;
	tr_error err{};

	EXPECT_EQ(parse_era("0", &era, &err), 0);
	EXPECT_EQ(era, 1u);
	EXPECT_EQ(parse_era("41", &era, &err), 0);
	EXPECT_EQ(era, 42u);
	EXPECT_EQ(parse_era(nullptr, &era, &err), 0);
	EXPECT_EQ(era, TR_ERA_UNKNOWN);
}

TEST(Platform, ErasThatAreNoNumbersAreRejectedWithAReason)
{
	for (const char *text :
	     { "", "x", "-1", "1.5", "2 3", "65535", "99999999999999999999" }) {
		uint32_t era = 7;
		tr_error err{};

		EXPECT_EQ(parse_era(text, &era, &err), -1) << text;
		EXPECT_EQ(era, TR_ERA_UNKNOWN) << text;
		EXPECT_STREQ(err.field, "Store-Era") << text;
		EXPECT_NE(std::string(err.expected).find("whole number"),
			  std::string::npos)
			<< text;
	}
}

/* Guards against numbers that would pass for those of another era. */
TEST(Platform, RevisionsThatAreTooLargeAreRejected)
{
	for (const char *as_of : { "281474976710656", "-1" }) {
		Page p;

		EXPECT_EQ(p.read(std::string(R"({"items":[],"asOf":)") + as_of +
				 "}"),
			  -1)
			<< as_of;
	}
}

/* Guards against a page that is refused, or a target that is changed, because
 * of an entry whose key holds a NUL. */
TEST(Platform, AnEntryWithANulInItsKeyIsLeftOut)
{
	Page p;

	ASSERT_EQ(p.read(R"({"items":[{"key":"servers/i-1\u0000x","rev":8,)"
			 R"("value":"aGVsbG8="},{"key":"op/config\u0000",)"
			 R"("rev":8,"value":"aGVsbG8="},{"key":"servers/i-1",)"
			 R"("rev":9,"value":"aGVsbG8="}],"asOf":530})"),
		  0);
	ASSERT_EQ(p.page.items->len, 1u);
	EXPECT_EQ(p.item(0)->revision, 9u);
}

TEST(Platform, InvalidPagesAreRejectedWithAReason)
{
	const char *const wrong[] = {
		"",
		"[]",
		"{\"items\":[",
		"{\"items\":{},\"asOf\":1}",
		"{\"items\":[]}",
		"{\"items\":[{\"key\":1}],\"asOf\":1}",
		"{\"items\":[{\"key\":\"k\",\"rev\":1}],\"asOf\":1}",
	};

	for (const char *text : wrong) {
		Page p;

		EXPECT_EQ(p.read(text), -1) << text;
		EXPECT_STRNE(p.err.expected, "") << text;
	}
}

TEST(Platform, ReadsATarget)
{
	std::string text =
		R"({"address":"10.1.0.9:80","info":{"service":"s1",)"
		R"("version":"v1","zone":"z","slots":3},"status":)"
		R"({"state":"draining","sequence":4,"coldLeft":"1.5s"}})";
	store_item item = item_of("servers/i-7f", text);
	tr_target_record r;
	tr_error err{};

	ASSERT_EQ(platform_dialect.parse_target(&item, &r, &err), 0);
	EXPECT_STREQ(r.id, "i-7f");
	EXPECT_STREQ(r.service, "s1");
	EXPECT_STREQ(r.data_centre, "z");
	EXPECT_EQ(r.slots, 3u);
	EXPECT_TRUE(r.leaving);
	EXPECT_EQ(r.cold_for, 1500000);
	EXPECT_EQ(r.revision, 5u);
}

TEST(Platform, ATargetWithoutAnAddressIsRefused)
{
	std::string text = R"({"info":{"service":"s1","zone":"z"},)"
			   R"("status":{"state":"ready"}})";
	store_item item = item_of("servers/i-7f", text);
	tr_target_record r;
	tr_error err{};

	EXPECT_EQ(platform_dialect.parse_target(&item, &r, &err), -1);
	EXPECT_STREQ(err.field, "address");
}

/* A record as targets write it, with one part of its text replaced. */
std::string record_with(const std::string &old_text,
			const std::string &new_text)
{
	std::string text =
		R"({"born":1782630203067,"address":"10.1.0.9:80","info":)"
		R"({"service":"s1","version":"v1","zone":"z","slots":3},)"
		R"("status":{"state":"ready","sequence":4,"coldLeft":"0ms"}})";
	size_t at = text.find(old_text);

	EXPECT_NE(at, std::string::npos) << old_text;
	return text.replace(at, old_text.size(), new_text);
}

TEST(Platform, ReadsWhenATargetStarted)
{
	std::string text = record_with("v1", "v2");
	store_item item = item_of("servers/i-7f", text);
	tr_target_record r;
	tr_error err{};

	ASSERT_EQ(platform_dialect.parse_target(&item, &r, &err), 0);
	EXPECT_EQ(r.born, 1782630203067u);
}

/*
 * Guards against requests to addresses without a target, when another program
 * writes below the targets' keys and a missing field or one of another type is
 * taken for zero or for ready.
 */
TEST(Platform, RecordsOfOtherProgramsAreRejected)
{
	const struct {
		const char *old_text;
		const char *new_text;
		const char *field;
	} wrong[] = {
		{ R"("born":1782630203067)", R"("born":"1782630203067")",
		  "born" },
		{ R"("born":1782630203067)", R"("born":1782630203.5)", "born" },
		{ R"("born":1782630203067)", R"("born":null)", "born" },
		{ R"("born":1782630203067)", R"("born":-4)", "born" },
		{ "10.1.0.9:80", "10.1.0.9", "address" },
		{ "10.1.0.9:80", "10.1.0.9:0", "address" },
		{ "10.1.0.9:80", "10.1.0.9:-1", "address" },
		{ "10.1.0.9:80", "10.1.0.9:70000", "address" },
		{ "10.1.0.9:80", "10.1.0.9:18446744073709551696", "address" },
		{ "10.1.0.9:80", "10.1.0.9:80x", "address" },
		{ "10.1.0.9:80", "10.1.0.900:80", "address" },
		{ "10.1.0.9:80", "host.example:80", "address" },
		{ R"("service":"s1",)", "", "service" },
		{ R"("service":"s1")", R"("service":7)", "service" },
		{ R"("version":"v1",)", "", "version" },
		{ R"("zone":"z")", R"("zone":["z"])", "zone" },
		{ R"("slots":3)", R"("slots":"3")", "slots" },
		{ R"("slots":3)", R"("slots":0)", "slots" },
		{ R"("slots":3)", R"("slots":-3)", "slots" },
		{ R"("slots":3)", R"("slots":9000000000)", "slots" },
		{ R"("state":"ready")", R"("state":"resting")", "state" },
		{ R"("state":"ready")", R"("state":true)", "state" },
		{ R"("sequence":4,)", "", "sequence" },
		{ R"(,"coldLeft":"0ms")", "", "coldLeft" },
		{ R"("coldLeft":"0ms")", R"("coldLeft":0)", "coldLeft" },
		{ R"("coldLeft":"0ms")", R"("coldLeft":"1e30s")", "coldLeft" },
		{ R"("coldLeft":"0ms")", R"("coldLeft":"nans")", "coldLeft" },
	};

	for (const auto &w : wrong) {
		std::string text = record_with(w.old_text, w.new_text);
		store_item item = item_of("servers/i-7f", text);
		tr_target_record r;
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_target(&item, &r, &err), -1)
			<< text;
		EXPECT_STREQ(err.field, w.field) << text;
		EXPECT_STREQ(r.id, "i-7f");
	}
}

TEST(Platform, RecordsThatAreNoObjectAreRejected)
{
	std::string texts[] = { "", "[1]", "7", std::string("\0\xff{", 3),
				record_with("born", "bo\xff\xfen") };

	for (std::string &text : texts) {
		store_item item = item_of("servers/i-7f", text);
		tr_target_record r;
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_target(&item, &r, &err), -1);
		EXPECT_STRNE(err.expected, "");
	}
}

/* Guards against an entry whose depth or numbers end the process that reads it.
 */
TEST(Platform, RecordsThatAreTooDeepOrTooLargeAreRefusedOrUsable)
{
	const std::string open_lists(200000, '[');
	std::string deep = open_lists + std::string(200000, ']');
	std::string odd[] = { deep, std::string(1000000, '9'), "1e999",
			      "-1" + std::string(30, '0'), open_lists };
	/* Parts of a record, and an object that takes a further field. */
	const char *parts[] = {
		"1782630203067", R"("10.1.0.9:80")", R"("s1")", "3}", "4,",
		R"("0ms")",	 R"({"born")"
	};

	for (const std::string &value : odd)
		for (std::string part : parts) {
			std::string last = part.substr(part.size() - 1);
			std::string text = record_with(
				part,
				part[0] == '{' ? R"({"odd":)" + value + "," +
							 part.substr(1)
				: last == "}" || last == "," ? value + last
							     : value);
			store_item item = item_of("servers/i-7f", text);
			tr_target_record r;
			tr_error err{};

			if (platform_dialect.parse_target(&item, &r, &err)) {
				EXPECT_NE(err.code, TR_OK) << part;
				continue;
			}
			EXPECT_STREQ(r.address, "10.1.0.9:80") << part;
			EXPECT_EQ(r.slots, 3u) << part;
		}
	for (std::string &text : odd) {
		store_item item = item_of("servers/i-7f", text);
		tr_target_record r;
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_target(&item, &r, &err), -1);
	}
}

/*
 * Guards against header injection: an id is sent in a header, and its key may
 * hold a line break.
 */
TEST(Platform, AnIdWithSpacesOrControlsIsRefused)
{
	std::string text = record_with("v1", "v1");
	const std::string keys[] = { "servers/", "servers/a b",
				     "servers/a\r\nX-A: 1",
				     "servers/" + std::string(64, 'a') };

	for (const std::string &key : keys) {
		store_item item = item_of(key.c_str(), text);
		tr_target_record r;
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_target(&item, &r, &err), -1);
		EXPECT_STREQ(err.field, "key");
		EXPECT_STREQ(r.id, "");
	}
}

/* A record with some bytes changed is either refused with a reason, or every
 * part of it is usable. */
TEST(Platform, ACorruptedRecordIsRefusedOrUsable)
{
	std::mt19937 random(20261202);

	for (int run = 0; run < 20000; run++) {
		std::string text = record_with("v1", "v1");
		tr_target_record r;
		tr_error err{};

		for (unsigned n = random() % 4; n < 4; n++)
			text[random() % text.size()] = (char)(random() % 256);
		store_item item = item_of("servers/i-7f", text);

		if (platform_dialect.parse_target(&item, &r, &err)) {
			EXPECT_NE(err.code, TR_OK) << text;
			continue;
		}
		EXPECT_GT(r.slots, 0u) << text;
		EXPECT_NE(strchr(r.address, ':'), nullptr) << text;
		EXPECT_STRNE(r.service, "") << text;
		EXPECT_GE(r.cold_for, 0) << text;
	}
}

TEST(Platform, ReadsAConfiguration)
{
	std::string text = CONFIG;
	store_item item = item_of("op/config", text);
	tr_error err{};
	tr_routes *r = platform_dialect.parse_routes(&item, &err);

	ASSERT_NE(r, nullptr) << err.field << err.expected;
	EXPECT_EQ(r->version, 7u);
	EXPECT_EQ(r->limits.idle_timeout, 15000000);
	const tr_path_route *a = tr_routes_match(r, "h.example", 9, "/a/x");
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->kind, TR_KIND_SAFE);
	EXPECT_EQ(a->timeout, 1500000);
	EXPECT_EQ(a->split_count, 2u);
	EXPECT_EQ(a->split[1].weight, 10);
	const tr_path_route *b = tr_routes_match(r, "h.example", 9, "/b/");
	ASSERT_NE(b, nullptr);
	EXPECT_STREQ(r->services[b->split[0].service].name, "s2");
	tr_routes_unref(r);
}

/* No proper prefix of a configuration is valid. */
TEST(Platform, ATruncatedConfigurationIsRefused)
{
	std::string whole = CONFIG;

	for (size_t n = 0; n < whole.size(); n++) {
		std::string text = whole.substr(0, n);
		store_item item = item_of("op/config", text);
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_routes(&item, &err), nullptr)
			<< n;
		EXPECT_NE(err.code, TR_OK) << n;
	}
}

TEST(Platform, AConfigurationWithAnUnknownServiceIsRefused)
{
	std::string text = CONFIG;
	size_t at = text.rfind("\"s2\"]]}");

	ASSERT_NE(at, std::string::npos);
	text.replace(text.find("null,2,\"s2\""), 11, "null,2,\"sX\"");
	store_item item = item_of("op/config", text);
	tr_error err{};

	EXPECT_EQ(platform_dialect.parse_routes(&item, &err), nullptr);
	EXPECT_STREQ(err.field, "service");
}

/* Fields of later versions are ignored. */
TEST(Platform, UnknownColumnsAreIgnored)
{
	std::string text = CONFIG;

	text.replace(text.find("\"limits\""), 8,
		     "\"colour\":\"blue\",\"limits\"");
	store_item item = item_of("op/config", text);
	tr_error err{};
	tr_routes *r = platform_dialect.parse_routes(&item, &err);

	EXPECT_NE(r, nullptr);
	tr_routes_unref(r);
}

/* The configuration with organisations added, given as their rows. */
std::string with_organisations(const std::string &rows)
{
	std::string text = CONFIG;

	text.pop_back();
	return text +
	       R"(,"tenants":{"columns":["name","apiKeys","priority",)"
	       R"("ratePerS","burst"],"rows":[)" +
	       rows + "]}}";
}

TEST(Platform, ReadsOrganisationsWithTheirKeysAndLimits)
{
	std::string text = with_organisations(
		R"(["coop",["k1","k2"],0,114,57.5],["agent",["k3"],null,0,)"
		R"(null],["idle",[],1,null,null])");
	store_item item = item_of("op/config", text);
	tr_error err{};
	tr_routes *r = platform_dialect.parse_routes(&item, &err);

	ASSERT_NE(r, nullptr) << err.field << err.expected;
	ASSERT_NE(r->organisations, nullptr);
	const tr_organisation *coop =
		tr_organisations_find(r->organisations, "k2");
	ASSERT_NE(coop, nullptr);
	EXPECT_STREQ(coop->name, "coop");
	EXPECT_TRUE(coop->has_priority);
	EXPECT_EQ(coop->rate, 114);
	EXPECT_EQ(coop->burst, 57.5);
	const tr_organisation *agent =
		tr_organisations_find(r->organisations, "k3");
	ASSERT_NE(agent, nullptr);
	EXPECT_FALSE(agent->has_priority);
	EXPECT_EQ(agent->rate, 0);
	EXPECT_EQ(tr_organisations_find(r->organisations, "k4"), nullptr);
	tr_routes_unref(r);
}

TEST(Platform, WithoutOrganisationsNoKeysAreNeeded)
{
	std::string text = CONFIG;
	store_item item = item_of("op/config", text);
	tr_error err{};
	tr_routes *r = platform_dialect.parse_routes(&item, &err);

	ASSERT_NE(r, nullptr);
	EXPECT_EQ(r->organisations, nullptr);
	tr_routes_unref(r);
}

TEST(Platform, ARouteMayBeOpen)
{
	std::string text = CONFIG;

	text.replace(text.find("\"service\"],\"rows\""), 9,
		     "\"service\",\"public\"");
	text.replace(text.find("2,null],"), 7, "2,null,true]");
	store_item item = item_of("op/config", text);
	tr_error err{};
	tr_routes *r = platform_dialect.parse_routes(&item, &err);

	ASSERT_NE(r, nullptr) << err.field << err.expected;
	EXPECT_TRUE(tr_routes_match(r, "h.example", 9, "/a/x")->is_public);
	EXPECT_FALSE(tr_routes_match(r, "h.example", 9, "/b/")->is_public);
	tr_routes_unref(r);
}

/* The error names the invalid field and contains no key. */
TEST(Platform, WrongOrganisationsAreRefused)
{
	const struct {
		const char *rows, *field;
	} cases[] = {
		{ R"([null,["k1"],0,1,1])", "name" },
		{ R"(["a","k1",0,1,1])", "apiKeys" },
		{ R"(["a",["k1",""],0,1,1])", "apiKeys" },
		{ R"(["a",["k1",7],0,1,1])", "apiKeys" },
		{ R"(["a",["k1"],0,1,1],["b",["k1"],0,1,1])", "keys" },
		{ R"(["a",["k1"],0,-1,1])", "rate" },
		{ R"(["a",["k1"],0,"1",1])", "ratePerS" },
		{ R"(["a",["k1"],"high",1,1])", "priority" },
	};

	for (const auto &c : cases) {
		std::string text = with_organisations(c.rows);
		store_item item = item_of("op/config", text);
		tr_error err{};

		EXPECT_EQ(platform_dialect.parse_routes(&item, &err), nullptr)
			<< c.rows;
		EXPECT_STREQ(err.field, c.field) << c.rows;
		EXPECT_STRNE(err.value, "k1") << c.rows;
	}
}

TEST(Platform, PathsEscapeTheirParameters)
{
	g_autofree char *list =
		platform_dialect.list_path("servers/", "servers/a b&c");
	g_autofree char *watch = platform_dialect.watch_path("", 411, 500000);

	EXPECT_STREQ(list, "/v1/kv-range?prefix=servers/"
			   "&after=servers/a%20b%26c");
	EXPECT_STREQ(watch, "/v1/kv-watch?prefix=&after=411&waitMs=500");
}

tr_notice notice_of(int status, const std::string &headers)
{
	std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
			   headers + "Content-Length: 0\r\n\r\n";
	tr_notice notice{};
	message msg{};

	message_init(&msg, HTTP_RESPONSE, 32768, 4096);
	EXPECT_GT(message_feed(&msg, text.data(), text.size()), 0);
	platform_dialect.parse_notice(&msg, &notice);
	message_free(&msg);
	return notice;
}

TEST(Platform, ReadsAnnouncementsOfATarget)
{
	tr_notice n = notice_of(200, "Server-Limit: 1.5 \r\n"
				     "Server-Leaving: 1 \r\n");

	EXPECT_TRUE(n.leaving);
	EXPECT_EQ(n.limit_state, TR_NOTICE_GIVEN);
	EXPECT_EQ(n.limit, 1.5);
	EXPECT_EQ(n.backoff_state, TR_NOTICE_ABSENT);
	n = notice_of(503, "Retry-After: 3\r\nX-Not-Executed: 1\r\n");
	EXPECT_FALSE(n.leaving);
	EXPECT_EQ(n.limit_state, TR_NOTICE_ABSENT);
	EXPECT_EQ(n.backoff_state, TR_NOTICE_GIVEN);
	EXPECT_EQ(n.backoff, apr_time_from_sec(3));
	EXPECT_EQ(notice_of(503, "Retry-After: 0.25\r\n").backoff, 250000);
	EXPECT_EQ(notice_of(200, "").limit_state, TR_NOTICE_ABSENT);
}

TEST(Platform, RetryAfterCountsOnlyWithStatus503)
{
	for (int status : { 200, 429, 500, 504 })
		EXPECT_EQ(notice_of(status, "Retry-After: 3\r\n").backoff_state,
			  TR_NOTICE_ABSENT)
			<< status;
}

TEST(Platform, UnreadableAnnouncementsSetNothing)
{
	const std::string bad[] = {
		"",    "-1",
		"+1",  "1e400",
		"nan", "inf",
		"1,5", ".5",
		"5.",  "1.2.3",
		"0x1", "Wed, 21 Oct 2026 07:28:00 GMT",
		"1 2", std::string(15000, '9'),
	};

	for (const std::string &value : bad) {
		tr_notice n = notice_of(
			503, "Server-Limit: " + value +
				     "\r\nRetry-After: " + value + "\r\n");

		EXPECT_EQ(n.limit_state, TR_NOTICE_INVALID) << value;
		EXPECT_EQ(n.backoff_state, TR_NOTICE_INVALID) << value;
		EXPECT_EQ(n.backoff, 0) << value;
	}
	EXPECT_EQ(notice_of(200, "Server-Limit: 1\r\nServer-Limit: 9\r\n")
			  .limit_state,
		  TR_NOTICE_INVALID);
	for (const char *value : { "0", "", "yes", "11" })
		EXPECT_FALSE(notice_of(200, std::string("Server-Leaving: ") +
						    value + "\r\n")
				     .leaving);
}

TEST(Platform, LargeNumbersDoNotOverflow)
{
	tr_notice n = notice_of(503, "Server-Limit: " + std::string(32, '9') +
					     "\r\nRetry-After: " +
					     std::string(32, '9') + "\r\n");

	EXPECT_EQ(n.limit_state, TR_NOTICE_GIVEN);
	EXPECT_GT(n.backoff, 0);
	EXPECT_EQ(notice_of(503, "Retry-After: 0\r\n").backoff, 0);
}

} // namespace
