/*
 * Distribution of one target's state from the platform's store to the VMs: some
 * VMs read complete lists, and all forward single records. Both may be delayed,
 * duplicated, lost and reordered. The target registers (revision 1), announces
 * that it leaves (2) and is removed (3). A list carries the revision as of which
 * it is complete, and the target's revision if the target is in it.
 *
 * Invariants: a VM that has seen the target leaving or removed never considers
 * it ready again, and no VM considers it removed before it was.
 */
#define VMS 2
#define REMOVED 3
#define LEAVING 2
#define MOST_SENT 4

mtype = { list, record };

byte store;		/* newest revision of the target; 0: none yet */
byte known[VMS];	/* newest revision of the target at the VM */
bool gone[VMS];
bool left[VMS];		/* the VM has seen the target leaving or removed */
byte sent;

/* kind, receiving VM, as of, revision of the target (0: not in the list) */
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

/* A target missing from a complete list is removed, unless known to be newer. */
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

/* Reads of the store, and records that VMs forward. */
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
		:: nfull(net) -> net!kind,vm,as_of,rev	/* duplicated */
		:: true
		fi
	   }
	:: atomic { net??[record,_,_,_] -> net??record,vm,as_of,rev;
		    kind = record }
	   goto handle
	:: atomic { nempty(net) -> net?kind,vm,as_of,rev }	/* lost */
	od
}
