#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>

extern "C" {
#include "result.h"
}

struct Row {
	int number;
	const char *word, *outcome;
	int http;
};

static const Row rows[] = {
#define ROW(name, number, word, outcome, http, text) \
	{ number, word, #outcome, http },
	TR_RESULTS(ROW)
#undef ROW
};

static std::string outcome_word(const std::string &name)
{
	if (name == "ANSWERED")
		return "answered";
	if (name == "NOT_RUN")
		return "not-run";
	return name == "UNKNOWN" ? "unknown" : "-";
}

TEST(Result, TableInTheDocsIsTheTableInTheCode)
{
	std::ifstream page(SOURCE_DIR "/docs/ERRORS.md");
	std::regex line(
		R"(\| (\d+) \| `([a-z-]+)` \| ([a-z-]+) \| (\d+) \|.*)");
	std::set<std::string> documented;
	std::set<std::string> coded;
	std::string text;

	ASSERT_TRUE(page.good());
	while (std::getline(page, text)) {
		std::smatch m;

		if (std::regex_match(text, m, line))
			documented.insert(m[1].str() + " " + m[2].str() + " " +
					  m[3].str() + " " + m[4].str());
	}
	for (const Row &r : rows)
		coded.insert(std::to_string(r.number) + " " + r.word + " " +
			     outcome_word(r.outcome) + " " +
			     std::to_string(r.http));
	EXPECT_EQ(documented, coded);
}

TEST(Result, NumbersAreUnique)
{
	std::set<int> numbers;

	for (const Row &r : rows)
		EXPECT_TRUE(numbers.insert(r.number).second) << r.number;
}

TEST(Result, HundredsGiveTheOutcome)
{
	for (const Row &r : rows) {
		tr_outcome want = TR_OUTCOME_NONE;

		if (r.number >= 100 && r.number < 200)
			want = TR_OUTCOME_ANSWERED;
		else if (r.number >= 200 && r.number < 300)
			want = TR_OUTCOME_NOT_RUN;
		else if (r.number >= 300 && r.number < 400)
			want = TR_OUTCOME_UNKNOWN;
		if (r.number == TR_ANSWER_DROPPED)
			want = TR_OUTCOME_ANSWERED;
		if (r.number == TR_KEY_OTHER_BODY)
			want = TR_OUTCOME_NOT_RUN;
		EXPECT_EQ(tr_result_outcome((tr_result)r.number), want)
			<< r.number;
	}
}
