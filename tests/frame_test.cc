/* Frames between two VMs, read in pieces of any size. */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "frame.h"
}

namespace
{

std::string frame(const std::string &text)
{
	size_t n = text.size();

	return { (char)(n >> 24), (char)(n >> 16), (char)(n >> 8), (char)n };
}

/* Reads what comes in pieces of the given size. */
std::string read_all(frame_reader &r, const std::string &bytes, size_t piece)
{
	std::string out;

	for (size_t at = 0; at < bytes.size(); at += piece) {
		const char *data = bytes.data() + at;
		size_t len = std::min(piece, bytes.size() - at);
		const char *payload;
		size_t n;

		while ((payload = frame_next(&r, &data, &len, &n)))
			out.append(payload, n);
	}
	return out;
}

/* Guards against bytes that get lost or are taken for a header where frames are
 * split between two reads. */
TEST(Frame, AnyPiecesGiveTheSameBytes)
{
	std::string a(300, 'a'), b = "b";
	std::string bytes = frame(a) + a + frame(b) + b + frame("");

	for (size_t piece = 1; piece <= bytes.size(); piece++) {
		frame_reader r{};

		EXPECT_EQ(read_all(r, bytes, piece), a + b) << piece;
		EXPECT_TRUE(r.ended) << piece;
	}
}

/* Guards against a stream that looks complete though it broke off. */
TEST(Frame, OnlyTheEmptyFrameEndsTheStream)
{
	std::string a(300, 'a');
	frame_reader r{};

	EXPECT_EQ(read_all(r, frame(a) + a, 7), a);
	EXPECT_FALSE(r.ended);
	EXPECT_EQ(read_all(r, frame("") + frame(a) + a, 7), "");
	EXPECT_TRUE(r.ended);
}

/* Guards against a target whose connection broke off and a VM that was lost
 * looking alike. */
TEST(Frame, TellsThatTheStreamBrokeOff)
{
	std::string a(300, 'a');
	frame_reader r{};

	EXPECT_EQ(read_all(r, frame(a) + a + "\xff\xff\xff\xff" + a, 7), a);
	EXPECT_TRUE(r.broken);
	EXPECT_FALSE(r.ended);
}

} // namespace
