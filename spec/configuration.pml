/*
 * The spread of policy records (package configuration and peer).
 *
 * Two records; every change raises the store's revision. Daemons follow the
 * store by a watch that goes on from their own revision, start from nothing,
 * and take from peers what changed after their own revision. Messages from
 * peers may be old.
 *
 * Checked: a daemon's revision never falls, and its records are those of the
 * store at its revision.
 *
 * Seeded faults: FAULT_TAKE_OLDER takes a peer's state whatever its revision;
 * FAULT_GAP goes on with a watch from the newest revision.
 */
#define DAEMONS 2
#define CHANGES 3

byte store_revision;
byte last[2];                    /* revision of each record's last change */
byte at[8];                      /* at[r*2+i]: record i's last change at revision r */
byte revision[DAEMONS];
byte have[4];                    /* have[d*2+i]: record i at daemon d */
/* A peer's answer on its way: revision and records. */
chan answers[DAEMONS] = [1] of { byte, byte, byte };

inline check(d) {
	assert(have[d * 2] == at[revision[d] * 2]);
	assert(have[d * 2 + 1] == at[revision[d] * 2 + 1])
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
			last[i] = store_revision;
			at[store_revision * 2] = last[0];
			at[store_revision * 2 + 1] = last[1]
		}
	:: else -> break
	od
}

proctype Daemon(byte me) {
	byte r, a, b, before;
	byte steps;
	do
	:: steps < 4 ->
		steps++;
		before = revision[me];
		if
		:: true -> /* The watch reports the next change. */
			atomic {
				if
				:: revision[me] < store_revision ->
#ifdef FAULT_GAP
					r = store_revision;
#else
					r = revision[me] + 1;
#endif
					if
					:: at[r * 2] == r -> have[me * 2] = r
					:: else -> skip
					fi;
					if
					:: at[r * 2 + 1] == r -> have[me * 2 + 1] = r
					:: else -> skip
					fi;
					revision[me] = r;
					check(me)
				:: else -> skip
				fi
			}
		:: true -> /* A peer gives its state, to be read later. */
			atomic {
				if
				:: empty(answers[me]) ->
					answers[me]!revision[1 - me], have[(1 - me) * 2], have[(1 - me) * 2 + 1]
				:: else -> skip
				fi
			}
		:: true -> /* A peer's answer is read. */
			atomic {
				if
				:: answers[me]?r, a, b ->
					if
#ifdef FAULT_TAKE_OLDER
					:: true ->
						have[me * 2] = a; have[me * 2 + 1] = b; revision[me] = r
#else
					:: r > revision[me] ->
						have[me * 2] = (a > have[me * 2] -> a : have[me * 2]);
						have[me * 2 + 1] = (b > have[me * 2 + 1] -> b : have[me * 2 + 1]);
						revision[me] = r
					:: else -> skip
#endif
					fi;
					assert(revision[me] >= before);
					check(me)
				:: empty(answers[me]) -> skip
				fi
			}
		:: true -> /* The VM is replaced and starts from nothing. */
			atomic { revision[me] = 0; have[me * 2] = 0; have[me * 2 + 1] = 0; before = 0 }
		fi;
	:: else -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1) }
}
