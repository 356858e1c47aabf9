/*
 Runs of one work unit: two workers, an old and a new leader, orders that may be carried out late.

 Run 1 is on worker A, run 2 (of the same unit) may follow on worker B. Orders under way are carried
 out at any later time or lost. A lease ends on the worker's clock; a late start is bounded by the
 expiry that it carries.

 Asserted: the unit never runs on both workers; it does not start after a noted end; an end that
 the worker forgot is recorded.
 Broken variants: LEASE_ON_LEADERS_CLOCK, ACK_BEFORE_COMMIT, START_BEFORE_ASKING, TOKEN_TWICE.
*/
bool startUnderWay = true;  /* the old leader's order of run 1 to worker A */
bool runsA, runsB;
bool leaseOverA;            /* the lease on A's clock; a start with that expiry is rejected from then on */
bool believedOver;          /* the leader takes the lease of A for over */
bool fencedA;               /* a stop of run 1, or the new token, reached A */
bool askedA;                /* the new leader read A's lists after that */
bool endedA;                /* run 1 ended done on A, and A lists the end */
bool noted;                 /* the end is committed */
bool forgottenA;            /* A was told to forget the end */
bool newLeader;
bool recordedLost;          /* run 1 is recorded as over without an end */
bool startedB;

#ifdef LEASE_ON_LEADERS_CLOCK
#define MAY_BELIEVE true
#else
#define MAY_BELIEVE leaseOverA
#endif
#ifdef START_BEFORE_ASKING
#define KNOWN_GONE newLeader
#else
#define KNOWN_GONE (askedA && !runsA && !endedA)
#endif
#ifdef TOKEN_TWICE
#define REJECTS_OLD false
#else
#define REJECTS_OLD fencedA
#endif
#ifdef ACK_BEFORE_COMMIT
#define MAY_FORGET true
#else
#define MAY_FORGET noted
#endif

active proctype world() {
	do
	/* the order of run 1 arrives at any time, or never */
	:: atomic { startUnderWay -> startUnderWay = false;
		if
		:: !REJECTS_OLD && !leaseOverA && !endedA -> runsA = true; assert(!runsB); assert(!noted)
		:: else
		fi }
	:: atomic { startUnderWay -> startUnderWay = false }
	/* the run ends done; the worker lists the end */
	:: atomic { runsA -> runsA = false; endedA = true }
	/* the lease ends on the worker's clock and kills the run */
	:: atomic { !leaseOverA -> leaseOverA = true; runsA = false }
	/* a leader takes it for over; without contact only */
	:: atomic { !believedOver && MAY_BELIEVE && !endedA -> believedOver = true; recordedLost = !noted }
	/* change of leader: the new one sends its token, then reads the lists */
	:: atomic { !newLeader -> newLeader = true }
	:: atomic { newLeader && !fencedA -> fencedA = true }
	:: atomic { fencedA && !askedA -> askedA = true }
	:: atomic { !recordedLost && !noted && !forgottenA && KNOWN_GONE -> recordedLost = true }
	/* an end is committed, then acknowledged, then forgotten; a restarted leader commits nothing twice */
	:: atomic { endedA && !noted && !recordedLost && !forgottenA -> noted = true }
	:: atomic { endedA && !forgottenA && MAY_FORGET -> forgottenA = true; assert(noted) }
	/* run 2 starts on B once run 1 is recorded as over */
	:: atomic { recordedLost && !startedB && !noted -> startedB = true; runsB = true; assert(!runsA) }
	:: atomic { runsB -> runsB = false }
	:: startedB && !runsB && !startUnderWay -> break
	:: noted && forgottenA -> break
	:: noted && recordedLost -> break
	od
}
