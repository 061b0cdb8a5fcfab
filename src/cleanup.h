/* Variables that are released when they go out of scope. */
#ifndef CLEANUP_H
#define CLEANUP_H

#include <jansson.h>
#include <stdlib.h>

static inline void cleanup_free(void *p)
{
	free(*(void **)p);
}

static inline void cleanup_json(json_t **json)
{
	json_decref(*json);
}

/* Attributes of a pointer: free() or json_decref() at the end of its scope. */
#define auto_free __attribute__((cleanup(cleanup_free)))
#define auto_json __attribute__((cleanup(cleanup_json)))

#endif
