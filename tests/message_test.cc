#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "message.h"
}

namespace
{

struct Message : testing::Test {
	message msg{};

	void start(http_parser_type type, size_t head = 4096,
		   size_t body = 4096)
	{
		message_init(&msg, type, head, body);
	}

	void TearDown() override
	{
		message_free(&msg);
	}

	ssize_t feed(const std::string &text)
	{
		return message_feed(&msg, text.data(), text.size());
	}

	std::string body()
	{
		return std::string(reinterpret_cast<char *>(msg.body->data),
				   msg.body->len);
	}
};

TEST_F(Message, ReadsARequestByteByByte)
{
	std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nEmpty:\r\n"
			   "Content-Length: 3\r\n\r\nxyz";

	start(HTTP_REQUEST);
	for (char c : text)
		ASSERT_EQ(feed(std::string(1, c)), 1);
	ASSERT_TRUE(msg.complete);
	EXPECT_STREQ(message_target(&msg), "/a/b?c=d");
	EXPECT_STREQ(message_header(&msg, "host"), "h");
	EXPECT_STREQ(message_header(&msg, "Empty"), "");
	EXPECT_EQ(message_header(&msg, "none"), nullptr);
	EXPECT_EQ(body(), "xyz");
}

/*
 * Guards against request smuggling: a request with two lengths, of which one
 * parser uses the first and another the second, hides a further request in the
 * difference. Ambiguous framing must not be forwarded.
 */
TEST_F(Message, AmbiguousFramingIsRefused)
{
	start(HTTP_REQUEST);
	EXPECT_EQ(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		  -1);
	message_reset(&msg);
	EXPECT_EQ(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		       "Content-Length: 4\r\n\r\nabcd"),
		  -1);
}

TEST_F(Message, TheNextRequestIsLeftToTheCaller)
{
	std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	std::string second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";

	start(HTTP_REQUEST);
	EXPECT_EQ(feed(first + second), (ssize_t)first.size());
	EXPECT_STREQ(message_target(&msg), "/1");
	message_reset(&msg);
	EXPECT_EQ(feed(second), (ssize_t)second.size());
	EXPECT_STREQ(message_target(&msg), "/2");
}

TEST_F(Message, LimitsHold)
{
	start(HTTP_REQUEST, 100, 10);
	EXPECT_EQ(feed("GET / HTTP/1.1\r\nLong: " + std::string(200, 'x') +
		       "\r\n\r\n"),
		  -1);
	EXPECT_TRUE(msg.head_too_long);
	message_reset(&msg);
	EXPECT_EQ(feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"), -1);
	EXPECT_TRUE(msg.body_too_long);
	message_reset(&msg);
	EXPECT_EQ(feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "b\r\n12345678901\r\n"),
		  -1);
	EXPECT_TRUE(msg.body_too_long);
}

/* Guards against reading interim responses without end in place of a head. */
TEST_F(Message, InterimResponsesHaveTheLimitOfAHeadTogether)
{
	std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
	unsigned skipped = 0;

	start(HTTP_RESPONSE, 10 * interim.size());
	do {
		ASSERT_EQ(feed(interim), (ssize_t)interim.size());
		ASSERT_TRUE(msg.complete);
	} while (message_skip(&msg) && ++skipped < 100);
	EXPECT_EQ(skipped, 10u);
	EXPECT_TRUE(message_exceeds_limit(&msg));
	message_reset(&msg);
	EXPECT_FALSE(message_exceeds_limit(&msg));
}

/* Guards against reading responses to other requests without end. */
TEST_F(Message, ResponsesToOthersHaveTheLimitOfABodyTogether)
{
	std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
	unsigned skipped = 0;

	start(HTTP_RESPONSE, 4096, 3 * other.size());
	do {
		ASSERT_EQ(feed(other), (ssize_t)other.size());
		ASSERT_TRUE(msg.complete);
	} while (message_skip(&msg) && ++skipped < 100);
	EXPECT_EQ(skipped, 3u);
}

/* Guards against taking a few interim responses for ones without end. */
TEST_F(Message, TheResponseAfterInterimOnesIsRead)
{
	std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

	start(HTTP_RESPONSE);
	for (int i = 0; i < 5; i++) {
		feed(interim);
		ASSERT_TRUE(message_skip(&msg));
	}
	feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	EXPECT_TRUE(msg.complete);
	EXPECT_EQ(msg.parser.status_code, 200u);
	EXPECT_EQ(body(), "ok");
	EXPECT_EQ(message_header(&msg, "Link"), nullptr);
}

/*
 * Guards against a success with half a body: a target's connection ends in the
 * middle of a response, and the end of the stream is taken for the end of the
 * response.
 */
TEST_F(Message, ATruncatedResponseIsNotComplete)
{
	start(HTTP_RESPONSE);
	feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
	EXPECT_FALSE(message_end_of_stream(&msg));
	message_reset(&msg);
	feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf");
	EXPECT_FALSE(message_end_of_stream(&msg));
}

TEST_F(Message, AResponseWithoutALengthEndsWithItsStream)
{
	start(HTTP_RESPONSE);
	feed("HTTP/1.1 200 OK\r\n\r\nall of it");
	EXPECT_FALSE(msg.complete);
	EXPECT_FALSE(msg.framed);
	EXPECT_TRUE(message_end_of_stream(&msg));
	EXPECT_EQ(body(), "all of it");
}

const std::string OK = "HTTP/1.1 200 OK\r\n";

/* Guards against an invalid status that is passed on, or taken for an interim
 * one. */
TEST_F(Message, AStatusHasThreeDigitsInTheRangeOfTheStandard)
{
	start(HTTP_RESPONSE);
	for (const char *line :
	     { "HTTP/1.1 000 X", "HTTP/1.1 0 X", "HTTP/1.1 1 X",
	       "HTTP/1.1 20 OK", "HTTP/1.1 099 X", "HTTP/1.1 0200 OK",
	       "HTTP/1.1 2000 OK", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
	       "HTTP/1.1 -200 OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 OK",
	       "HTTP/1.1", "HTTP/1.1 200OK", "HTTP/0.9 200 OK",
	       "HTTP/2.0 200 OK" }) {
		message_reset(&msg);
		EXPECT_EQ(feed(line + std::string("\r\nContent-Length: 2"
						  "\r\n\r\nok")),
			  -1)
			<< line;
		EXPECT_FALSE(message_end_of_stream(&msg)) << line;
	}
}

/* Guards against refusing answers that are sound and unusual. */
TEST_F(Message, AStatusLineMayLackItsReason)
{
	start(HTTP_RESPONSE);
	for (const char *line :
	     { "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
	       "HTTP/1.1 200 d\xe9j\xe0\tvu", "HTTP/1.1 599 X" }) {
		message_reset(&msg);
		feed(line + std::string("\r\nContent-Length: 2\r\n\r\nok"));
		EXPECT_TRUE(msg.complete) << line;
		EXPECT_EQ(body(), "ok");
	}
}

/* Guards against a reason phrase with bytes that another reader may take for
 * the end of the line. */
TEST_F(Message, AReasonHasNoControlBytes)
{
	start(HTTP_RESPONSE);
	for (int c = 0; c < 256; c++) {
		std::string text = "HTTP/1.1 200 O" + std::string(1, (char)c) +
				   "K\r\nContent-Length: 0\r\n\r\n";
		bool is_sound = c == '\t' || (c >= ' ' && c != 127);

		message_reset(&msg);
		EXPECT_EQ(feed(text) >= 0 && msg.complete, is_sound) << c;
	}
}

/* Guards against a name that two readers take for different ones. */
TEST_F(Message, ANameHasOnlyCharactersOfATokenInAHeadAndATrailer)
{
	const std::string allowed = "!#$%&'*+-.^_`|~";
	const std::string before[] = {
		OK + "Content-Length: 0\r\n",
		OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	};

	start(HTTP_RESPONSE);
	for (int c = 0; c < 256; c++)
		for (const std::string &head : before)
			for (const char *form :
			     { "X%Y: v", "%XY: v", "XY%: v", "%: v" }) {
				std::string line = form;
				bool is_sound =
					isalnum(c) ||
					(c && allowed.find((char)c) !=
						      std::string::npos);

				/* Another line, or a value with a colon. */
				if (c == '\n' || (c == ':' && form[0] != '%'))
					continue;
				/* A continued value is told apart below. */
				if ((c == ' ' || c == '\t') && form[0] == '%' &&
				    head == before[0])
					continue;
				line.replace(line.find('%'), 1, 1, (char)c);
				message_reset(&msg);
				EXPECT_EQ(feed(head + line + "\r\n\r\n") >= 0 &&
						  msg.complete,
					  is_sound)
					<< c << " in " << form;
			}
}

/* Guards against a framing field that counts although its name is another. */
TEST_F(Message, AFramingFieldWithABlankInItsNameIsRefused)
{
	start(HTTP_RESPONSE);
	for (const char *line :
	     { " Content-Length: 2", "Content-Length : 2",
	       "Content-Length\t: 2", "Content -Length: 2",
	       " Transfer-Encoding: chunked", "Transfer-Encoding : chunked",
	       "\tContent-Length: 2", "Content-Length", ": 2", " : 2" }) {
		message_reset(&msg);
		EXPECT_EQ(feed(OK + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"), -1)
			<< line;
	}
	start(HTTP_REQUEST);
	EXPECT_EQ(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n"
		       "\r\nok"),
		  -1);
}

/* Guards against control bytes in values, also of the fields that the parser
 * knows, and against refusing other bytes. */
TEST_F(Message, AValueHasNoControlBytes)
{
	start(HTTP_RESPONSE);
	for (int c = 0; c < 256; c++)
		for (const char *name :
		     { "X-Any", "Connection", "Upgrade", "Proxy-Connection" }) {
			std::string text = OK + name + ": a" +
					   std::string(1, (char)c) +
					   "b\r\nContent-Length: 0\r\n\r\n";
			bool is_sound = c == '\t' || (c >= ' ' && c != 127);

			/* Another line. */
			if (c == '\n')
				continue;
			message_reset(&msg);
			EXPECT_EQ(feed(text) >= 0 && msg.complete, is_sound)
				<< name << " " << c;
		}
}

/* Guards against refusing a value on several lines, or losing the blank between
 * its parts. */
TEST_F(Message, AValueMayGoOnOnTheNextLine)
{
	const std::string text = OK + "X-Long: one\r\n two\r\nX-Late:\r\n"
				      "\tlate\r\nContent-Length:\r\n 2\r\n"
				      "\r\nok";

	start(HTTP_RESPONSE);
	for (size_t part : { text.size(), (size_t)1, (size_t)7 }) {
		message_reset(&msg);
		for (size_t at = 0; at < text.size(); at += part)
			ASSERT_GE(feed(text.substr(at, part)), 0) << part;
		ASSERT_TRUE(msg.complete);
		EXPECT_STREQ(message_header(&msg, "X-Long"), "one two");
		EXPECT_STREQ(message_header(&msg, "X-Late"), "late");
		EXPECT_EQ(body(), "ok");
	}
}

/* Guards against bytes between chunks that are left out unseen. */
TEST_F(Message, ChunksAreDelimitedAsTheStandardSays)
{
	start(HTTP_RESPONSE);
	for (const char *chunks :
	     { "2\r\nokXX0\r\n\r\n", "2\r\nok\r\r0\r\n\r\n",
	       "2\rXok\r\n0\r\n\r\n", "2 3\r\nok\r\n0\r\n\r\n",
	       "2;a\n0\r\nok\r\n0\r\n\r\n", "\r\n2\r\nok\r\n0\r\n\r\n",
	       "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n",
	       "2\r\nok\r\n0\rX\r\n", "2\r\nok\r\n0\r\n\rX",
	       "2;\x01\r\nok\r\n0\r\n\r\n",
	       "10000000000000002\r\nok\r\n0\r\n\r\n" }) {
		std::string text =
			OK + "Transfer-Encoding: chunked\r\n\r\n" + chunks;

		message_reset(&msg);
		EXPECT_EQ(feed(text), -1) << chunks;
		EXPECT_FALSE(message_end_of_stream(&msg)) << chunks;
	}
}

/* Guards against refusing chunks that are sound, however they arrive. */
TEST_F(Message, ChunksMayHaveExtensionsAndTrailers)
{
	const std::string text =
		OK + "Transfer-Encoding: Chunked \r\n\r\n"
		     "2;name=\"va lue\";x\r\nso\r\n"
		     "00A ; y\r\nund chunks\r\n000\r\nX-After: \xe9t\xe9\r\n"
		     "X-Last:\r\n\r\n";

	start(HTTP_RESPONSE);
	for (size_t part = 1; part <= text.size(); part++) {
		message_reset(&msg);
		for (size_t at = 0; at < text.size(); at += part)
			ASSERT_GE(feed(text.substr(at, part)), 0) << part;
		ASSERT_TRUE(msg.complete) << part;
		EXPECT_EQ(body(), "sound chunks");
		EXPECT_STREQ(message_header(&msg, "X-After"), "\xe9t\xe9");
	}
}

/* Guards against a body whose length the head tells in two ways, or by a coding
 * that is not undone here. */
TEST_F(Message, AResponseTellsItsLengthInOneWay)
{
	start(HTTP_RESPONSE);
	for (const char *fields :
	     { "Content-Length:\r\n",
	       "Content-Length: \r\n",
	       "Content-Length: 2, 2\r\n",
	       "Content-Length: +2\r\n",
	       "Content-Length: 2x\r\n",
	       "Content-Length: 2 3\r\n",
	       "Content-Length: 2\r\n 3\r\n",
	       "Content-Length: 2\r\nContent-Length: 3\r\n",
	       "Content-Length: 2\r\nContent-Length:\r\n",
	       "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	       "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
	       "Content-Length: 2\r\nTransfer-Encoding: identity\r\n",
	       "Transfer-Encoding: gzip\r\n",
	       "Transfer-Encoding: gzip, chunked\r\n",
	       "Transfer-Encoding: chunked, chunked\r\n",
	       "Transfer-Encoding: chunked, identity\r\n",
	       "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
	       "Transfer-Encoding: chunked;q=1\r\n",
	       "Transfer-Encoding: xchunked\r\n",
	       "Transfer-Encoding:\r\n" }) {
		message_reset(&msg);
		EXPECT_EQ(feed(OK + fields + "\r\n2\r\nok\r\n0\r\n\r\n"), -1)
			<< fields;
	}
	message_reset(&msg);
	EXPECT_EQ(feed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "2\r\nok\r\n0\r\n\r\n"),
		  -1);
}

/* Guards against a scan that loses its place where bytes arrive in parts: they
 * are read, refused or awaited however they come. */
TEST_F(Message, HowBytesArriveChangesNothing)
{
	const std::string samples[] = {
		OK + "A: b\r\nContent-Length: 4\r\n\r\nbody",
		OK + "Transfer-Encoding: chunked\r\n\r\n2;x\r\nbo\r\n2\r\ndy"
		     "\r\n0\r\nC: d\r\n\r\n",
		OK + "A: b\r\n c\r\n\r\nto the end",
		"HTTP/1.1 304 \r\nContent-Length: 9\r\n\r\n",
	};
	const std::string odd(" \t\r\n:;0aZ\0\x7f\xff", 12);
	std::mt19937 random(20261207);

	for (int run = 0; run < 40000; run++) {
		std::string text = samples[random() % 4];
		std::string found[2];

		for (unsigned n = random() % 3; n; n--)
			text[random() % text.size()] =
				odd[random() % odd.size()];
		for (size_t part : { text.size(), random() % 9 + 1 }) {
			std::string &as = found[part != text.size()];

			start(HTTP_RESPONSE);
			for (size_t at = 0; at < text.size(); at += part)
				if (feed(text.substr(at, part)) < 0)
					as = "refused ";
			as += msg.complete ? "complete " + body() : "awaited";
			if (as == "awaited" && message_end_of_stream(&msg))
				as = "ended " + body();
			message_free(&msg);
		}
		ASSERT_EQ(found[0], found[1]) << text;
	}
}

/* Guards against waiting for a body that a status excludes. */
TEST_F(Message, SomeStatusesHaveNoBodyWhateverTheHeadSays)
{
	start(HTTP_RESPONSE);
	for (const char *status : { "100 X", "103 X", "204 X", "304 X" })
		for (const char *fields :
		     { "", "Content-Length: 10\r\n",
		       "Content-Length: 99999999\r\n",
		       "Transfer-Encoding: chunked\r\n" }) {
			message_reset(&msg);
			feed("HTTP/1.1 " + std::string(status) + "\r\n" +
			     fields + "\r\n");
			EXPECT_TRUE(msg.complete) << status << fields;
		}
}

TEST_F(Message, AResponseToHeadHasNoBody)
{
	start(HTTP_RESPONSE);
	msg.head_only = true;
	feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
	EXPECT_TRUE(msg.complete);
}

} // namespace
