/*
 * Sealing of a batch of bills (package bill).
 *
 * The owner of a batch keeps two bills. Each is copied to one or both of two peers
 * before its answer ends. The owner and the peers each seal the batch: they write
 * part 0 without reading; if that part exists, they read all parts and append a part
 * with the bills that are missing. A write only creates a part and never overwrites
 * one. Its response may be lost. The owner may be killed, and a peer may seal while
 * the owner is alive, because it wrongly takes the owner for failed.
 *
 * Checked: no bill is stored twice. When owner and peers have ended, each bill whose
 * answer ended is stored.
 *
 * Seeded faults: FAULT_OWN_PARTS gives each sealer its own range of part numbers.
 * FAULT_NO_READ appends all bills of a sealer unless the parts hold every one of
 * them, instead of only the missing ones.
 */
#define PARTS 6

byte part[PARTS];         /* bit set of the bills in each part; 0: no such part */
byte times_stored[2];     /* number of parts that contain each bill */
bool answered[2];         /* for each bill: its answer has ended */
byte owner_bills, peer_bills[2]; /* bit sets of the bills that each daemon has */
bool owner_killed;
byte sealers_done;        /* daemons, of three, that have ended */

/* Creates part n. */
inline append(n, bills) {
	part[n] = bills;
	times_stored[0] = times_stored[0] + (bills & 1);
	times_stored[1] = times_stored[1] + ((bills >> 1) & 1);
	assert(times_stored[0] <= 1 && times_stored[1] <= 1)
}

/*
 * Seals own_bills, in parts from first_part on. First writes all of them to first_part,
 * without reading. After a lost response, or when the part exists, reads the parts and
 * writes the bills that are missing to the next free part.
 */
inline seal(own_bills, first_part) {
	part_number = first_part;
	missing = own_bills;
	do
	:: missing == 0 -> break
	:: missing != 0 ->
		atomic {
			if
			:: part[part_number] == 0 ->
				append(part_number, missing);
				if
				:: missing = 0
				:: skip /* the response is lost */
				fi
			:: else -> skip
			fi
		}
		if
		:: missing == 0 -> break
		:: else ->
			/* Read all parts. */
			atomic {
				found = 0; part_number = first_part;
				do
				:: part_number < PARTS && part[part_number] != 0 -> found = found | part[part_number]; part_number++
				:: else -> break
				od;
#ifdef FAULT_NO_READ
				if
				:: found == (found | own_bills) -> missing = 0
				:: else -> missing = own_bills
				fi
#else
				missing = own_bills & (7 - found) /* the bills of own_bills that are not in found */
#endif
			}
		fi
	od
}

active proctype Owner() {
	byte bill, part_number, missing, found, own_bills;
	do
	:: bill < 2 ->
		owner_bills = owner_bills | (1 << bill);
		/* One peer, or both, receive a copy before the answer ends. */
		if
		:: peer_bills[0] = peer_bills[0] | (1 << bill)
		:: peer_bills[1] = peer_bills[1] | (1 << bill)
		:: peer_bills[0] = peer_bills[0] | (1 << bill); peer_bills[1] = peer_bills[1] | (1 << bill)
		fi;
		answered[bill] = true;
		bill++
	:: bill == 2 -> break
	:: owner_killed = true; goto Done
	od;
	if
	:: owner_killed = true; goto Done
	:: skip
	fi;
	own_bills = owner_bills;
	seal(own_bills, 0);
Done:	sealers_done++
}

proctype Peer(byte me) {
	byte part_number, missing, found, own_bills, tries;
	/*
	 * The peer may seal once while the owner is alive. It then waits until the owner has
	 * ended, which is always the first daemon to end, and seals again.
	 */
	do
	:: tries == 0 ->
		tries++;
		own_bills = peer_bills[me];
#ifdef FAULT_OWN_PARTS
		seal(own_bills, 2 + 2 * me)
#else
		seal(own_bills, 0)
#endif
	:: sealers_done > 0 -> break
	od;
	own_bills = peer_bills[me];
#ifdef FAULT_OWN_PARTS
	seal(own_bills, 2 + 2 * me);
#else
	seal(own_bills, 0);
#endif
	sealers_done++
}

/* Checks the stored bills when owner and peers have ended. */
active proctype FinalCheck() {
	sealers_done == 3;
	assert(!answered[0] || times_stored[0] == 1);
	assert(!answered[1] || times_stored[1] == 1)
}

init {
	atomic { run Peer(0); run Peer(1) }
}
