/*
 * Distribution of policy records to daemons (packages configuration and peer).
 *
 * The operator changes one of two records; each change increments the store's
 * revision. A daemon starts without records. It watches the store for the changes
 * after its own revision, and takes newer states from a peer. A peer's response may be
 * out of date when it is read.
 *
 * Checked: a daemon's revision never decreases, except when its VM is replaced, and its
 * records are those that the store had at that revision.
 *
 * Seeded faults: FAULT_TAKE_OLDER takes a peer's state whatever its revision.
 * FAULT_GAP continues the watch at the store's newest revision, which skips changes.
 */
#define DAEMONS 2
#define CHANGES 3

byte store_revision;
byte last_change[2];   /* revision at which each record last changed, in the store */
/* A record is represented by the revision of its last change. */
byte record_at[8];     /* record_at[r*2+i]: record i as the store had it at revision r */
byte revision[DAEMONS];
byte record[4];        /* record[d*2+i]: record i as daemon d has it */
/* The response of a peer on its way to each daemon: revision, records 0 and 1. */
chan answers[DAEMONS] = [1] of { byte, byte, byte };

/* Asserts that daemon d has the store's records of its revision. */
inline check(d) {
	assert(record[d * 2] == record_at[revision[d] * 2]);
	assert(record[d * 2 + 1] == record_at[revision[d] * 2 + 1])
}

active proctype Operator() {
	byte i;
	do
	:: store_revision < CHANGES ->
		if
		:: i = 0
		:: i = 1
		fi;
		atomic {
			store_revision++;
			last_change[i] = store_revision;
			record_at[store_revision * 2] = last_change[0];
			record_at[store_revision * 2 + 1] = last_change[1]
		}
	:: else -> break
	od
}

proctype Daemon(byte me) {
	byte new_revision, record_0, record_1, previous_revision;
	byte steps;
	do
	:: steps < 4 ->
		steps++;
		previous_revision = revision[me];
		if
		:: true -> /* The watch delivers the next change. */
			atomic {
				if
				:: revision[me] < store_revision ->
#ifdef FAULT_GAP
					new_revision = store_revision;
#else
					new_revision = revision[me] + 1;
#endif
					if
					:: record_at[new_revision * 2] == new_revision -> record[me * 2] = new_revision
					:: else -> skip
					fi;
					if
					:: record_at[new_revision * 2 + 1] == new_revision -> record[me * 2 + 1] = new_revision
					:: else -> skip
					fi;
					revision[me] = new_revision;
					check(me)
				:: else -> skip
				fi
			}
		:: true -> /* The peer sends its state, which is read later. */
			atomic {
				if
				:: empty(answers[me]) ->
					answers[me]!revision[1 - me], record[(1 - me) * 2], record[(1 - me) * 2 + 1]
				:: else -> skip
				fi
			}
		:: true -> /* The daemon reads the peer's state. */
			atomic {
				if
				:: answers[me]?new_revision, record_0, record_1 ->
					if
#ifdef FAULT_TAKE_OLDER
					:: true ->
						record[me * 2] = record_0; record[me * 2 + 1] = record_1; revision[me] = new_revision
#else
					:: new_revision > revision[me] ->
						record[me * 2] = (record_0 > record[me * 2] -> record_0 : record[me * 2]);
						record[me * 2 + 1] = (record_1 > record[me * 2 + 1] -> record_1 : record[me * 2 + 1]);
						revision[me] = new_revision
					:: else -> skip
#endif
					fi;
					assert(revision[me] >= previous_revision);
					check(me)
				:: empty(answers[me]) -> skip
				fi
			}
		:: true -> /* The VM is replaced; its daemon starts without records. */
			atomic { revision[me] = 0; record[me * 2] = 0; record[me * 2 + 1] = 0; previous_revision = 0 }
		fi;
	:: else -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1) }
}
