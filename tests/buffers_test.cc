#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "buffers.h"
}

namespace
{

constexpr size_t KIB = 1024;
constexpr size_t MAX = 1000 * KIB;

std::vector<int> given_up;

void note(void *ctx)
{
	given_up.push_back(*static_cast<int *>(ctx));
}

const tr_buffer_use classes[TR_BUFFER_KINDS] = {
	{ TR_BUFFER_RESPONSE, note }, { TR_BUFFER_REQUEST, note },
	{ TR_BUFFER_RELAYED, note },  { TR_BUFFER_REPLY, note },
	{ TR_BUFFER_SENT, note },     { TR_BUFFER_FIXED, nullptr },
};

struct Buffers : testing::Test {
	tr_buffers b{};
	int names[16] = {
		0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15
	};
	std::vector<uint32_t> handles;

	void SetUp() override
	{
		given_up.clear();
		b.max = MAX;
	}

	void TearDown() override
	{
		tr_buffers_release(&b);
	}

	/* Adds a buffer, which is named by the order of the calls. */
	void add(tr_buffer_kind kind, size_t kib)
	{
		handles.push_back(tr_buffers_open(&b, &classes[kind],
						  &names[handles.size()]));
		tr_buffers_resize(&b, handles.back(), kib * KIB);
	}
};

using Names = std::vector<int>;

TEST_F(Buffers, TheSumFollowsSizes)
{
	add(TR_BUFFER_REQUEST, 3);
	add(TR_BUFFER_REPLY, 4);
	tr_buffers_resize(&b, handles[0], KIB);
	EXPECT_EQ(b.bytes, 5 * KIB);
	tr_buffers_close(&b, &handles[1]);
	EXPECT_EQ(b.bytes, KIB);
	EXPECT_EQ(handles[1], (uint32_t)TR_NO_BUFFER);
	tr_buffers_close(&b, &handles[1]);
	EXPECT_EQ(b.bytes, KIB);
	EXPECT_EQ(b.peak, 7 * KIB);
}

TEST_F(Buffers, WithinTheLimitNothingIsGivenUp)
{
	add(TR_BUFFER_RESPONSE, 900);
	add(TR_BUFFER_SENT, 100);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{});
}

/* Guards against ending what completes instead of what has no end. */
TEST_F(Buffers, TheLargestResponseIsGivenUpFirst)
{
	add(TR_BUFFER_RESPONSE, 300);
	add(TR_BUFFER_RESPONSE, 500);
	add(TR_BUFFER_REQUEST, 300);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{ 1 });
	EXPECT_FALSE(tr_buffers_full(&b));
}

/* Guards against ending an order that may have run while there is something
 * else to give up. */
TEST_F(Buffers, RequestsThatMayHaveRunAreGivenUpLast)
{
	add(TR_BUFFER_SENT, 900);
	add(TR_BUFFER_REPLY, 400);
	add(TR_BUFFER_RESPONSE, 100);
	add(TR_BUFFER_REQUEST, 70);
	add(TR_BUFFER_RELAYED, 80);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, (Names{ 2, 4, 3, 1 }));
}

/* Guards against refusing all requests while callers that don't read hold the
 * memory. */
TEST_F(Buffers, RepliesThatHoldMostOfTheMemoryAreGivenUpFirst)
{
	add(TR_BUFFER_REPLY, 300);
	add(TR_BUFFER_REPLY, 400);
	add(TR_BUFFER_REQUEST, 350);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{ 1 });
}

/* Guards against a service's small responses that are ended for the sake of
 * large ones. */
TEST_F(Buffers, SmallBuffersAreGivenUpOnlyWhereNoneIsLarger)
{
	add(TR_BUFFER_RESPONSE, 50);
	add(TR_BUFFER_SENT, 960);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{ 1 });
	for (int i = 0; i < 13; i++)
		add(TR_BUFFER_RESPONSE, 60);
	b.max = 700 * KIB;
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up.size(), 4u);
	EXPECT_FALSE(tr_buffers_full(&b));
}

/* Guards against a loop that waits for what can't be given up. */
TEST_F(Buffers, WhatTheVmNeedsIsNotGivenUp)
{
	add(TR_BUFFER_FIXED, 1100);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{});
	add(TR_BUFFER_REQUEST, 1);
	tr_buffers_relieve(&b);
	EXPECT_EQ(given_up, Names{ 1 });
	EXPECT_FALSE(tr_buffers_full(&b));
}

TEST_F(Buffers, HandlesAreReused)
{
	add(TR_BUFFER_REQUEST, 3);
	uint32_t first = handles[0];

	tr_buffers_close(&b, &handles[0]);
	add(TR_BUFFER_RESPONSE, 2);
	EXPECT_EQ(handles[1], first);
	EXPECT_EQ(b.kind_bytes[TR_BUFFER_REQUEST], 0u);
	EXPECT_EQ(b.kind_bytes[TR_BUFFER_RESPONSE], 2 * KIB);
}

} // namespace
