/*
 * Few routers watch the store, and the others follow them (packages configuration and peer).
 *
 * The store's revision rises. Each router watches the store or asks another router, by turns
 * and at the same time; it may be replaced, and then starts from a copy of the store that may
 * be old. A peer reads the parts of its answer one after the other, while its own policy goes
 * on, and the answer may be old when it is read.
 *
 * A router's evidence says at which time its policy was the store's newest. A time stands here
 * for the store's revision at that time.
 *
 * Checked: a router has all changes up to the time of its evidence, whoever it has them from.
 *
 * Seeded faults: FAULT_EVIDENCE_LAST has a peer read its records before its evidence.
 * FAULT_EVIDENCE_ALONE has a router take a peer's evidence without the records that came with it.
 * FAULT_STALE_START takes the copy that is read at the start for the newest.
 */
#define ROUTERS 3
#define CHANGES 2
#define STEPS 2

byte store_revision;
byte revision[ROUTERS];
byte evidence[ROUTERS];
byte incarnation[ROUTERS];

inline check(r) {
	assert(revision[r] >= evidence[r])
}

active proctype Operator() {
	do
	:: store_revision < CHANGES -> store_revision++
	:: break
	od
}

/* The watch of a router, and its replacement. */
proctype Watch(byte me) {
	byte steps, copy;
	do
	:: steps < STEPS ->
		steps++;
		if
		:: true -> /* The watch delivers the next change. */
			atomic {
				if
				:: revision[me] < store_revision -> revision[me]++
				:: else -> skip
				fi
			}
		:: true -> /* The store tells its progress, after all changes up to it. */
			atomic {
				if
				:: revision[me] == store_revision -> evidence[me] = store_revision
				:: else -> skip
				fi;
				check(me)
			}
		:: incarnation[me] == 0 -> /* The router is replaced. */
			atomic {
				incarnation[me]++;
				revision[me] = 0;
				evidence[me] = 0;
				copy = 0;
				do
				:: copy < store_revision -> copy++
				:: break
				od;
				revision[me] = copy;
#ifdef FAULT_STALE_START
				evidence[me] = store_revision;
#endif
				check(me);
				copy = 0
			}
		fi
	:: else -> break
	od
}

/* A router asks a peer, once, for newer records or newer evidence. */
proctype Follow(byte me) {
	byte peer, asked, asker, answerer;
	byte peer_revision, peer_evidence;
	bool records, lost;
	atomic {
		if
		:: peer = (me + 1) % ROUTERS
		:: peer = (me + 2) % ROUTERS
		fi;
		asked = revision[me];
		asker = incarnation[me];
		answerer = incarnation[peer]
	}
	peer_revision = revision[peer];
#ifndef FAULT_EVIDENCE_LAST
	peer_evidence = evidence[peer];
#endif
	atomic {
		if
		:: revision[peer] > asked ->
			records = true;
			peer_revision = revision[peer]
		:: else -> skip
		fi
	}
#ifdef FAULT_EVIDENCE_LAST
	peer_evidence = evidence[peer];
#endif
	/* The answer is on its way; it is lost if one of the two is replaced before it is sent. */
	lost = incarnation[peer] != answerer;
#ifndef FAULT_EVIDENCE_ALONE
	atomic {
		if
		:: !lost && incarnation[me] == asker && records && peer_revision > revision[me] -> revision[me] = peer_revision
		:: else -> skip
		fi
	}
#endif
	atomic {
		if
		:: !lost && incarnation[me] == asker && peer_revision >= revision[me] && peer_evidence > evidence[me] ->
			evidence[me] = peer_evidence
		:: else -> skip
		fi;
		check(me)
	}
}

init {
	atomic {
		run Watch(0); run Watch(1);
		run Follow(1); run Follow(2)
	}
}
