/* Connections to targets on behalf of VMs that can't reach them. */
#ifndef TUNNEL_H
#define TUNNEL_H

#include "entry.h"

/* Call on the peer port, followed by the hash of the target in hexadecimal. */
#define TUNNEL_PATH	"/peer/tunnel/"
#define TUNNEL_PROTOCOL "toucanreel-tunnel"

/* Status of the reply. From the first one on, the connection carries bytes for
 * the target, and frames with the bytes that come from it. */
#define TUNNEL_OPEN	 101
#define TUNNEL_FORBIDDEN 403 /* not from a VM of the fleet */
#define TUNNEL_UNKNOWN	 404 /* the target is not listed here, or leaves */
#define TUNNEL_REFUSED	 502 /* the target refused the connection */
#define TUNNEL_NO_PATH	 503 /* this VM has no path, or leaves, or is full */
#define TUNNEL_NO_ANSWER 504 /* the target did not answer */

void tunnel_request(struct entry *e, struct caller *caller);
void tunnel_caller_gone(struct caller *caller);
void tunnel_free_all(struct entry *e);

#endif
