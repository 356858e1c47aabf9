/*
 Move and reboot of an instance, while the leader may change at each step.

 Leaders read the committed step, act, and commit the next step by compare-and-set. The platform may
 execute an order late and repeatedly; an order carries the work's ID and takes effect only once.
 The dispatcher reports "drained" only when it issues no tickets and nothing is in flight.

 Asserted: an instance is in one pool, nothing runs on it at a reboot, and at most BUDGET instances are out of service.
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
#define IS_UNCHANGED true
#else
#define IS_UNCHANGED (step[i] == DRAINING && readWork[i] == work[i])
#endif

byte step[2];       /* committed, of two instances of one pool */
byte pool[2];       /* committed: 0 or 1 */
byte work[2];       /* number of planned works so far, which is the ID of the latest, committed */
byte servesFor[2];  /* pools whose dispatcher may issue tickets for the instance, as bits */
byte inFlight[2];
byte rebooted[2];   /* ID of the work for which the platform last rebooted the instance */
byte readStep[2];   /* step that a slow leader read */
byte readWork[2];

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
		/* a slow leader reads the committed step */
		:: readStep[i] = step[i]; readWork[i] = work[i]
		/* planned work starts within the budget; check and commit are one command */
		:: step[i] == IN_POOL && work[i] < 2 && FITS_BUDGET -> step[i] = DRAINING; work[i]++; assert(OUT(0) + OUT(1) <= BUDGET)
		/* drained: the leader, possibly a slow one, commits EMPTY */
		:: readStep[i] == DRAINING && IS_DRAINED && IS_UNCHANGED -> step[i] = EMPTY
		/* the platform receives the order to reboot, once or repeatedly */
		:: step[i] == EMPTY && rebooted[i] != work[i] ->
			rebooted[i] = work[i]; assert(inFlight[i] == 0)
		/* the platform reports completion: the pool changes while the instance is empty */
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
