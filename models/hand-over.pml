/*
 Dispatcher hand-over: one slot, two dispatchers one after the other, one entry, one backend server.

 The first dispatcher holds a lease; the second starts once that has run out or was released. The
 entry may be cut off. Tickets are delayed at will.

 Asserted: the slot never has two pieces of work.
 Broken variants: NO_REBUILD, NO_EPOCH_FENCE, NO_VIEW_LEASE, CONFIRM_EARLY.
*/
#define NO 0

#ifdef CONFIRM_EARLY
#define CAN_START_NOTHING true
#else
#define CAN_START_NOTHING (!entryFresh)
#endif
#ifdef NO_REBUILD
#define ALL_ACCOUNTED_FOR true
#else
#define ALL_ACCOUNTED_FOR (reported || confirmed)
#endif
#ifdef NO_VIEW_LEASE
#define MAY_START true
#else
#define MAY_START entryFresh
#endif

bool leaseOne = true;     /* the first dispatcher may give tickets */
bool active2;             /* the second is assigned */
bool rebuilt;             /* the second may give tickets */
byte knownEpoch = 1;      /* of the entry */
bool entryFresh = true;   /* the entry's view lease */
bool cutOff;
byte ticket;              /* epoch of the ticket under way to the entry; NO for none */
bool used1, used2;        /* slot in use, as the first and the second dispatcher see it */
byte work;                /* pieces of work in the slot */
bool reported;            /* the entry answered the second dispatcher */
bool confirmed;           /* the backend server announced itself after the rebuild began */

active proctype world() {
	do
	/* the first dispatcher */
	:: atomic { leaseOne && !used1 && ticket == NO -> used1 = true; ticket = 1 }
	:: atomic { leaseOne -> leaseOne = false }
	/* the second takes over */
	:: atomic { !active2 && !leaseOne -> active2 = true }
	/* the entry learns of it, reports what it holds and takes no older tickets */
	:: atomic { active2 && !cutOff && knownEpoch == 1 ->
#ifndef NO_EPOCH_FENCE
		knownEpoch = 2;
#endif
		reported = true; used2 = used2 || (work > 0) }
	/* the backend server announces what it works on, once the entry can start nothing more */
	:: atomic { active2 && CAN_START_NOTHING && !reported -> confirmed = true; used2 = used2 || (work > 0) }
	:: atomic { active2 && !rebuilt && ALL_ACCOUNTED_FOR -> rebuilt = true }
	:: atomic { rebuilt && !used2 && !cutOff && ticket == NO -> used2 = true; ticket = 2 }
	/* another entry, never cut off, gets the slot from the second dispatcher */
	:: atomic { rebuilt && !used2 -> used2 = true; work++; assert(work <= 1) }
	/* the entry takes the ticket */
	:: atomic { ticket != NO ->
		if
		:: ticket >= knownEpoch && MAY_START -> work++; assert(work <= 1)
		:: else -> if
			:: ticket == 2 -> used2 = false
			:: else
			fi
		fi;
		ticket = NO }
	/* the work ends and both hear of it, the backend server too */
	:: atomic { work > 0 && !cutOff -> work--; used1 = false; used2 = false }
	:: atomic { !cutOff -> cutOff = true }
	/* a cut off entry loses its view lease, and only then */
	:: atomic { cutOff && entryFresh -> entryFresh = false }
	:: active2 && rebuilt && work == 0 && ticket == NO -> break
	od
}
