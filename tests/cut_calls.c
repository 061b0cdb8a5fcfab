/*
 * Linked into a copy of the entry daemon in place of connect() and send(): the
 * tests set the state of the path from each VM to the targets in a file. The
 * library calls themselves are wrapped by the linker.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define TARGET_PORT 9000
/* Nothing is accepted there, and connections hang. */
#define FULL_PORT 9002

int __real_connect(int fd, const struct sockaddr *to, socklen_t len);
int __wrap_connect(int fd, const struct sockaddr *to, socklen_t len);
ssize_t __real_send(int fd, const void *data, size_t len, int flags);
ssize_t __wrap_send(int fd, const void *data, size_t len, int flags);

/* Returns the first letter of the state of this VM's path, or 'o', open. */
static char path_state(int fd)
{
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);
	char ip[INET_ADDRSTRLEN] = "";
	char name[256];
	char state = 'o';
	FILE *file;

	if (getsockname(fd, (struct sockaddr *)&from, &len))
		return state;
	inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	snprintf(name, sizeof(name), "%s/%s.path", getenv("CUT_PATH_DIR"), ip);
	file = fopen(name, "re");
	if (!file)
		return state;
	if (fread(&state, 1, 1, file) != 1)
		state = 'o';
	fclose(file);
	return state;
}

int __wrap_connect(int fd, const struct sockaddr *to, socklen_t len)
{
	struct sockaddr_in dead = *(const struct sockaddr_in *)to;
	char state;

	if (dead.sin_port != htons(TARGET_PORT))
		return __real_connect(fd, to, len);
	state = path_state(fd);
	if (state == 'r') {
		errno = ECONNREFUSED;
		return -1;
	}
	if (state == 'h')
		dead.sin_port = htons(FULL_PORT);
	return __real_connect(fd, (const struct sockaddr *)&dead, len);
}

ssize_t __wrap_send(int fd, const void *data, size_t len, int flags)
{
	struct sockaddr_in to = { 0 };
	socklen_t to_len = sizeof(to);

	if (!getpeername(fd, (struct sockaddr *)&to, &to_len) &&
	    to.sin_port == htons(TARGET_PORT) && path_state(fd) == 'h')
		return (ssize_t)len;
	return __real_send(fd, data, len, flags);
}
