/*
 Leader lease, view lease and withdrawal of a key, in discrete time.

 One tick stands for 300 ms; leases are rounded up. Leader A may be disconnected from the voter at any
 time; the voter then votes for B once its promise to A has expired. A node sends heartbeats to either
 leader; heartbeats and replies are delayed for any time. The current leader withdraws a key at some tick.

 Asserted: a node never serves the key later than BOUND ticks after the withdrawal was accepted, and
 two leaders never hold a lease at once.
 Broken variants: LONG_VIEW_LEASE, LEASE_FROM_REPLY, VOTER_FORGETS, LEADER_KEEPS_LEASE.
*/
#define HORIZON 28
#define BOUND 10
#define ELECTION 3
#define LEADER_LEASE 2
#ifdef LONG_VIEW_LEASE
#define VIEW_LEASE 12
#else
#define VIEW_LEASE 8
#endif

#ifdef LEADER_KEEPS_LEASE
#define A_MAY_ANSWER true
#else
#define A_MAY_ANSWER (now < leaseEndA)
#endif

byte now;
byte leaseEndA;           /* A may answer until this tick */
byte promiseEnd;          /* the voter votes for no other replica before this tick */
bool leadsB;
bool appliedA, appliedB;  /* the withdrawal is applied at A, at B */
byte acceptedAt;
bool accepted;            /* the withdrawal is committed */
byte sentAt;              /* tick at which the heartbeat in transit was sent */
bool heartbeat;
bool replyA, replyB, replyHasWithdrawal;
bool nodeHasWithdrawal;
byte nodeLeaseEnd;

active proctype world() {
	leaseEndA = LEADER_LEASE; promiseEnd = ELECTION;
	do
	:: atomic { now < HORIZON -> now++ }
	/* the voter answers A's append, which A sent this tick */
	:: atomic { !leadsB && leaseEndA < now + LEADER_LEASE && now <= promiseEnd + 1 -> leaseEndA = now + LEADER_LEASE; promiseEnd = now + ELECTION }
	/* the voter elects B */
	:: atomic { !leadsB && now >= promiseEnd -> leadsB = true; appliedB = accepted;
#ifndef LEADER_KEEPS_LEASE
		assert(now >= leaseEndA)
#endif
		}
#ifdef VOTER_FORGETS
	:: atomic { !leadsB -> promiseEnd = now }
#endif
	/* the key is withdrawn; under either leader, this needs the voter */
	:: atomic { !accepted && !leadsB && now < leaseEndA -> accepted = true; acceptedAt = now; appliedA = true }
	:: atomic { !accepted && leadsB -> accepted = true; acceptedAt = now; appliedB = true }
	/* the node's heartbeat and its reply */
	:: atomic { !heartbeat -> heartbeat = true; sentAt = now; replyA = false; replyB = false }
	:: atomic { heartbeat && !replyA && !replyB && A_MAY_ANSWER -> replyA = true; replyHasWithdrawal = appliedA }
	:: atomic { heartbeat && !replyA && !replyB && leadsB -> replyB = true; replyHasWithdrawal = appliedB }
	:: atomic { heartbeat && (replyA || replyB) ->
		nodeHasWithdrawal = nodeHasWithdrawal || replyHasWithdrawal;
#ifdef LEASE_FROM_REPLY
		nodeLeaseEnd = now + VIEW_LEASE;
#else
		if
		:: sentAt + VIEW_LEASE > nodeLeaseEnd -> nodeLeaseEnd = sentAt + VIEW_LEASE
		:: else
		fi;
#endif
		heartbeat = false; replyA = false; replyB = false; sentAt = 0 }
	:: atomic { heartbeat -> heartbeat = false; replyA = false; replyB = false; sentAt = 0 }
	/* the node serves a request with the key */
	:: atomic { now < nodeLeaseEnd && !nodeHasWithdrawal -> assert(!accepted || now - acceptedAt <= BOUND) }
	:: now == HORIZON -> break
	od
}
