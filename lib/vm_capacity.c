/*
 * The weights of VMs that differ in size, and the draw of those that an answer
 * to a lookup names.
 *
 * Callers pick one address of an answer at random for each connection, so a VM
 * gets connections in proportion to how often answers name it. The draw is
 * systematic sampling (Madow, 1949): each VM is named with a probability of
 * exactly its part of the weights times the size of the answer, as long as that
 * is 1 at most. Drawing one VM after the other by weight would name large VMs
 * less often than their weights say, the more so the larger the answer is.
 */
#include "vm_capacity.h"

#include <math.h>

#include "clock.h"
#include "membership.h"

/* A core can't be used up where the link carries less than this for it. The
 * largest load peak expected is 13 Mbit/s for each core of the fleet; large
 * bodies must find the link free most of the time. */
#define LINK_MBPS_PER_CORE 32
#define CAPACITY_PER_CORE  1000
/* A report of requests in hand that is older says nothing of the load. VMs of a
 * group report at least every 1.5 s, those of other groups about every 14 s. */
#define IN_HAND_MAX_AGE TR_SEC(2)
/* Requests in hand vary by chance, by the square root of their mean. Up to
 * three times that, VMs count as equally loaded: one in 200 exceeds it at any
 * time. */
#define CHANCE_DEVIATIONS 3
/* Requests added to those in hand and to the part of a VM, so that a few more
 * or less at a small VM, which are chance, change its weight little. They also
 * keep the weight from changing by more than the load did: answers are kept for
 * seconds, and a steeper response would overshoot. */
#define LOAD_SMOOTHING 4
/* A VM that has just joined has nothing in hand, and callers keep answers for
 * 5 s, so what it draws is seen late: it must stay below twice its part. */
#define LOAD_FACTOR_MAX 1.5
/* A busy VM stays in answers, since the count of its requests may be late. */
#define LOAD_FACTOR_MIN 0.25
/* Rounding of a sum of weights. */
#define WEIGHT_TOLERANCE 1e-9

/*
 * Returns the capacity that a VM reports, in thousandths of a core: its
 * processor share, or the part of it that its link can serve. 0 if the share is
 * not known.
 */
uint32_t tr_vm_capacity(double cores, double link_mbps)
{
	double usable = fmin(cores, link_mbps / LINK_MBPS_PER_CORE);
	double capacity = round(usable * CAPACITY_PER_CORE);

	if (!(cores > 0))
		return 0;
	return (uint32_t)fmin(fmax(capacity, 1), UINT32_MAX);
}

/* Returns what a VM last reported of its capacity and its load. */
struct tr_vm_load tr_vm_load_of(const struct tr_node *node, apr_time_t now)
{
	return (struct tr_vm_load){
		.capacity = node->capacity,
		.in_hand = node->in_hand,
		.in_hand_known =
			node->load_at && now - node->load_at <= IN_HAND_MAX_AGE,
	};
}

/* Returns the mean of the capacities that are known, or 1 if none is. */
static double mean_capacity(const struct tr_vm_load *vms, unsigned count)
{
	double sum = 0;
	unsigned known = 0;

	for (unsigned i = 0; i < count; i++) {
		sum += vms[i].capacity;
		known += vms[i].capacity > 0;
	}
	return known ? sum / known : 1;
}

static double capacity_of(const struct tr_vm_load *vm, double mean)
{
	return vm->capacity ? vm->capacity : mean;
}

/* Returns the requests in hand for each unit of capacity, over all VMs whose
 * requests in hand are known. */
static double mean_load(const struct tr_vm_load *vms, unsigned count,
			double mean)
{
	double in_hand = 0;
	double capacity = 0;

	for (unsigned i = 0; i < count; i++) {
		if (!vms[i].in_hand_known)
			continue;
		in_hand += vms[i].in_hand;
		capacity += capacity_of(&vms[i], mean);
	}
	return capacity > 0 ? in_hand / capacity : 0;
}

/* Returns by how much the load of a VM changes its weight. part: the requests
 * in hand that it would have by its capacity. */
static double load_factor(double in_hand, double part)
{
	double factor = (part + LOAD_SMOOTHING) / (in_hand + LOAD_SMOOTHING);

	return fmin(fmax(factor, LOAD_FACTOR_MIN), LOAD_FACTOR_MAX);
}

/* Returns whether the requests in hand differ from the part of a VM by more
 * than chance. One is added to the part since chance gives a VM a request also
 * where its part is far below one. */
static bool is_beyond_chance(double in_hand, double part)
{
	return fabs(in_hand - part) > CHANCE_DEVIATIONS * sqrt(part + 1);
}

/*
 * Sets the weight of each VM: its capacity, or the mean of those known, changed
 * by its load. Returns whether the VMs differ in capacity, or in load by more
 * than chance.
 */
bool tr_vm_weigh(const struct tr_vm_load *vms, unsigned count, double *weights)
{
	double mean = mean_capacity(vms, count);
	double load = mean_load(vms, count, mean);
	bool differ = false;

	for (unsigned i = 0; i < count; i++) {
		double capacity = capacity_of(&vms[i], mean);
		double part = load * capacity;

		weights[i] = capacity;
		differ |= capacity != capacity_of(&vms[0], mean);
		if (!vms[i].in_hand_known)
			continue;
		weights[i] *= load_factor(vms[i].in_hand, part);
		differ |= is_beyond_chance(vms[i].in_hand, part);
	}
	return differ;
}

/*
 * Returns how many VMs an answer names: as many as possible while none would
 * have to be named more than once in each answer to get its part.
 */
unsigned tr_vm_answer_size(const double *weights, unsigned count)
{
	unsigned most = count < TR_VM_ANSWER_MAX ? count : TR_VM_ANSWER_MAX;
	double sum = 0;
	double largest = 0;
	double size;

	for (unsigned i = 0; i < count; i++) {
		sum += weights[i];
		largest = fmax(largest, weights[i]);
	}
	if (!(largest > 0))
		return most;
	size = floor(sum / largest * (1 + WEIGHT_TOLERANCE));
	if (size < TR_VM_ANSWER_MIN)
		size = TR_VM_ANSWER_MIN;
	return size < most ? (unsigned)size : most;
}

/*
 * Returns the factor by which weights become probabilities with a sum of size.
 * A VM whose probability would exceed 1 is in every answer, and the others
 * share the rest by weight.
 */
static double probability_scale(const double *weights, unsigned count,
				unsigned size)
{
	double scale = 0;
	unsigned always = 0;

	for (;;) {
		double rest = 0;
		unsigned before = always;

		always = 0;
		for (unsigned i = 0; i < count; i++) {
			if (scale * weights[i] >= 1)
				always++;
			else
				rest += weights[i];
		}
		if (always >= size || (scale > 0 && always == before))
			return scale;
		scale = (size - always) / rest;
	}
}

static void shuffle(unsigned *order, unsigned count, struct tr_random *random)
{
	for (unsigned i = 0; i < count; i++) {
		unsigned at = tr_random_below(random, i + 1);

		order[i] = order[at];
		order[at] = i;
	}
}

/*
 * Draws size of the VMs without replacement, each with a probability by its
 * weight, and sets the first rows of drawn, which has room for all VMs, to
 * them. Returns how many these are. The order is random for each draw, so that
 * any two VMs may be drawn together.
 */
unsigned tr_vm_draw(const double *weights, unsigned count, unsigned size,
		    struct tr_random *random, unsigned *drawn)
{
	unsigned n = 0;
	double scale;
	double next;
	double sum = 0;

	shuffle(drawn, count, random);
	if (size >= count)
		return count;
	scale = probability_scale(weights, count, size);
	next = tr_random_unit(random);
	for (unsigned i = 0; i < count && n < size; i++) {
		unsigned vm = drawn[i];

		sum += fmin(scale * weights[vm], 1);
		if (sum <= next)
			continue;
		drawn[n++] = vm;
		next++;
	}
	return n;
}
