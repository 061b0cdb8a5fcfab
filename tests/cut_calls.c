/*
 * Linked into a copy of the entry daemon in place of connect(), send() and
 * sendto(): the tests set the state of the path from each VM to the targets,
 * and to the other VMs, in files. The library calls themselves are wrapped by
 * the linker.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define TARGET_PORT 9000
#define PEER_PORT   8004
/* Nothing is accepted there, and connections hang. */
#define FULL_PORT 9002

int __real_connect(int fd, const struct sockaddr *to, socklen_t len);
int __wrap_connect(int fd, const struct sockaddr *to, socklen_t len);
ssize_t __real_send(int fd, const void *data, size_t len, int flags);
ssize_t __wrap_send(int fd, const void *data, size_t len, int flags);
ssize_t __real_sendto(int fd, const void *data, size_t len, int flags,
		      const struct sockaddr *to, socklen_t to_len);
ssize_t __wrap_sendto(int fd, const void *data, size_t len, int flags,
		      const struct sockaddr *to, socklen_t to_len);

/* Returns the first letter of the file of the VM with the address, or 'o',
 * open. */
static char read_state(const char *dir, const struct sockaddr_in *vm,
		       const char *kind)
{
	char ip[INET_ADDRSTRLEN] = "";
	char name[256];
	char state = 'o';
	FILE *file;

	inet_ntop(AF_INET, &vm->sin_addr, ip, sizeof(ip));
	snprintf(name, sizeof(name), "%s/%s.%s", dir, ip, kind);
	file = fopen(name, "re");
	if (!file)
		return state;
	if (fread(&state, 1, 1, file) != 1)
		state = 'o';
	fclose(file);
	return state;
}

/* Returns the state of this VM's path to the targets. */
static char path_state(int fd)
{
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);

	if (getsockname(fd, (struct sockaddr *)&from, &len))
		return 'o';
	return read_state(getenv("CUT_PATH_DIR"), &from, "path");
}

/* Returns whether one of the two VMs is in the state, by its first letter:
 * "cut", off from the others, or "refused", their connections. */
static bool has_peers_state(int fd, const struct sockaddr_in *to, char state)
{
	const char *dir = getenv("CUT_PEERS_DIR");
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);

	if (!dir || to->sin_port != htons(PEER_PORT) ||
	    getsockname(fd, (struct sockaddr *)&from, &len))
		return false;
	return read_state(dir, &from, "peers") == state ||
	       read_state(dir, to, "peers") == state;
}

ssize_t __wrap_sendto(int fd, const void *data, size_t len, int flags,
		      const struct sockaddr *to, socklen_t to_len)
{
	if (to && has_peers_state(fd, (const struct sockaddr_in *)to, 'c'))
		return (ssize_t)len;
	return __real_sendto(fd, data, len, flags, to, to_len);
}

int __wrap_connect(int fd, const struct sockaddr *to, socklen_t len)
{
	struct sockaddr_in dead = *(const struct sockaddr_in *)to;
	char state;

	if (has_peers_state(fd, &dead, 'c') ||
	    has_peers_state(fd, &dead, 'r')) {
		errno = ECONNREFUSED;
		return -1;
	}
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

	if (getpeername(fd, (struct sockaddr *)&to, &to_len))
		return __real_send(fd, data, len, flags);
	if (to.sin_port == htons(TARGET_PORT) && path_state(fd) == 'h')
		return (ssize_t)len;
	if (has_peers_state(fd, &to, 'r')) {
		errno = EPIPE;
		return -1;
	}
	return __real_send(fd, data, len, flags);
}
