/*
 * Monotonic configuration: no VM returns to an older revision. The platform may
 * give each reader a stale copy or none. Two VMs exchange their revisions, and
 * either may be replaced and lose all its state at any step. A VM serves only
 * once its revision is confirmed. models/README.md maps the steps to functions.
 */
#define NEWEST 3
#define VMS 2

byte published = 1;
byte held[VMS];			/* revision in force; 0: none yet */
bool confirmed[VMS];
bool alone[VMS];		/* serves unconfirmed and reports so */
byte lives = 0;
byte floor_revision = 0;	/* highest revision in force everywhere */

/*
 * A message to the other VM, delayed arbitrarily: the sender's revision, whether
 * that is confirmed, the last incarnation of the receiver that the sender heard
 * from, and the sender's own incarnation.
 */
chan wire[VMS] = [1] of { byte, bool, byte, byte };
byte life[VMS] = 1;
byte heard_life[VMS];

inline take(i, r)
{
#ifdef TAKE_ANY
	held[i] = r
#else
	if
	:: r > held[i] -> held[i] = r
	:: else -> skip
	fi
#endif
}

inline note()
{
	if
	:: confirmed[0] && confirmed[1] && held[0] >= held[1] &&
	   held[1] > floor_revision -> floor_revision = held[1]
	:: confirmed[0] && confirmed[1] && held[0] < held[1] &&
	   held[0] > floor_revision -> floor_revision = held[0]
	:: else -> skip
	fi
}

proctype vm(byte i)
{
	byte r;
	byte to;
	byte from;
	bool c;

	end: do
	/* Read the platform: any published revision, also an old one. */
	:: atomic { r = 1;
		do
		:: r < published -> r++
		:: break
		od;
		take(i, r);
		note() }
	/* Send to the other VM. */
	:: atomic { held[i] > 0 && nfull(wire[1 - i]) ->
		wire[1 - i] ! held[i], confirmed[i], heard_life[i], life[i] }
	/* Receive from the other VM. */
	:: atomic { wire[i] ? r, c, to, from ->
		heard_life[i] = from;
		take(i, r);
#ifdef NO_CONFIRM
		confirmed[i] = true;
#else
		if
#ifdef NO_ECHO
		:: c && held[i] >= r -> confirmed[i] = true
#else
		:: c && held[i] >= r && to == life[i] -> confirmed[i] = true
#endif
		:: else -> skip
		fi;
#endif
		note() }
#ifdef NO_CONFIRM
	:: atomic { held[i] > 0 -> confirmed[i] = true; note() }
#endif
	/* Both are new and hold the same revision: no older state exists. */
	:: atomic { held[i] > 0 && held[1 - i] == held[i] &&
		!confirmed[0] && !confirmed[1] && floor_revision == 0 ->
		confirmed[i] = true;
		note() }
	/* Replaced with all state lost, while the other VM is not. */
	:: atomic { lives < 2 && confirmed[1 - i] && !alone[1 - i] ->
		lives++;
		life[i]++;
		heard_life[i] = 0;
		held[i] = 0;
		confirmed[i] = false }
	od
}

proctype team()
{
	do
	:: published < NEWEST -> published++
	:: break
	od
}

/* Enabled in every state, so the assertion is checked in all of them. */
active proctype watch()
{
	end: assert((!confirmed[0] || held[0] >= floor_revision) &&
		    (!confirmed[1] || held[1] >= floor_revision))
}

init
{
	atomic { run vm(0); run vm(1); run team() }
}
