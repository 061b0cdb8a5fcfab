#include <gtest/gtest.h>

#include <sodium.h>

#include <cstring>
#include <string>

extern "C" {
#include "clock.h"
#include "dispatch.h"
#include "hash.h"
}

static const uint64_t service = 42;

struct Dispatch : testing::Test {
	tr_secret secret{};
	tr_boot boot{};
	tr_dispatcher d{};
	apr_time_t now = TR_SEC(100);

	void SetUp() override
	{
		ASSERT_GE(sodium_init(), 0);
		memset(secret.bytes, 7, sizeof(secret.bytes));
		memset(boot.id, 1, sizeof(boot.id));
		ASSERT_EQ(tr_dispatcher_init(&d, &boot, &secret, 16, 60, 1000),
			  0);
	}

	void TearDown() override
	{
		tr_dispatcher_release(&d);
	}

	tr_key mint()
	{
		char text[TR_KEY_TEXT];
		tr_key key;

		tr_dispatcher_mint(&d, service, now, text);
		EXPECT_EQ(tr_key_read(&key, &secret, text), 0);
		return key;
	}

	tr_result admit(const tr_key &key, uint32_t *record = nullptr,
			uint64_t print = 1, uint64_t own = 0)
	{
		uint32_t r;
		tr_result res = tr_dispatcher_admit(&d, &key, service, print,
						    own, now, &r);

		if (record)
			*record = r;
		return res;
	}

	void finish(uint32_t record, tr_outcome outcome,
		    const std::string &answer = "")
	{
		tr_dispatcher_finish(&d, record, outcome, 200, "text/plain",
				     answer.data(), answer.size());
	}
};

TEST_F(Dispatch, KeyIsAdmittedOnceAndTheAnswerIsReplayed)
{
	tr_key key = mint();
	uint32_t record;

	ASSERT_EQ(admit(key, &record), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	EXPECT_EQ(admit(key), TR_KEY_RUNNING);
	finish(record, TR_OUTCOME_ANSWERED, "done");
	EXPECT_EQ(admit(key, &record), TR_ANSWERED);
	EXPECT_EQ(std::string(d.records[record].answer, 4), "done");
}

/*
 * Guards against charging a purchase twice: the request is sent, the connection
 * breaks and the caller retries with the same key. Happens if an unknown
 * outcome is treated as a failure that may be retried.
 */
TEST_F(Dispatch, UnknownOutcomeIsNeverSentAgain)
{
	tr_key key = mint();
	uint32_t record;

	ASSERT_EQ(admit(key, &record), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	finish(record, TR_OUTCOME_UNKNOWN);
	EXPECT_EQ(admit(key), TR_KEY_SPENT);
	EXPECT_EQ(tr_result_outcome(TR_KEY_SPENT), TR_OUTCOME_UNKNOWN);
}

TEST_F(Dispatch, RequestKnownNotToHaveRunMayBeSentAgain)
{
	tr_key key = mint();
	uint32_t record;

	ASSERT_EQ(admit(key, &record), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	finish(record, TR_OUTCOME_NOT_RUN);
	EXPECT_EQ(admit(key, &record), TR_OK);
}

/*
 * Guards against charging a purchase twice after a VM was replaced: the VM
 * sends the request and is killed, and its successor gets the same key. Happens
 * if the successor, which has no record of the key, treats it as new.
 */
TEST_F(Dispatch, KeyOfAnEarlierProcessIsDead)
{
	tr_key key = mint();

	memset(d.boot.id, 2, sizeof(d.boot.id));
	EXPECT_EQ(admit(key), TR_KEY_DEAD);
	EXPECT_EQ(tr_result_outcome(TR_KEY_DEAD), TR_OUTCOME_UNKNOWN);
}

/*
 * Guards against charging a purchase twice, minutes apart: a process is paused
 * past the key's lifetime with the retry in its buffer, sweeps the record and
 * then reads the retry. Happens if a key whose record is gone is treated as
 * new.
 */
TEST_F(Dispatch, ExpiredKeyIsRefusedAfterItsRecordIsFreed)
{
	tr_key key = mint();
	uint32_t record;

	ASSERT_EQ(admit(key, &record), TR_OK);
	finish(record, TR_OUTCOME_ANSWERED);
	now += TR_SEC(62);
	tr_dispatcher_sweep(&d, now, 16);
	EXPECT_EQ(d.used, 0u);
	EXPECT_EQ(admit(key), TR_KEY_EXPIRED);
}

TEST_F(Dispatch, RecordOfARunningRequestIsKept)
{
	tr_key key = mint();
	uint32_t record;

	ASSERT_EQ(admit(key, &record), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	now += TR_SEC(500);
	tr_dispatcher_sweep(&d, now, 16);
	EXPECT_EQ(d.used, 1u);
}

/*
 * Guards against running old requests again under a flood: the table is full
 * and one more key comes. Happens if a record is dropped for it before its key
 * has expired.
 */
TEST_F(Dispatch, FullTableRefusesNewKeys)
{
	tr_key first = mint();
	uint32_t record;

	ASSERT_EQ(admit(first, &record), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	finish(record, TR_OUTCOME_UNKNOWN);
	for (int i = 1; i < 16; i++)
		ASSERT_EQ(admit(mint()), TR_OK);
	EXPECT_EQ(admit(mint()), TR_KEYS_FULL);
	EXPECT_EQ(admit(first), TR_KEY_SPENT);
}

/*
 * Guards against a second purchase by a caller that retries with a fresh minted
 * key: it sends its own Idempotency-Key with one minted key, gets no answer and
 * sends it again with another. Happens if only the minted key is checked.
 */
TEST_F(Dispatch, IdempotencyKeyIsBoundToTheFirstMintedKey)
{
	uint32_t record;

	ASSERT_EQ(admit(mint(), &record, 1, 77), TR_OK);
	tr_dispatcher_mark_sent(&d, record);
	EXPECT_EQ(admit(mint(), nullptr, 1, 77), TR_KEY_RUNNING);
	finish(record, TR_OUTCOME_ANSWERED, "x");
	EXPECT_EQ(admit(mint(), nullptr, 1, 77), TR_ANSWERED);
	EXPECT_EQ(admit(mint(), nullptr, 1, 78), TR_OK);
}

TEST_F(Dispatch, KeyUsedForAnotherRequestIsRefused)
{
	tr_key key = mint();

	ASSERT_EQ(admit(key, nullptr, 1), TR_OK);
	EXPECT_EQ(admit(key, nullptr, 2), TR_KEY_OTHER_BODY);
}

TEST_F(Dispatch, AnswersAreKeptUpToALimitAndOutcomesAlways)
{
	tr_key a = mint();
	tr_key b = mint();
	uint32_t record;

	ASSERT_EQ(admit(a, &record), TR_OK);
	finish(record, TR_OUTCOME_ANSWERED, std::string(900, 'a'));
	ASSERT_EQ(admit(b, &record), TR_OK);
	finish(record, TR_OUTCOME_ANSWERED, std::string(900, 'b'));
	EXPECT_EQ(admit(a), TR_ANSWERED);
	EXPECT_EQ(admit(b), TR_ANSWER_DROPPED);
	EXPECT_EQ(tr_result_outcome(TR_ANSWER_DROPPED), TR_OUTCOME_ANSWERED);
}

TEST_F(Dispatch, ForgedOrForeignKeysAreMalformed)
{
	char text[TR_KEY_TEXT];
	tr_secret other{};
	tr_key key;

	tr_dispatcher_mint(&d, service, now, text);
	text[3] = text[3] == 'A' ? 'B' : 'A';
	EXPECT_EQ(tr_key_read(&key, &secret, text), -1);
	EXPECT_EQ(tr_key_read(&key, &secret, ""), -1);
	EXPECT_EQ(tr_key_read(&key, &secret, "no key at all"), -1);
	tr_dispatcher_mint(&d, service, now, text);
	EXPECT_EQ(tr_key_read(&key, &other, text), -1);
}

TEST_F(Dispatch, PreviousFleetKeyIsAcceptedDuringRotation)
{
	char text[TR_KEY_TEXT];
	tr_secret rotated{};
	tr_key key;

	tr_dispatcher_mint(&d, service, now, text);
	memset(rotated.bytes, 9, sizeof(rotated.bytes));
	memcpy(rotated.previous, secret.bytes, sizeof(rotated.previous));
	EXPECT_EQ(tr_key_read(&key, &rotated, text), -1);
	rotated.has_previous = 1;
	EXPECT_EQ(tr_key_read(&key, &rotated, text), 0);
}
