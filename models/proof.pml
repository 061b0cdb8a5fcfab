/*
 * Bound on how long a VM may use a configuration after a newer one exists. The
 * store holds configuration 1 and at any time accepts 2, which revokes a key.
 * One VM (the reader) queries the store, and the other (the asker) queries the
 * reader. Queries and replies may be delayed, lost or reordered, and either VM
 * may be paused while time passes.
 *
 * Invariant: a VM that uses configuration 1 with a proof younger than the bound
 * does so no later than the bound after 2 was accepted.
 */
#define BOUND 2
#define END 6
#define READER 0
#define ASKER 1

byte now;
byte accepted = 255;	/* when configuration 2 was accepted */
byte held[2] = 1;	/* the configuration in force */
bool proven[2];
byte proof[2];		/* time up to which it is proven to be the newest */
byte asked[2];		/* when the outstanding query was sent */
bool asking[2];

/* From the store: its configuration at a time after the query. */
chan answers = [1] of { byte };
/* To the reader: a query; from it: the configuration and the proof's age. */
chan questions = [1] of { bool };
chan told = [2] of { byte, byte };

inline renew(vm, at)
{
	if
	:: !proven[vm] || at > proof[vm] -> proven[vm] = true; proof[vm] = at
	:: else
	fi
}

/* A request with the revoked key arrives at the VM. */
inline serve(vm)
{
	if
	:: proven[vm] && now - proof[vm] < BOUND && held[vm] == 1 ->
		assert(accepted == 255 || now < accepted + BOUND)
	:: else
	fi
}

active proctype clock()
{
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

active proctype store()
{
	do
	:: atomic { accepted == 255 -> accepted = now }
	:: atomic { asking[READER] && empty(answers) ->
		answers!(accepted == 255 -> 1 : 2) }
	:: now == END -> break
	od
}

active proctype reader()
{
	byte rev;

	do
	:: atomic { !asking[READER] ->
		asking[READER] = true; asked[READER] = now }
	:: atomic { answers?rev ->
		if
		:: rev > held[READER] -> held[READER] = rev
		:: else
		fi;
#ifdef FROM_THE_ANSWER
		renew(READER, now);
#else
		renew(READER, asked[READER]);
#endif
		asking[READER] = false }
	:: atomic { asking[READER] && empty(answers) ->	/* query timed out */
		asking[READER] = false }
	:: atomic { nempty(questions) && proven[READER] && nfull(told) ->
		questions?_;
		told!held[READER],now - proof[READER] }
	:: atomic { serve(READER) }
	:: now == END -> break
	od
}

active proctype asker()
{
	byte rev, age;

	do
	:: atomic { !asking[ASKER] && nfull(questions) ->
		questions!true; asking[ASKER] = true; asked[ASKER] = now }
	:: atomic { nempty(told) ->
		told?rev,age;
		if
#ifdef ANY_REVISION
		:: true
#else
		:: held[ASKER] >= rev
#endif
		->
#ifdef ONE_WAY
			renew(ASKER, now - age)
#else
			if
			:: asking[ASKER] && asked[ASKER] >= age ->
				renew(ASKER, asked[ASKER] - age)
			:: else
			fi
#endif
		:: else
		fi;
		asking[ASKER] = false;
		/* Any other reply in flight belongs to an earlier query. */
		if
		:: nempty(told) -> told?_,_
		:: else
		fi;
		if
		:: nempty(questions) -> questions?_
		:: else
		fi }
	:: atomic { nempty(told) -> told?_,_;	/* lost */
		asking[ASKER] = false;
		if
		:: nempty(questions) -> questions?_
		:: else
		fi }
	/* The configuration itself arrives eventually. */
	:: atomic { held[ASKER] < held[READER] -> held[ASKER] = held[READER] }
	:: atomic { serve(ASKER) }
	:: now == END -> break
	od
}
