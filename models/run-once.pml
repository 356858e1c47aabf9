/*
 Runs of one work unit: two workers, an old and a new leader, orders that may be executed late.

 Run 1 is on worker A; run 2 of the same unit may follow on worker B. Orders in transit are executed
 at any later time or lost. A lease ends on the worker's clock; the expiry that a start order carries
 limits how late it can be executed.

 Asserted: the unit never runs on both workers; it does not start after its end was committed; an end
 that the worker discarded is committed.
 Broken variants: LEASE_ON_LEADERS_CLOCK, ACK_BEFORE_COMMIT, START_BEFORE_ASKING, TOKEN_TWICE.
*/
bool startInTransit = true;  /* the old leader's order to start run 1 on worker A is in transit */
bool runsA, runsB;
bool leaseExpiredA;          /* the lease has expired on A's clock; a start order with that expiry is rejected from then on */
bool assumedExpired;         /* the leader assumes that A's lease has expired */
bool fencedA;                /* a stop of run 1, or the new token, reached A */
bool listsReadA;             /* the new leader read A's lists after that */
bool endedA;                 /* run 1 completed on A, and A lists the end */
bool endCommitted;           /* the end is committed */
bool discardedA;             /* A was ordered to discard the end */
bool newLeader;
bool recordedLost;           /* run 1 is recorded as lost */
bool startedB;

#ifdef LEASE_ON_LEADERS_CLOCK
#define MAY_ASSUME_EXPIRED true
#else
#define MAY_ASSUME_EXPIRED leaseExpiredA
#endif
#ifdef START_BEFORE_ASKING
#define KNOWN_GONE newLeader
#else
#define KNOWN_GONE (listsReadA && !runsA && !endedA)
#endif
#ifdef TOKEN_TWICE
#define REJECTS_OLD_ORDER false
#else
#define REJECTS_OLD_ORDER fencedA
#endif
#ifdef ACK_BEFORE_COMMIT
#define MAY_DISCARD true
#else
#define MAY_DISCARD endCommitted
#endif

active proctype world() {
	do
	/* the order of run 1 arrives at any time, or never */
	:: atomic { startInTransit -> startInTransit = false;
		if
		:: !REJECTS_OLD_ORDER && !leaseExpiredA && !endedA -> runsA = true; assert(!runsB); assert(!endCommitted)
		:: else
		fi }
	:: atomic { startInTransit -> startInTransit = false }
	/* the run completes; the worker lists the end */
	:: atomic { runsA -> runsA = false; endedA = true }
	/* the lease ends on the worker's clock and kills the run */
	:: atomic { !leaseExpiredA -> leaseExpiredA = true; runsA = false }
	/* a leader without contact to the worker assumes that the lease has expired */
	:: atomic { !assumedExpired && MAY_ASSUME_EXPIRED && !endedA -> assumedExpired = true; recordedLost = !endCommitted }
	/* change of leader: the new one sends its token, then reads the lists */
	:: atomic { !newLeader -> newLeader = true }
	:: atomic { newLeader && !fencedA -> fencedA = true }
	:: atomic { fencedA && !listsReadA -> listsReadA = true }
	:: atomic { !recordedLost && !endCommitted && !discardedA && KNOWN_GONE -> recordedLost = true }
	/* an end is committed, then acknowledged, then discarded; a restarted leader commits nothing twice */
	:: atomic { endedA && !endCommitted && !recordedLost && !discardedA -> endCommitted = true }
	:: atomic { endedA && !discardedA && MAY_DISCARD -> discardedA = true; assert(endCommitted) }
	/* run 2 starts on B once run 1 is recorded as lost */
	:: atomic { recordedLost && !startedB && !endCommitted -> startedB = true; runsB = true; assert(!runsA) }
	:: atomic { runsB -> runsB = false }
	:: startedB && !runsB && !startInTransit -> break
	:: endCommitted && discardedA -> break
	:: endCommitted && recordedLost -> break
	od
}
