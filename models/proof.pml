/*
 * For how long a VM may go by a configuration of which it hears nothing newer.
 * The store holds configuration 1 and accepts 2, which takes a key away, at any
 * time. A reader asks the store, another VM asks the reader; questions and
 * answers may be late, lost or overtake each other, and either VM may stand
 * still, which is when time passes without a step of its own.
 *
 * Holds: a VM that goes by configuration 1 under a proof that is younger than
 * the bound does so no later than the bound after 2 was accepted.
 */
#define BOUND 2
#define END 6
#define READER 0
#define ASKER 1

byte now;
byte accepted = 255;	/* when configuration 2 was accepted */
byte held[2] = 1;	/* the configuration in force */
bool proven[2];
byte proof[2];		/* until when that is proven to be the newest */
byte asked[2];		/* when the open question was sent */
bool asking[2];

/* From the store: the configuration it held, at a time after the question. */
chan answers = [1] of { byte };
/* To and from the reader: a question; an answer's configuration and age. */
chan questions = [1] of { bool };
chan told = [2] of { byte, byte };

inline renew(vm, at)
{
	if
	:: !proven[vm] || at > proof[vm] -> proven[vm] = true; proof[vm] = at
	:: else
	fi
}

/* A request under the key comes to the VM. */
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
	:: atomic { asking[READER] && empty(answers) ->	/* it gives up */
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
		/* Whatever else is on its way answers an earlier question. */
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
	/* The configuration itself comes, sooner or later. */
	:: atomic { held[ASKER] < held[READER] -> held[ASKER] = held[READER] }
	:: atomic { serve(ASKER) }
	:: now == END -> break
	od
}
