/* Names, texts, outcomes and HTTP statuses of the result codes. */
#include "result.h"

#include <stddef.h>

struct result_row {
	enum tr_result code;
	enum tr_outcome outcome;
	int http_status;
	const char *word;
	const char *text;
};

static const struct result_row rows[] = {
#define TR_RESULT_ROW(name, number, word, outcome, http, text) \
	{ TR_##name, TR_OUTCOME_##outcome, http, word, text },
	TR_RESULTS(TR_RESULT_ROW)
#undef TR_RESULT_ROW
};

static const struct result_row *find_row(enum tr_result code)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (rows[i].code == code)
			return &rows[i];
	return &rows[0];
}

/* Returns the code's name in answers and logs, such as "queue-full". */
const char *tr_result_name(enum tr_result code)
{
	return find_row(code)->word;
}

/* Returns one sentence that explains the code. */
const char *tr_result_text(enum tr_result code)
{
	return find_row(code)->text;
}

/* Returns what the code says of whether the request ran. */
enum tr_outcome tr_result_outcome(enum tr_result code)
{
	return find_row(code)->outcome;
}

/* Returns the HTTP status of an answer with this code. */
int tr_result_http_status(enum tr_result code)
{
	return find_row(code)->http_status;
}

/* Returns the outcome's name: "answered", "not-run", "unknown" or "none". */
const char *tr_outcome_name(enum tr_outcome outcome)
{
	switch (outcome) {
	case TR_OUTCOME_ANSWERED:
		return "answered";
	case TR_OUTCOME_NOT_RUN:
		return "not-run";
	case TR_OUTCOME_UNKNOWN:
		return "unknown";
	case TR_OUTCOME_NONE:
		break;
	}
	return "none";
}
