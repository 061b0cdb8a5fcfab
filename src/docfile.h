/* Parser of service documents in YAML. */
#ifndef DOCFILE_H
#define DOCFILE_H

#include <stddef.h>

struct tr_document;
struct tr_error;

struct tr_document *docfile_parse(const char *text, size_t len,
				  const char *name, struct tr_error *err);
void docfile_free(struct tr_document *doc);

#endif
