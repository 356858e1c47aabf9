/*
 A move and a reboot of one instance, by leaders that change at each step.

 Leaders read the committed step, act, and commit the next step by compare-and-set. The platform may
 carry out an order late and again; an order carries the work's ID, and one done is not done twice.
 The dispatcher says "drained" only when it gives no tickets and nothing is in flight.

 Asserted: the instance is in one pool, nothing runs at a reboot, and at most BUDGET instances are out.
 Broken variants: REBOOT_WITHOUT_DRAIN, POOL_BEFORE_EMPTY, START_WITHOUT_CHECK, ADVANCE_BLINDLY.
*/
#define IN_POOL 0
#define DRAINING 1
#define EMPTY 2
#define JOINING 3
#define BUDGET 1

#ifdef START_WITHOUT_CHECK
#define FITS_BUDGET true
#else
#define FITS_BUDGET (OUT(0) + OUT(1) < BUDGET)
#endif
#ifdef REBOOT_WITHOUT_DRAIN
#define IS_DRAINED true
#else
#define IS_DRAINED (servesFor[i] == 0 && inFlight[i] == 0)
#endif
#ifdef ADVANCE_BLINDLY
#define IS_STILL_SO true
#else
#define IS_STILL_SO (step[i] == DRAINING && seenWork[i] == work[i])
#endif

byte step[2];         /* committed, of two instances of one pool */
byte pool[2];         /* committed: 0 or 1 */
byte work[2];         /* number of planned works, committed */
byte servesFor[2];    /* pools whose dispatcher may give tickets, as bits */
byte inFlight[2];
byte rebooted[2];     /* work that the platform rebooted last */
byte seen[2];         /* step that a slow leader read */
byte seenWork[2];

#define OUT(i) (step[i] != IN_POOL -> 1 : 0)

active proctype world() {
	byte i;
	servesFor[0] = 1; servesFor[1] = 1;
	do
	:: atomic { select(i : 0 .. 1);
		if
		/* dispatchers follow the committed step */
		:: step[i] != IN_POOL && servesFor[i] != 0 -> servesFor[i] = 0
		:: step[i] == IN_POOL && servesFor[i] == 0 -> servesFor[i] = 1 << pool[i]
		:: servesFor[i] != 0 && inFlight[i] < 1 -> inFlight[i]++
		:: inFlight[i] > 0 -> inFlight[i]--
		/* a slow leader reads */
		:: seen[i] = step[i]; seenWork[i] = work[i]
		/* work starts within the budget; the check and the commit are one command */
		:: step[i] == IN_POOL && work[i] < 2 && FITS_BUDGET -> step[i] = DRAINING; work[i]++; assert(OUT(0) + OUT(1) <= BUDGET)
		/* drained: the leader, maybe slow, commits EMPTY */
		:: seen[i] == DRAINING && IS_DRAINED && IS_STILL_SO -> step[i] = EMPTY
		/* the platform is asked to reboot, once or again */
		:: step[i] == EMPTY && rebooted[i] != work[i] ->
			rebooted[i] = work[i]; assert(inFlight[i] == 0)
		/* the platform says it is done: the pool changes while the instance is empty */
		:: step[i] == EMPTY && rebooted[i] == work[i] -> step[i] = JOINING; pool[i] = 1 - pool[i]; assert(servesFor[i] == 0)
#ifdef POOL_BEFORE_EMPTY
		:: step[i] == DRAINING -> pool[i] = 1 - pool[i]; assert(servesFor[i] == 0 || servesFor[i] == 1 << pool[i])
#endif
		:: step[i] == JOINING -> step[i] = IN_POOL
		:: else
		fi;
		assert(servesFor[i] == 0 || servesFor[i] == 1 << pool[i]);
		assert(OUT(0) + OUT(1) <= BUDGET);
		i = 0
	}
	od
}
