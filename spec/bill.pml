/*
 * Sealing a batch of bills (package bill).
 *
 * An owner keeps two bills, each copied to a peer before its answer ends. The
 * owner and the peers seal the batch: they write the first part unread, and
 * when it is there read the parts and append what is missing. A write is
 * create-only for its part's number; its answer may be lost. The owner may be
 * killed, or only be thought dead by its peers.
 *
 * Checked: no bill is stored twice; when everybody who lives has sealed, every
 * answered bill is stored.
 *
 * Seeded faults: FAULT_OWN_PARTS gives each sealer part numbers of its own;
 * FAULT_NO_READ appends all that a sealer has, without reading.
 */
#define PARTS 6

byte part[PARTS];   /* bit set of bills in each part, 0: no such part */
byte stored[2];     /* how often each bill is stored */
bool answered[2];
byte owner_has, peer_has[2];
bool owner_dead;
byte sealed;

inline append(n, bills) {
	part[n] = bills;
	stored[0] = stored[0] + (bills & 1);
	stored[1] = stored[1] + ((bills >> 1) & 1);
	assert(stored[0] <= 1 && stored[1] <= 1)
}

/* Seals what a sealer has; an answer lost is a try more. */
inline seal(mine, first) {
	number = first;
	missing = mine;
	do
	:: missing == 0 -> break
	:: missing != 0 ->
		atomic {
			if
			:: part[number] == 0 ->
				append(number, missing);
				if
				:: missing = 0
				:: skip /* the answer is lost */
				fi
			:: else -> skip
			fi
		}
		if
		:: missing == 0 -> break
		:: else ->
			/* Read all parts. */
			atomic {
				have = 0; number = first;
				do
				:: number < PARTS && part[number] != 0 -> have = have | part[number]; number++
				:: else -> break
				od;
#ifdef FAULT_NO_READ
				if
				:: have == (have | mine) -> missing = 0
				:: else -> missing = mine
				fi
#else
				missing = mine & (7 - have)
#endif
			}
		fi
	od
}

active proctype Owner() {
	byte bill, number, missing, have, mine;
	do
	:: bill < 2 ->
		owner_has = owner_has | (1 << bill);
		/* One peer, or both, have the copy before the answer ends. */
		if
		:: peer_has[0] = peer_has[0] | (1 << bill)
		:: peer_has[1] = peer_has[1] | (1 << bill)
		:: peer_has[0] = peer_has[0] | (1 << bill); peer_has[1] = peer_has[1] | (1 << bill)
		fi;
		answered[bill] = true;
		bill++
	:: bill == 2 -> break
	:: owner_dead = true; goto Done
	od;
	if
	:: owner_dead = true; goto Done
	:: skip
	fi;
	mine = owner_has;
	seal(mine, 0);
Done:	sealed++
}

proctype Peer(byte me) {
	byte number, missing, have, mine, tries;
	/* The peer may seal while the owner lives, and seals when it is done. */
	do
	:: tries == 0 ->
		tries++;
		mine = peer_has[me];
#ifdef FAULT_OWN_PARTS
		seal(mine, 2 + 2 * me)
#else
		seal(mine, 0)
#endif
	:: sealed > 0 -> break
	od;
	mine = peer_has[me];
#ifdef FAULT_OWN_PARTS
	seal(mine, 2 + 2 * me);
#else
	seal(mine, 0);
#endif
	sealed++
}

active proctype Judge() {
	sealed == 3;
	assert(!answered[0] || stored[0] == 1);
	assert(!answered[1] || stored[1] == 1)
}

init {
	atomic { run Peer(0); run Peer(1) }
}
