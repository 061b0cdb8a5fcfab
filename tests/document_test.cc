#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "docfile.h"
#include "document.h"
#include "error.h"
#include "lists.h"
#include "settings.h"
}

static const char good[] = R"(service: ledger-view
team: ledger
data_centres: [a, b]
target_list: ledger-view
floor: 2
routes:
  - path: /
    repeat: idempotent
    priority: normal
  - path: /buy
    methods: [POST]
    repeat: never
    priority: must-get-through
    deadline_ms: 3000
)";

static std::string changed(const std::string &from, const std::string &to)
{
	std::string text = good;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

static tr_document *parse(const std::string &text, tr_error *err)
{
	return docfile_parse(text.data(), text.size(), "doc.yaml", err);
}

TEST(Document, ValidDocumentIsAcceptedWithDefaults)
{
	tr_error err;
	tr_document *doc = parse(good, &err);

	ASSERT_NE(doc, nullptr) << err.expected;
	EXPECT_EQ(doc->floor, 2u);
	EXPECT_EQ(doc->cell, 8u);
	EXPECT_EQ(doc->routes_count, 2u);
	docfile_free(doc);
}

TEST(Document, LongestRouteWins)
{
	tr_error err;
	tr_document *doc = parse(good, &err);

	ASSERT_NE(doc, nullptr);
	EXPECT_EQ(tr_document_route(doc, "POST", "/buy/1"), &doc->routes[1]);
	EXPECT_EQ(tr_document_route(doc, "GET", "/buy/1"), &doc->routes[0]);
	EXPECT_EQ(tr_document_route(doc, "POST", "/buyer"), &doc->routes[0]);
	EXPECT_EQ(tr_document_route(doc, "POST", "/buy?x=1"), &doc->routes[1]);
	docfile_free(doc);
}

struct Bad {
	friend void PrintTo(const Bad &b, std::ostream *os)
	{
		*os << b.name;
	}
	const char *name;
	const char *from, *to;
	tr_result code;
	const char *field;
	int line;
};

struct BadDocument : testing::TestWithParam<Bad> {
};

TEST_P(BadDocument, IsRejectedWithLineFieldAndExpectedValue)
{
	const Bad &bad = GetParam();
	tr_error err;
	tr_document *doc = parse(changed(bad.from, bad.to), &err);

	ASSERT_EQ(doc, nullptr);
	EXPECT_EQ(err.code, bad.code) << err.expected;
	EXPECT_STREQ(err.field, bad.field);
	EXPECT_EQ(err.line, bad.line);
	EXPECT_STREQ(err.file, "doc.yaml");
	EXPECT_NE(std::string(err.expected).find("expected"), std::string::npos)
		<< err.expected;
}

static const Bad bad_documents[] = {
	{ "UnknownKey", "floor: 2", "floor: 2\nflor: 3", TR_UNKNOWN_FIELD,
	  "flor", 6 },
	{ "WrongType", "floor: 2", "floor: two", TR_WRONG_TYPE, "floor", 5 },
	{ "Negative", "floor: 2", "floor: -1", TR_WRONG_TYPE, "floor", 5 },
	{ "FloorZero", "floor: 2", "floor: 0", TR_OUT_OF_RANGE, "floor", 5 },
	{ "MissingFloor", "floor: 2\n", "", TR_MISSING_FIELD, "floor", 1 },
	{ "WrongWord", "repeat: never", "repeat: maybe", TR_WRONG_TYPE,
	  "routes[1].repeat", 12 },
	{ "NumberForWord", "repeat: never", "repeat: 1", TR_WRONG_TYPE,
	  "routes[1].repeat", 12 },
	{ "BadPath", "path: /buy", "path: buy", TR_OUT_OF_RANGE,
	  "routes[1].path", 10 },
	{ "BadMethod", "[POST]", "[FETCH]", TR_OUT_OF_RANGE,
	  "routes[1].methods[0]", 11 },
	{ "TwoSources", "floor: 2",
	  "floor: 2\ntargets:\n  - {name: x, address: '1:2', data_centre: a}",
	  TR_CONTRADICTION, "targets", 6 },
	{ "ContradictoryRoutes", "path: /buy\n    methods: [POST]", "path: /",
	  TR_CONTRADICTION, "routes[1].path", 10 },
	{ "Syntax", "floor: 2", "floor: [2", TR_WRONG_TYPE, "floor", 5 },
	{ "Twice", "floor: 2", "floor: 2\nfloor: 3", TR_DUPLICATE, "floor", 5 },
	{ "CentreTwice", "[a, b]", "[a, a]", TR_DUPLICATE, "data_centres[1]",
	  3 },
	{ "Deadline", "deadline_ms: 3000", "deadline_ms: 99999999",
	  TR_OUT_OF_RANGE, "routes[1].deadline_ms", 14 },
};

INSTANTIATE_TEST_SUITE_P(All, BadDocument, testing::ValuesIn(bad_documents),
			 [](const testing::TestParamInfo<Bad> &p) {
				 return std::string(p.param.name);
			 });

TEST(Document, FloorAboveTheNumberOfTargetsIsRejected)
{
	std::string text =
		changed("target_list: ledger-view",
			"targets:\n  - {name: x, address: '127.0.0.1:80', "
			"data_centre: a}");
	tr_error err;

	EXPECT_EQ(parse(text, &err), nullptr);
	EXPECT_EQ(err.code, TR_CONTRADICTION);
	EXPECT_STREQ(err.field, "floor");
	EXPECT_STREQ(err.value, "2");
}

TEST(Document, EmptyAndBinaryTextIsRejected)
{
	tr_error err;

	EXPECT_EQ(parse("", &err), nullptr);
	EXPECT_EQ(parse("- 1\n", &err), nullptr);
	EXPECT_EQ(parse(std::string("\0\1\2\xff", 4), &err), nullptr);
	EXPECT_EQ(parse("a: *b\n", &err), nullptr);
}

TEST(Document, ErrorNamesFileLineFieldValueAndExpectation)
{
	tr_error err;
	char text[512];

	ASSERT_EQ(parse(changed("floor: 2", "floor: two"), &err), nullptr);
	tr_error_format(&err, text, sizeof(text));
	EXPECT_STREQ(text, "doc.yaml:5: floor: 'two': (code 404): expected a "
			   "whole number");
}

TEST(Lists, BadRowsAreNamed)
{
	const std::string text =
		R"([{"name":"a","address":"1.2.3.4:5","data_centre":"x",)"
		R"("state":"dead"}])";
	tr_target_entry entries[4];
	unsigned count = 0;
	tr_error err{};

	EXPECT_EQ(lists_parse_targets(text.data(), text.size(), entries, 4,
				      &count, &err),
		  -1);
	EXPECT_STREQ(err.field, "[0].state");
	EXPECT_STREQ(err.value, "dead");
	EXPECT_EQ(lists_parse_targets("{", 1, entries, 4, &count, &err), -1);
	EXPECT_EQ(err.code, TR_SYNTAX);
}

TEST(Lists, VmsNeedPortsAndNumbers)
{
	const std::string text =
		R"([{"name":"a","address":"host","port":1,"peer_port":2,)"
		R"("operator_port":3,"data_centre":"x","state":"live"}])";
	tr_fleet fleet{};
	tr_error err{};

	EXPECT_EQ(lists_parse_vms(text.data(), text.size(), &fleet, &err), -1);
	EXPECT_STREQ(err.field, "address");
}
