/* libFuzzer target for the parsers of store responses (pages, targets,
 * configurations) and of HTTP messages. The first input byte selects the
 * parser. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"
#include "error.h"
#include "message.h"
#include "platform.h"

static void parse_page(const char *text, size_t len)
{
	struct tr_error err = { 0 };
	struct store_page page;

	store_page_init(&page);
	platform_dialect.parse_page(text, len, &page, &err);
	store_page_clear(&page);
}

static void parse_values(char *text, size_t len)
{
	struct store_item item = { "servers/i-1", text, len, 1, false };
	struct tr_target_record record;
	struct tr_error err = { 0 };

	platform_dialect.parse_target(&item, &record, &err);
	tr_routes_unref(platform_dialect.parse_routes(&item, &err));
}

/* Numbers in a notice must be non-negative, and the limit below 1e33. */
static void parse_notice(const struct message *msg)
{
	struct tr_notice notice;

	platform_dialect.parse_notice(msg, &notice);
	if (!(notice.limit >= 0 && notice.limit < 1e33) || notice.backoff < 0)
		abort();
}

static void parse_messages(enum http_parser_type type, const char *text,
			 size_t len)
{
	struct message msg;
	ssize_t used;

	message_init(&msg, type, 4096, 4096);
	while (len && (used = message_feed(&msg, text, len)) > 0) {
		text += used;
		len -= (size_t)used;
		if (!msg.complete)
			continue;
		message_header(&msg, "Host");
		parse_notice(&msg);
		message_reset(&msg);
	}
	message_end_of_stream(&msg);
	message_free(&msg);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (!size)
		return 0;
	text = g_memdup2(data + 1, size - 1);
	switch (data[0] % 4) {
	case 0:
		parse_page(text, size - 1);
		break;
	case 1:
		parse_values(text, size - 1);
		break;
	case 2:
		parse_messages(HTTP_REQUEST, text, size - 1);
		break;
	default:
		parse_messages(HTTP_RESPONSE, text, size - 1);
		break;
	}
	g_free(text);
	return 0;
}
