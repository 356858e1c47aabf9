/*
 Claim of a non-idempotent request that the caller sends through two entries.

 Asserted: the work runs at most once, and "not run" is said only where it did not run.
 Broken variants: SEND_BEFORE_CLAIM, RELEASE_AFTER_SEND, CLAIM_PER_ENTRY.
*/
byte claim[2];        /* committed: 0 free, 1 running, 2 settled */
byte owner;           /* entry that holds the claim, plus one */
byte ran;
byte said[2];         /* 1 answered, 2 not run, 3 unknown */
bool ranFor[2];

#ifdef CLAIM_PER_ENTRY
#define CELL id
#else
#define CELL 0
#endif

proctype entry(byte id) {
	bool granted, sent;
	byte tries;
	do
	:: tries < 2 ->
		tries++;
#ifdef SEND_BEFORE_CLAIM
		atomic { sent = true; ran++; ranFor[id] = true; assert(ran <= 1) }
#endif
		atomic {
			if
			:: claim[CELL] == 0 -> claim[CELL] = 1; owner = id + 1; granted = true
			:: claim[CELL] == 1 && owner == id + 1 && !sent -> granted = true
			:: else -> granted = false
			fi
		}
		if
		:: !granted -> said[id] = 3; break
		:: granted ->
			if
			/* the first byte leaves */
			:: true -> atomic { sent = true; ran++; ranFor[id] = true; assert(ran <= 1) };
				if
				:: claim[CELL] = 2; said[id] = 1; break
				/* cut, or the answer is late: unknown, the claim stays */
				:: said[id] = 3;
#ifdef RELEASE_AFTER_SEND
					claim[CELL] = 0;
#endif
					break
				/* the entry dies */
				:: break
				fi
			/* no byte left: released, or tried again under the same claim */
			:: true -> atomic { claim[CELL] = 0; said[id] = 2; assert(!ranFor[id]) }; break
			:: true -> skip
			fi
		fi
	:: else -> break
	od
}

init { atomic { run entry(0); run entry(1) } }
