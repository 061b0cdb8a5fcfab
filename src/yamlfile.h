/* Loads YAML files by a libcyaml schema, with precise errors. */
#ifndef YAMLFILE_H
#define YAMLFILE_H

#include <cyaml/cyaml.h>
#include <stddef.h>

struct tr_error;

void *yamlfile_load(const char *text, size_t len,
		    const struct cyaml_schema_value *schema,
		    struct tr_error *err);
void yamlfile_free(const struct cyaml_schema_value *schema, void *data);
int yamlfile_find_line(const char *text, size_t len, const char *path);
char *yamlfile_read(const char *path, size_t *len, struct tr_error *err);

#endif
