/* Addresses of VMs in messages, by which VMs find each other. */
#include <string.h>

#include "mesh_internal.h"

/* Length fields of a data centre's name and of its list, and padding. */
#define DATA_CENTRE_HEADER 11

static void add_nodes_of(const struct tr_membership *m,
			 struct mesh_data_centre *dc, uint32_t *nodes,
			 unsigned start, unsigned max, apr_time_t now)
{
	dc->nodes.nodes_val = nodes;
	for (unsigned i = 0; i < m->count && dc->nodes.nodes_len < max; i++) {
		const struct tr_node *node = &m->nodes[(start + i) % m->count];

		if (!strcmp(node->data_centre, dc->name) &&
		    tr_node_alive(m, node, now))
			nodes[dc->nodes.nodes_len++] = node->ip;
	}
}

static bool is_listed(const struct mesh_nodes *storage, unsigned count,
		      const char *dc)
{
	for (unsigned i = 0; i < count; i++)
		if (!strcmp(storage->data_centres[i].name, dc))
			return true;
	return false;
}

/* Adds up to max live VMs of this group, or of the data centre if dc is not
 * NULL, starting from a random one. */
void mesh_add_nodes(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_nodes *storage, const char *dc, unsigned max,
		    apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	unsigned start = tr_random_below(&mesh->e->random, m->count);
	unsigned reported = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[(start + i) % m->count];

		if (reported == max || n == MESH_MAX_DATA_CENTRES)
			break;
		if (!*node->data_centre ||
		    (dc ? strcmp(node->data_centre, dc) != 0 : !node->near) ||
		    is_listed(storage, n, node->data_centre))
			continue;
		storage->data_centres[n] = (struct mesh_data_centre){
			.name = (char *)node->data_centre,
		};
		add_nodes_of(m, &storage->data_centres[n],
			     storage->nodes + reported, start, max - reported,
			     now);
		reported += storage->data_centres[n++].nodes.nodes_len;
	}
	msg->data_centres.data_centres_val = storage->data_centres;
	msg->data_centres.data_centres_len = n;
}

/* Size of the VM addresses in the message, in bytes; names are padded to words.
 */
size_t mesh_nodes_size(const struct mesh_message *msg)
{
	size_t bytes = 0;

	for (u_int c = 0; c < msg->data_centres.data_centres_len; c++) {
		const struct mesh_data_centre *dc =
			&msg->data_centres.data_centres_val[c];

		bytes += DATA_CENTRE_HEADER + strlen(dc->name) +
			 dc->nodes.nodes_len * NODE_BYTES;
	}
	return bytes;
}

/* Adds the VMs that a message lists to the membership. */
void mesh_handle_nodes(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	(void)now;
	for (u_int c = 0; c < msg->data_centres.data_centres_len; c++) {
		const struct mesh_data_centre *dc =
			&msg->data_centres.data_centres_val[c];
		const char *name = *dc->name ? dc->name : msg->data_centre;

		for (u_int i = 0; i < dc->nodes.nodes_len; i++)
			tr_membership_find_or_add_at(&mesh->e->members,
						     dc->nodes.nodes_val[i],
						     name);
	}
}
