#ifndef TR_VM_CAPACITY_H
#define TR_VM_CAPACITY_H

/*
 * Which VMs the answer to a lookup names where VMs differ in size: a weight for
 * each VM by its capacity and by the requests it has in hand, and a draw of VMs
 * with probability by weight.
 */
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"

struct tr_node;

/* The most VMs that an answer names. */
#define TR_VM_ANSWER_MAX 64
/* The fewest, if there are as many: the loss of a VM, or of a few, must leave
 * callers other addresses. */
#define TR_VM_ANSWER_MIN 8

/* What is known of a VM that takes callers. */
struct tr_vm_load {
	uint32_t capacity; /* in thousandths of a core; 0: not known */
	uint32_t in_hand;
	bool in_hand_known;
};

uint32_t tr_vm_capacity(double cores, double link_mbps);
struct tr_vm_load tr_vm_load_of(const struct tr_node *node, apr_time_t now);
bool tr_vm_weigh(const struct tr_vm_load *vms, unsigned count, double *weights);
unsigned tr_vm_answer_size(const double *weights, unsigned count);
unsigned tr_vm_draw(const double *weights, unsigned count, unsigned size,
		    struct tr_random *random, unsigned *drawn);

#endif
