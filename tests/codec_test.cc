#include <gtest/gtest.h>

#include <sodium.h>

#include "fake.h"

extern "C" {
#include "codec.h"
#include "message_xdr.h"
}

static tr_gossip sample(unsigned rows, unsigned orders)
{
	tr_gossip msg{};

	snprintf(msg.service, sizeof(msg.service), "order-desk");
	msg.from = 0x1122334455667788ULL;
	msg.to = 99;
	memset(msg.boot.id, 5, sizeof(msg.boot.id));
	msg.sequence = 1ULL << 40;
	msg.sent_at = TR_SEC(12345);
	msg.echo = TR_SEC(12344);
	msg.hlc = { 1234567890123ULL, 7 };
	msg.flags = TR_GOSSIP_OWNER | TR_GOSSIP_CONFIRMED;
	msg.list_revision = 3;
	msg.document_revision = 4;
	msg.targets_revision = 5;
	msg.rows_count = rows;
	for (unsigned i = 0; i < rows; i++)
		msg.rows[i] = { i + 1, i * 1000, i, i / 2 };
	msg.orders_count = orders;
	for (unsigned i = 0; i < orders; i++)
		msg.orders[i] = { i + 1, TR_ORDER_EJECT,
				  i % 2 ? TR_EVERY_VANTAGE : 1u << i % 8 };
	return msg;
}

struct Codec : testing::Test {
	tr_secret secret{};
	char buf[CODEC_MAX_DATAGRAM];

	void SetUp() override
	{
		ASSERT_GE(sodium_init(), 0);
		memset(secret.bytes, 3, sizeof(secret.bytes));
	}

	/* Returns the body of the RPC call in buf and checks its MAC. */
	std::string body(size_t len)
	{
		wire_envelope env{};
		XDR xdr;
		const size_t call_header = 40;
		std::string out;

		xdrmem_create(&xdr, buf + call_header,
			      (u_int)(len - call_header), XDR_DECODE);
		EXPECT_TRUE(xdr_wire_envelope(&xdr, &env));
		out.assign(env.body.body_val, env.body.body_len);
		EXPECT_EQ(tr_mac_check(&secret, out.data(), out.size(),
				       (unsigned char *)env.mac),
			  0);
		xdr_free((xdrproc_t)xdr_wire_envelope, &env);
		xdr_destroy(&xdr);
		return out;
	}
};

TEST_F(Codec, RoundTrips)
{
	for (unsigned rows : { 0u, 1u, 20u, 32u }) {
		tr_gossip in = sample(rows, rows / 2);
		tr_gossip out;
		size_t len = codec_encode(&in, &secret, buf);

		ASSERT_GT(len, 0u);
		std::string text = body(len);
		ASSERT_EQ(codec_decode_body(text.data(), text.size(), &out),
			  TR_OK);
		EXPECT_TRUE(same(in, out)) << rows;
	}
}

TEST_F(Codec, FitsADatagram)
{
	tr_gossip in = sample(TR_GOSSIP_ROWS, TR_GOSSIP_ROWS);
	size_t len = codec_encode(&in, &secret, buf);

	EXPECT_GT(len, 0u);
	EXPECT_LE(len, 1200u);
}

TEST_F(Codec, DamagedBodiesAreUndecodable)
{
	tr_gossip in = sample(4, 2);
	tr_gossip out;
	std::string text = body(codec_encode(&in, &secret, buf));

	for (size_t cut = 0; cut < text.size(); cut++)
		EXPECT_EQ(codec_decode_body(text.data(), cut, &out),
			  TR_UNDECODABLE)
			<< cut;
	std::string more = text + std::string(4, '\0');
	EXPECT_EQ(codec_decode_body(more.data(), more.size(), &out),
		  TR_UNDECODABLE);
}

TEST_F(Codec, OrdersOutOfRangeAreUndecodable)
{
	tr_gossip in = sample(0, 1);
	tr_gossip out;

	in.orders[0].kind = TR_ORDER_PROBATION + 1;
	std::string text = body(codec_encode(&in, &secret, buf));
	EXPECT_EQ(codec_decode_body(text.data(), text.size(), &out),
		  TR_UNDECODABLE);
}

/*
 * If the MAC were not verified, anyone on the network could eject targets with
 * a modified datagram or one made under another key.
 */
TEST_F(Codec, OtherKeysAndChangedBytesFailTheMac)
{
	const char text[] = "a body";
	unsigned char mac[TR_MAC_SIZE];
	tr_secret other{};

	tr_mac(&secret, text, sizeof(text), mac);
	EXPECT_EQ(tr_mac_check(&secret, text, sizeof(text), mac), 0);
	EXPECT_EQ(tr_mac_check(&other, text, sizeof(text), mac), -1);
	mac[0] ^= 1;
	EXPECT_EQ(tr_mac_check(&secret, text, sizeof(text), mac), -1);
}
