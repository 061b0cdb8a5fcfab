/*
 * At-most-once execution: one idempotency key minted by one incarnation of VM A,
 * a caller that retries at A and at B, and a target that executes every request
 * it receives. A can crash and restart at any step; messages are delayed,
 * reordered and duplicated arbitrarily; A drops its record of the key after the
 * key has expired. A paused process takes no step. models/README.md maps the
 * steps to functions.
 */
#define TRIES 3

mtype = { request, forward };
mtype = { none, sent, answered, unknown };

chan to_a = [2] of { mtype, byte };	/* kind, incarnation in the key */
chan to_b = [2] of { byte };
chan to_target = [1] of { bit };
chan from_target = [1] of { bit };	/* 1: rejected, not executed */

byte boot = 1;			/* current incarnation of A */
byte key_boot = 1;		/* the incarnation that minted the key */
bool expired = false;		/* by A's own clock */
mtype record = none;		/* A's record of the key */
byte runs = 0;
byte in_flight = 0;		/* sent requests that may still execute */

/* Reports the key as not run, which must hold now and until a retry. */
inline say_not_run()
{
	assert(runs == 0 && in_flight == 0)
}

inline admit(b)
{
#ifdef NO_BOOT_CHECK
	if
	:: skip ->
#else
	if
	:: b != boot -> skip		/* key-dead: unknown */
	:: b == boot ->
#endif
		if
#ifndef NO_EXPIRY_CHECK
		:: expired -> skip	/* key-expired: unknown */
		:: !expired ->
#else
		:: true ->
#endif
			if
			:: record == none ->
				record = sent;
				in_flight++;
				to_target ! 0
			:: record != none -> skip	/* already recorded: not sent again */
			fi
		fi
	fi
}

proctype vm_a()
{
	byte b;
	bit refused;

	end: do
	:: atomic { to_a ? request(b) -> admit(b) }
	:: atomic { to_a ? forward(b) -> admit(b) }
	:: atomic { from_target ? refused ->
		if
		:: record == sent && refused ->
			say_not_run();
			record = none
		:: record == sent && !refused -> record = answered
		:: else -> skip			/* of an earlier incarnation */
		fi }
	/* The connection breaks after the request was sent. */
#ifdef UNKNOWN_IS_NOT_RUN
	:: atomic { record == sent -> record = none }
#else
	:: atomic { record == sent -> record = unknown }
#endif
	/* Crash and restart: all state is lost. */
	:: atomic { boot < 2 -> boot++; record = none; expired = false }
	/* The key expires, and its record is removed later. */
	:: atomic { !expired && boot == key_boot -> expired = true }
	:: atomic { expired && record != none && record != sent ->
		record = none }
	od
}

proctype vm_b()
{
	byte b;

	end: do
	:: atomic { to_b ? b ->
		if
		:: nfull(to_a) -> to_a ! forward(b)
		:: true -> skip		/* A is unreachable: unknown */
		fi }
	od
}

proctype target()
{
	bit x;

	end: do
	:: atomic { to_target ? x ->
		if
		:: runs < 3 -> runs++; in_flight--; from_target ! 0
		:: in_flight--; from_target ! 1		/* rejected: not executed */
		:: runs < 3 -> runs++; in_flight--	/* executed, response lost */
		:: in_flight--				/* request lost */
		fi }
	/* A late or duplicate response is discarded. */
	:: atomic { from_target ? x -> skip }
	od
}

proctype caller()
{
	byte tries = 0;

	do
	:: tries < TRIES -> atomic { tries++;
		if
		:: nfull(to_a) -> to_a ! request(key_boot)
		:: nfull(to_b) -> to_b ! key_boot
		:: true -> skip
		fi }
	:: break
	od
}

/* Enabled in every state, so the assertion is checked in all of them. */
active proctype watch()
{
	end: assert(runs <= 1)
}

init
{
	atomic { run vm_a(); run vm_b(); run target(); run caller() }
}
