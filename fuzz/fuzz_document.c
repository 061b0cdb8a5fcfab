/* libFuzzer target for the parser of service documents. */
#include <stdint.h>

#include "docfile.h"
#include "document.h"
#include "error.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct tr_error err;
	struct tr_document *doc =
		docfile_parse((const char *)data, len, "fuzz", &err);
	char text[512];

	if (doc) {
		tr_document_route(doc, "GET", "/a/b");
		docfile_free(doc);
	} else {
		tr_error_format(&err, text, sizeof(text));
	}
	return 0;
}
