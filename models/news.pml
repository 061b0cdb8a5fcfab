/*
 * How VMs learn of one target of the platform's store: whole lists that some
 * read, and records that they hand on; both may be late, doubled, lost and out
 * of order. The target registers (revision 1), says that it leaves (2) and is
 * removed (3). A list holds as of a revision, and says whether it names the
 * target and with which revision.
 *
 * Holds: a VM that knows that the target leaves or is gone never takes it for
 * ready again, and none calls it gone that was not removed.
 */
#define VMS 2
#define REMOVED 3
#define LEAVING 2
#define MOST_SENT 4

mtype = { list, record };

byte store;		/* newest revision of the target, 0: none yet */
byte known[VMS];	/* newest revision that the VM has of it */
bool gone[VMS];
bool left[VMS];		/* the VM has once known that it leaves or is gone */
byte sent;

/* kind, VM it is for, as of, revision of the target (0: not named) */
chan net = [4] of { mtype, byte, byte, byte };

inline apply(vm, rev)
{
#ifdef TAKE_ANY
	if
	:: rev
#else
	if
	:: rev > known[vm]
#endif
		-> known[vm] = rev;
		   gone[vm] = (rev == REMOVED);
		   assert(!(left[vm] && rev < LEAVING));
		   left[vm] = left[vm] || rev >= LEAVING
	:: else
	fi
}

/* What a whole list does not name is gone, unless it is newer than the list. */
inline drop_unlisted(vm, as_of)
{
#ifdef DROP_NEWER
	if
	:: known[vm] && !gone[vm]
#else
	if
	:: known[vm] && !gone[vm] && known[vm] <= as_of
#endif
		-> gone[vm] = true;
		   left[vm] = true;
		   assert(store == REMOVED);
#ifdef NO_TOMBSTONE
		   known[vm] = 0
#endif
	:: else
	fi
}

active proctype platform()
{
	do
	:: store < REMOVED -> store++
	:: store == REMOVED -> break
	od
}

/* Reads of the store, and VMs that hand on what they know. */
active proctype senders()
{
	byte vm;

	do
	:: sent < MOST_SENT && nfull(net) ->
		select(vm : 0 .. VMS - 1);
		if
		:: atomic {
			if
			:: store == 0 || store == REMOVED ->
				net!list,vm,store,0
			:: else -> net!list,vm,store,store
			fi;
			sent++
		   }
		:: atomic { known[1 - vm] ->
			net!record,vm,0,known[1 - vm];
			sent++
		   }
		:: skip
		fi
	:: sent == MOST_SENT -> break
	od
}

active proctype receivers()
{
	mtype kind;
	byte vm, as_of, rev;

end:
	do
	:: atomic { net??[list,_,_,_] -> net??list,vm,as_of,rev; kind = list }
	   handle: skip;
	   atomic {
		if
		:: kind == list && rev -> apply(vm, rev)
		:: kind == list && !rev -> drop_unlisted(vm, as_of)
		:: kind == record -> apply(vm, rev)
		fi;
		if
		:: nfull(net) -> net!kind,vm,as_of,rev	/* doubled */
		:: true
		fi
	   }
	:: atomic { net??[record,_,_,_] -> net??record,vm,as_of,rev;
		    kind = record }
	   goto handle
	:: atomic { nempty(net) -> net?kind,vm,as_of,rev }	/* lost */
	od
}
