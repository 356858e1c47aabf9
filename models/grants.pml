/*
 Grants: portions of a team's upper limit, one for each pool.

 Two pools share a limit. Each has a dispatcher that may be replaced, which increases its epoch. The
 leader commits a larger grant while the sum stays within the limit, requests reductions, and commits
 a reduction only after the current dispatcher has promised to stay within it. Heartbeats with
 promises and replies with grants are delayed, duplicated and lost.

 Asserted: running work never exceeds the limit.
 Broken variants: SHRINK_WITHOUT_PROMISE, PROMISE_TWICE, OLD_GRANT_AFTER_PROMISE, NO_EPOCH.
*/
#define LIMIT 2
#define MAX_EPOCH 2
#define MAX_PROMISE 2

#ifdef NO_EPOCH
#define IS_CURRENT_EPOCH true
#else
#define IS_CURRENT_EPOCH (heartbeatEpoch[p] == epoch[p])
#endif
#ifdef PROMISE_TWICE
#define IS_NEW_PROMISE true
#else
#define IS_NEW_PROMISE (lastEpoch[p] != heartbeatEpoch[p] || heartbeatPromise[p] > lastPromise[p])
#endif
#ifdef OLD_GRANT_AFTER_PROMISE
#define IS_AFTER_PROMISE true
#else
#define IS_AFTER_PROMISE (replyPromise[p] >= promiseNumber[p])
#endif

byte granted[2];    /* committed */
byte epoch[2];      /* committed */
byte lastEpoch[2];  /* epoch and number of the promise that last reduced the grant, committed */
byte lastPromise[2];

byte cap[2];             /* limit that the dispatcher enforces */
byte running[2];
byte promiseNumber[2];   /* number of the dispatcher's latest promise */
byte promisedAmount[2];  /* amount of that promise; LIMIT + 1 if there is none */
byte dispatcherEpoch[2];

/* one heartbeat with a promise and one reply with a grant in transit for each pool; both may be received repeatedly */
byte heartbeatEpoch[2], heartbeatPromise[2], heartbeatAmount[2]; bool hasHeartbeat[2];
byte replyEpoch[2], replyPromise[2], replyAmount[2]; bool hasReply[2];

active proctype world() {
	byte p;
	granted[0] = 1; granted[1] = 1; cap[0] = 1; cap[1] = 1;
	epoch[0] = 1; epoch[1] = 1; dispatcherEpoch[0] = 1; dispatcherEpoch[1] = 1;
	promisedAmount[0] = LIMIT + 1; promisedAmount[1] = LIMIT + 1;
	do
	:: atomic { select(p : 0 .. 1);
		if
		/* work starts and ends */
		:: running[p] < cap[p] -> running[p]++; assert(running[0] + running[1] <= LIMIT)
		:: running[p] > 0 -> running[p]--
		/* the leader commits a larger grant */
		:: granted[0] + granted[1] < LIMIT -> granted[p]++
		/* asked for a reduction, the dispatcher lowers its limit and promises to stay within it */
		:: promisedAmount[p] == LIMIT + 1 && cap[p] > 0 && promiseNumber[p] < MAX_PROMISE ->
			if
			:: running[p] < cap[p] -> cap[p]--; promiseNumber[p]++; promisedAmount[p] = cap[p]
			:: else
			fi
		/* a heartbeat carries the promise */
		:: promisedAmount[p] <= LIMIT -> hasHeartbeat[p] = true; heartbeatEpoch[p] = dispatcherEpoch[p]; heartbeatPromise[p] = promiseNumber[p]; heartbeatAmount[p] = promisedAmount[p]
		/* the leader commits the reduction; the heartbeat may arrive again */
		:: hasHeartbeat[p] && heartbeatAmount[p] <= granted[p] && IS_CURRENT_EPOCH && IS_NEW_PROMISE -> granted[p] = heartbeatAmount[p]; lastEpoch[p] = heartbeatEpoch[p]; lastPromise[p] = heartbeatPromise[p]
#ifdef SHRINK_WITHOUT_PROMISE
		:: granted[p] > 0 -> granted[p]--
#endif
		/* a reply carries the committed grant, from any leader that holds its lease */
		:: hasReply[p] = true; replyEpoch[p] = epoch[p]; replyAmount[p] = granted[p];
			replyPromise[p] = (lastEpoch[p] == epoch[p] -> lastPromise[p] : 0)
		/* the dispatcher accepts it, unless it has made a newer promise since */
		:: hasReply[p] && replyEpoch[p] == dispatcherEpoch[p] && IS_AFTER_PROMISE -> cap[p] = replyAmount[p]; promisedAmount[p] = LIMIT + 1
		:: hasHeartbeat[p] -> hasHeartbeat[p] = false
		/* the dispatcher is replaced; the new one counts running work and starts from the committed grant */
		:: epoch[p] < MAX_EPOCH ->
			epoch[p]++; dispatcherEpoch[p] = epoch[p]; cap[p] = granted[p]; promiseNumber[p] = 0; promisedAmount[p] = LIMIT + 1
		:: else
		fi;
		p = 0
	}
	od
}
