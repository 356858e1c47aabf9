/*
 Portions of a team's upper limit.

 Two pools share a limit. Each has a dispatcher that may be replaced (its epoch grows). The leader
 commits growth while the sum allows, asks for shrinks, and commits a shrink only on a promise of the
 current dispatcher. Heartbeats with promises and replies with grants are delayed, doubled and lost.

 Asserted: what runs never passes the limit.
 Broken variants: SHRINK_WITHOUT_PROMISE, PROMISE_TWICE, OLD_GRANT_AFTER_PROMISE, NO_EPOCH.
*/
#define LIMIT 2
#define MAX_EPOCH 2
#define MAX_PROMISE 2

#ifdef NO_EPOCH
#define IS_CURRENT_EPOCH true
#else
#define IS_CURRENT_EPOCH (hEpoch[p] == epoch[p])
#endif
#ifdef PROMISE_TWICE
#define IS_NEW_PROMISE true
#else
#define IS_NEW_PROMISE (lastEpoch[p] != hEpoch[p] || hPromise[p] > lastPromise[p])
#endif
#ifdef OLD_GRANT_AFTER_PROMISE
#define IS_AFTER_PROMISE true
#else
#define IS_AFTER_PROMISE (gPromise[p] >= promise[p])
#endif

byte granted[2];      /* committed */
byte epoch[2];        /* committed */
byte lastEpoch[2];    /* promise that last shrank the portion, committed */
byte lastPromise[2];

byte cap[2];          /* at the dispatcher */
byte running[2];
byte promise[2];      /* number of the dispatcher's latest promise */
byte promised[2];     /* amount of it; LIMIT + 1 for none */
byte myEpoch[2];

/* one promise and one grant under way for each pool; both may be taken again and again */
byte hEpoch[2], hPromise[2], hAmount[2]; bool h[2];
byte gEpoch[2], gPromise[2], gAmount[2]; bool g[2];

active proctype world() {
	byte p;
	granted[0] = 1; granted[1] = 1; cap[0] = 1; cap[1] = 1;
	epoch[0] = 1; epoch[1] = 1; myEpoch[0] = 1; myEpoch[1] = 1;
	promised[0] = LIMIT + 1; promised[1] = LIMIT + 1;
	do
	:: atomic { select(p : 0 .. 1);
		if
		/* work starts and ends */
		:: running[p] < cap[p] -> running[p]++; assert(running[0] + running[1] <= LIMIT)
		:: running[p] > 0 -> running[p]--
		/* the leader commits growth */
		:: granted[0] + granted[1] < LIMIT -> granted[p]++
		/* asked to shrink, the dispatcher promises what it keeps to */
		:: promised[p] == LIMIT + 1 && cap[p] > 0 && promise[p] < MAX_PROMISE ->
			if
			:: running[p] < cap[p] -> cap[p]--; promise[p]++; promised[p] = cap[p]
			:: else
			fi
		/* a heartbeat carries the promise */
		:: promised[p] <= LIMIT -> h[p] = true; hEpoch[p] = myEpoch[p]; hPromise[p] = promise[p]; hAmount[p] = promised[p]
		/* the leader commits the shrink; the heartbeat may arrive again */
		:: h[p] && hAmount[p] <= granted[p] && IS_CURRENT_EPOCH && IS_NEW_PROMISE -> granted[p] = hAmount[p]; lastEpoch[p] = hEpoch[p]; lastPromise[p] = hPromise[p]
#ifdef SHRINK_WITHOUT_PROMISE
		:: granted[p] > 0 -> granted[p]--
#endif
		/* a reply carries the portion as committed, from any leader that holds its lease */
		:: g[p] = true; gEpoch[p] = epoch[p]; gAmount[p] = granted[p];
			gPromise[p] = (lastEpoch[p] == epoch[p] -> lastPromise[p] : 0)
		/* the dispatcher takes it, unless it promised more since */
		:: g[p] && gEpoch[p] == myEpoch[p] && IS_AFTER_PROMISE -> cap[p] = gAmount[p]; promised[p] = LIMIT + 1
		:: h[p] -> h[p] = false
		/* the dispatcher is replaced; the new one counts what runs and starts from the committed portion */
		:: epoch[p] < MAX_EPOCH ->
			epoch[p]++; myEpoch[p] = epoch[p]; cap[p] = granted[p]; promise[p] = 0; promised[p] = LIMIT + 1
		:: else
		fi;
		p = 0
	}
	od
}
