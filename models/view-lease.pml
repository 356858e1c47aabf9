/*
 Leader lease, view lease and withdrawal of a key, in discrete time.

 One tick stands for 300 ms, leases rounded up. Leader A may be cut off from the voter at any time; the voter then lets
 B lead once its promise to A has run out. A node sends heartbeats to either leader; heartbeats and
 replies are delayed at will. A key is withdrawn at some tick by whoever leads.

 Asserted: a node never serves the key later than BOUND after acceptance, and never two leases at once.
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
#define A_MAY_ANSWER (now < leaseA)
#endif

byte now;
byte leaseA;          /* A may answer until this tick */
byte promise;         /* the voter votes for no other before this tick */
bool leadsB;
bool knowsA, knowsB;  /* the withdrawal is applied at A, at B */
byte acceptedAt;
bool accepted;
byte sentAt;          /* heartbeat under way */
bool heartbeat;
bool replyA, replyB, replyKnows;
bool nodeKnows;
byte nodeUntil;

active proctype world() {
	leaseA = LEADER_LEASE; promise = ELECTION;
	do
	:: atomic { now < HORIZON -> now++ }
	/* the voter answers A's append, which A sent this tick */
	:: atomic { !leadsB && leaseA < now + LEADER_LEASE && now <= promise + 1 -> leaseA = now + LEADER_LEASE; promise = now + ELECTION }
	/* the voter lets B lead */
	:: atomic { !leadsB && now >= promise -> leadsB = true; knowsB = accepted;
#ifndef LEADER_KEEPS_LEASE
		assert(now >= leaseA)
#endif
		}
#ifdef VOTER_FORGETS
	:: atomic { !leadsB -> promise = now }
#endif
	/* the key is withdrawn; both ways need the voter */
	:: atomic { !accepted && !leadsB && now < leaseA -> accepted = true; acceptedAt = now; knowsA = true }
	:: atomic { !accepted && leadsB -> accepted = true; acceptedAt = now; knowsB = true }
	/* the node's heartbeat and its reply */
	:: atomic { !heartbeat -> heartbeat = true; sentAt = now; replyA = false; replyB = false }
	:: atomic { heartbeat && !replyA && !replyB && A_MAY_ANSWER -> replyA = true; replyKnows = knowsA }
	:: atomic { heartbeat && !replyA && !replyB && leadsB -> replyB = true; replyKnows = knowsB }
	:: atomic { heartbeat && (replyA || replyB) ->
		nodeKnows = nodeKnows || replyKnows;
#ifdef LEASE_FROM_REPLY
		nodeUntil = now + VIEW_LEASE;
#else
		if
		:: sentAt + VIEW_LEASE > nodeUntil -> nodeUntil = sentAt + VIEW_LEASE
		:: else
		fi;
#endif
		heartbeat = false; replyA = false; replyB = false; sentAt = 0 }
	:: atomic { heartbeat -> heartbeat = false; replyA = false; replyB = false; sentAt = 0 }
	/* the node serves a request with the key */
	:: atomic { now < nodeUntil && !nodeKnows -> assert(!accepted || now - acceptedAt <= BOUND) }
	:: now == HORIZON -> break
	od
}
