#ifndef TR_HELD_BYTES_H
#define TR_HELD_BYTES_H

/*
 * The bytes of large requests in flight at a target, over all VMs, and how many
 * it can hold. All zero is a target that holds nothing and of which nothing is
 * known.
 */
#include <stdbool.h>
#include <stdint.h>

/*
 * Bodies below this many bytes are neither counted nor held back: a target's
 * memory for a request without a body is of this size.
 */
#define TR_HELD_BODY_MIN 16000

struct tr_held_bytes {
	/* Of this VM's requests. */
	uint64_t own;
	/* Of the other VMs' requests, as they last reported. */
	uint64_t others;
	/* The most that the target held when it answered such a request. */
	uint64_t borne;
	/* Own bytes are to be reported in this many messages. */
	uint8_t reports_due;
	/* This VM has sent such a request there. */
	bool used;
};

/* The mean size of a service's large bodies at this VM. */
struct tr_usual_body {
	double bytes;
	double weight;
};

bool tr_held_bytes_counts(uint64_t body);
void tr_usual_body_add(struct tr_usual_body *usual, uint64_t body);
void tr_held_bytes_add(struct tr_held_bytes *held, uint64_t body);
void tr_held_bytes_remove(struct tr_held_bytes *held, uint64_t body,
			  bool answered);
void tr_held_bytes_report_again(struct tr_held_bytes *held);
uint32_t tr_held_bytes_kilobytes(const struct tr_held_bytes *held);
void tr_held_bytes_reported(struct tr_held_bytes *held, uint32_t before,
			    uint32_t kilobytes);
uint64_t tr_held_bytes_bound(const struct tr_held_bytes *held,
			     const struct tr_usual_body *usual, uint32_t slots);
bool tr_held_bytes_can_take(const struct tr_held_bytes *held,
			    const struct tr_usual_body *usual, uint32_t slots,
			    uint64_t body);

#endif
