/* Which VMs a message names, by which others find each other. */
#include <string.h>

#include "mesh_internal.h"

/* The lengths of a data centre's name and of its list, and the padding. */
#define CENTRE_HEAD 11

static void add_nodes_of(const struct tr_membership *m,
			 struct mesh_centre *centre, uint32_t *nodes,
			 unsigned start, unsigned most, apr_time_t now)
{
	centre->nodes.nodes_val = nodes;
	for (unsigned i = 0; i < m->count && centre->nodes.nodes_len < most;
	     i++) {
		const struct tr_node *node = &m->nodes[(start + i) % m->count];

		if (!strcmp(node->data_centre, centre->name) &&
		    tr_node_alive(m, node, now))
			nodes[centre->nodes.nodes_len++] = node->ip;
	}
}

static bool is_listed(const struct mesh_nodes *lists, unsigned count,
		      const char *centre)
{
	for (unsigned i = 0; i < count; i++)
		if (!strcmp(lists->centres[i].name, centre))
			return true;
	return false;
}

/* So many VMs of this group that are heard, from a random one on; or of the
 * data centre, if one is named. */
void mesh_add_nodes(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_nodes *lists, const char *centre, unsigned most,
		    apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	unsigned start = tr_random_below(&mesh->e->random, m->count);
	unsigned reported = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[(start + i) % m->count];

		if (reported == most || n == MESH_MAX_CENTRES)
			break;
		if (!*node->data_centre ||
		    (centre ? strcmp(node->data_centre, centre) != 0
			    : !node->near) ||
		    is_listed(lists, n, node->data_centre))
			continue;
		lists->centres[n] = (struct mesh_centre){
			.name = (char *)node->data_centre,
		};
		add_nodes_of(m, &lists->centres[n], lists->nodes + reported,
			     start, most - reported, now);
		reported += lists->centres[n++].nodes.nodes_len;
	}
	msg->centres.centres_val = lists->centres;
	msg->centres.centres_len = n;
}

/* What the named VMs take of a message; names are padded to words. */
size_t mesh_bytes_of_nodes(const struct mesh_message *msg)
{
	size_t bytes = 0;

	for (u_int c = 0; c < msg->centres.centres_len; c++) {
		const struct mesh_centre *centre = &msg->centres.centres_val[c];

		bytes += CENTRE_HEAD + strlen(centre->name) +
			 centre->nodes.nodes_len * BYTES_A_NODE;
	}
	return bytes;
}

/* Learn the VMs that a message names. */
void mesh_handle_nodes(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	(void)now;
	for (u_int c = 0; c < msg->centres.centres_len; c++) {
		const struct mesh_centre *centre = &msg->centres.centres_val[c];
		const char *name =
			*centre->name ? centre->name : msg->data_centre;

		for (u_int i = 0; i < centre->nodes.nodes_len; i++)
			tr_membership_find_or_add_at(&mesh->e->members,
						     centre->nodes.nodes_val[i],
						     name);
	}
}
