/*
 Election and commit of the keepers' log.

 Three replicas, four terms, logs of two entries. By symmetry, replica 0 starts the first campaign.
 Messages are not modelled: a step in which a replica handles a message reads the sender's current
 state, as it was when the message could have been sent. A request counts only while its sender is
 still in the request's term, so a delayed message is equivalent to a later step.

 Broken variants: VOTE_NOT_SYNCED, COMMIT_BY_COUNTING, VOTE_FOR_SHORTER_LOG.
*/
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#define MAX_LOG 2
#define NO_VOTE 3
#define QUORUM 2

#ifdef VOTE_FOR_SHORTER_LOG
#define LOG_IS_UP_TO_DATE true
#else
#define LOG_IS_UP_TO_DATE (x > y || (x == y && r[i].length >= r[j].length))
#endif
#ifdef COMMIT_BY_COUNTING
#define IS_OF_CURRENT_TERM true
#else
#define IS_OF_CURRENT_TERM (r[i].entry[k - 1] == r[i].term)
#endif

typedef Replica {
	byte term;
	byte votedFor;
	byte votes;
	bool leads;
	bool campaigns;
	byte length;
	byte entry[MAX_LOG];
	byte match[N];
	byte commit;
};

Replica r[N];
byte agreed[MAX_LOG];
byte leaderOf[5];

inline lastTerm(i, out) {
	if
	:: r[i].length == 0 -> out = 0
	:: else -> out = r[i].entry[r[i].length - 1]
	fi
}

inline resetRole(i) {
	r[i].leads = false; r[i].campaigns = false; r[i].votes = 0; r[i].commit = 0;
	r[i].match[0] = 0; r[i].match[1] = 0; r[i].match[2] = 0;
}

inline applyCommit(i, upTo) {
	k = 0;
	do
	:: k < upTo ->
		assert(agreed[k] == 0 || agreed[k] == r[i].entry[k]);
		agreed[k] = r[i].entry[k];
		k++
	:: else -> break
	od;
	k = 0
}

active proctype world() {
	byte i, j, k, x, y, count;
	for (i : 0 .. 2) { r[i].votedFor = NO_VOTE }
	i = 0;
	do
	:: atomic {
		select(i : 0 .. 2); select(j : 0 .. 2);
		if
		/* a replica campaigns */
		:: j == 0 && !r[i].leads && r[i].term < MAX_TERM && (i == 0 || r[0].term > 0 || r[1].term > 0) ->
			resetRole(i);
			r[i].term++; r[i].votedFor = i; r[i].votes = 1; r[i].campaigns = true
		/* j handles i's vote request */
		:: i != j && r[i].campaigns && r[j].term <= r[i].term ->
			if
			:: r[j].term < r[i].term -> resetRole(j); r[j].term = r[i].term; r[j].votedFor = NO_VOTE
			:: else
			fi;
			lastTerm(i, x); lastTerm(j, y);
			if
			:: r[j].votedFor == NO_VOTE && LOG_IS_UP_TO_DATE ->
				r[j].votedFor = i;
				r[i].votes = r[i].votes + 1
			:: else
			fi
		/* a quorum elects i */
		:: j == 0 && r[i].campaigns && r[i].votes >= QUORUM ->
			r[i].campaigns = false; r[i].leads = true; r[i].votes = 0;
			assert(leaderOf[r[i].term] == 0 || leaderOf[r[i].term] == i + 1);
			leaderOf[r[i].term] = i + 1;
			r[i].match[i] = r[i].length
		/* the leader appends an entry of its term */
		:: j == 0 && r[i].leads && r[i].length < MAX_LOG ->
			r[i].entry[r[i].length] = r[i].term; r[i].length++;
			r[i].match[i] = r[i].length
		/* j receives a prefix of the leader's log and its commit index */
		:: i != j && r[i].leads && r[j].term <= r[i].term ->
			if
			:: r[j].term < r[i].term -> r[j].term = r[i].term; r[j].votedFor = NO_VOTE
			:: else
			fi;
			resetRole(j);
			select(count : 0 .. 2);
			if
			:: count <= r[i].length ->
				/* truncate only if an entry conflicts */
				k = 0;
				do
				:: k < count ->
					if
					:: k < r[j].length && r[j].entry[k] != r[i].entry[k] ->
						for (x : k .. 1) { r[j].entry[x] = 0 }
						r[j].length = k
					:: else
					fi;
					if
					:: k >= r[j].length -> r[j].entry[k] = r[i].entry[k]; r[j].length = k + 1
					:: else
					fi;
					k++
				:: else -> break
				od;
				if
				:: count > r[i].match[j] -> r[i].match[j] = count
				:: else
				fi;
				/* j applies entries up to the leader's commit index */
				x = (count < r[i].commit -> count : r[i].commit);
				applyCommit(j, x)
			:: else
			fi
		/* the leader commits entries that a quorum has */
		:: j == 0 && r[i].leads ->
			k = r[i].commit + 1;
			count = 0;
			for (x : 0 .. 2) {
				if
				:: r[i].match[x] >= k -> count++
				:: else
				fi
			}
			if
			:: k <= r[i].length && count >= QUORUM && IS_OF_CURRENT_TERM -> r[i].commit = k; applyCommit(i, r[i].commit)
			:: k < r[i].length && r[i].match[0] + r[i].match[1] + r[i].match[2] >= 2 * r[i].length && r[i].entry[r[i].length - 1] == r[i].term ->
				count = 0;
				for (x : 0 .. 2) {
					if
					:: r[i].match[x] >= r[i].length -> count++
					:: else
					fi
				}
				if
				:: count >= QUORUM -> r[i].commit = r[i].length; applyCommit(i, r[i].commit)
				:: else
				fi
			:: else
			fi
		/* i crashes and restarts with its synced state */
		:: j == 1 ->
			resetRole(i);
#ifdef VOTE_NOT_SYNCED
			r[i].votedFor = NO_VOTE
#endif
		fi;
		i = 0; j = 0; k = 0; x = 0; y = 0; count = 0
	}
	od
}
