/*
 Dispatcher hand-over: one slot, two successive dispatchers, one entry, one backend server.

 The first dispatcher holds a lease; the second starts once the lease has expired or was released.
 The entry may be disconnected. Tickets are delayed for any time.

 Asserted: the slot never runs two requests.
 Broken variants: NO_REBUILD, NO_EPOCH_FENCE, NO_VIEW_LEASE, CONFIRM_EARLY.
*/
#define NO 0

#ifdef CONFIRM_EARLY
#define ENTRY_CANNOT_START true
#else
#define ENTRY_CANNOT_START (!entryHasLease)
#endif
#ifdef NO_REBUILD
#define ENTRY_ACCOUNTED_FOR true
#else
#define ENTRY_ACCOUNTED_FOR (reported || confirmed)
#endif
#ifdef NO_VIEW_LEASE
#define MAY_START true
#else
#define MAY_START entryHasLease
#endif

bool hasLease1 = true;      /* the first dispatcher may issue tickets */
bool assigned2;             /* the second is assigned */
bool rebuilt;               /* the second has rebuilt its state and may issue tickets */
byte knownEpoch = 1;        /* epoch known to the entry */
bool entryHasLease = true;  /* the entry's view lease */
bool disconnected;
byte ticket;                /* epoch of the ticket in transit to the entry; NO for none */
bool used1, used2;          /* slot in use, according to the first and the second dispatcher */
byte running;               /* number of requests running in the slot */
bool reported;              /* the entry has reported to the second dispatcher */
bool confirmed;             /* the backend server announced itself after the rebuild began */

active proctype world() {
	do
	/* the first dispatcher */
	:: atomic { hasLease1 && !used1 && ticket == NO -> used1 = true; ticket = 1 }
	:: atomic { hasLease1 -> hasLease1 = false }
	/* the second takes over */
	:: atomic { !assigned2 && !hasLease1 -> assigned2 = true }
	/* the entry receives the new epoch, reports the tickets it holds and accepts no older ones */
	:: atomic { assigned2 && !disconnected && knownEpoch == 1 ->
#ifndef NO_EPOCH_FENCE
		knownEpoch = 2;
#endif
		reported = true; used2 = used2 || (running > 0) }
	/* the backend server announces its running work, once the entry can start no more */
	:: atomic { assigned2 && ENTRY_CANNOT_START && !reported -> confirmed = true; used2 = used2 || (running > 0) }
	:: atomic { assigned2 && !rebuilt && ENTRY_ACCOUNTED_FOR -> rebuilt = true }
	:: atomic { rebuilt && !used2 && !disconnected && ticket == NO -> used2 = true; ticket = 2 }
	/* another entry, which is never disconnected, gets the slot from the second dispatcher */
	:: atomic { rebuilt && !used2 -> used2 = true; running++; assert(running <= 1) }
	/* the entry receives the ticket */
	:: atomic { ticket != NO ->
		if
		:: ticket >= knownEpoch && MAY_START -> running++; assert(running <= 1)
		:: else -> if
			:: ticket == 2 -> used2 = false
			:: else
			fi
		fi;
		ticket = NO }
	/* the work ends; both dispatchers and the backend server register that */
	:: atomic { running > 0 && !disconnected -> running--; used1 = false; used2 = false }
	:: atomic { !disconnected -> disconnected = true }
	/* the view lease expires only while the entry is disconnected */
	:: atomic { disconnected && entryHasLease -> entryHasLease = false }
	:: assigned2 && rebuilt && running == 0 && ticket == NO -> break
	od
}
