/*
 Claim of a non-idempotent request that the caller sends through two entries.

 Asserted: the request runs at most once, and "not run" is answered only if it did not run.
 Broken variants: SEND_BEFORE_CLAIM, RELEASE_AFTER_SEND, CLAIM_PER_ENTRY.
*/
byte claim[2];      /* committed: 0 free, 1 running, 2 settled */
byte owner;         /* entry that holds the claim, plus one */
byte runCount;      /* number of times that the request ran */
byte answer[2];     /* answer of each entry: 1 result, 2 not run, 3 unknown */
bool startedBy[2];  /* the entry has started the request */

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
		atomic { sent = true; runCount++; startedBy[id] = true; assert(runCount <= 1) }
#endif
		atomic {
			if
			:: claim[CELL] == 0 -> claim[CELL] = 1; owner = id + 1; granted = true
			:: claim[CELL] == 1 && owner == id + 1 && !sent -> granted = true
			:: else -> granted = false
			fi
		}
		if
		:: !granted -> answer[id] = 3; break
		:: granted ->
			if
			/* the first byte is sent to the backend server */
			:: true -> atomic { sent = true; runCount++; startedBy[id] = true; assert(runCount <= 1) };
				if
				:: claim[CELL] = 2; answer[id] = 1; break
				/* connection broken, or the response is late: outcome unknown, the claim stays */
				:: answer[id] = 3;
#ifdef RELEASE_AFTER_SEND
					claim[CELL] = 0;
#endif
					break
				/* the entry crashes */
				:: break
				fi
			/* no byte was sent: the claim is released, or the request is retried under the same claim */
			:: true -> atomic { claim[CELL] = 0; answer[id] = 2; assert(!startedBy[id]) }; break
			:: true -> skip
			fi
		fi
	:: else -> break
	od
}

init { atomic { run entry(0); run entry(1) } }
