#ifndef ROUTES_CHECK_H
#define ROUTES_CHECK_H

/* The check of a configuration file before it is sent. */
struct dialect;

int routes_check(const struct dialect *dialect, const char *path,
		 const char *in_force_path);

#endif
