/*
 * Tasks under leases with fencing tokens (packages lease and steward).
 *
 * A steward acquires a task by creating the task's key, which is bound to a lease and
 * cannot be created while it exists. The revision at which the key was created is the
 * fencing token. The store may delete the key at any time, because the holder stopped
 * renewing the lease. A steward may be paused at any point, also between its check of
 * the lease and its write.
 *
 * Checked: a change of configuration takes effect only under the newest token, and an
 * endpoint that checks tokens carries out no order with an older token after one with
 * a newer token.
 *
 * Seeded faults: FAULT_NO_FENCE writes a change without comparing the token of the
 * task's key. FAULT_NO_TOKEN makes the endpoint carry out every order, whatever its
 * token.
 */
#define STEWARDS 3
#define ROUNDS 2

byte key_token;          /* token of the task's key; 0: no such key */
byte next_token = 1;
byte highest_token;      /* highest token of any steward so far */
byte applied_token;      /* token of the last change that took effect */
byte highest_seen_token; /* highest token that the endpoint has seen */
byte executed_token;     /* token of the last order that the endpoint carried out */

/* The lease expires, since its holder is paused, cut off from the store or dead. */
active proctype LeaseExpiry() {
	byte n;
	do
	:: n < STEWARDS * ROUNDS && key_token != 0 -> atomic { key_token = 0; n++ }
	:: break
	od
}

proctype Steward() {
	byte token, round;
	do
	:: round < ROUNDS ->
		round++;
		token = 0;
		/* Acquire: creates the key, unless it exists. */
		atomic {
			if
			:: key_token == 0 ->
				key_token = next_token; token = next_token;
				highest_token = next_token; next_token++
			:: else -> skip
			fi
		}
		if
		:: token == 0 -> skip
		:: token != 0 ->
			/* The steward takes itself for the holder. It may be paused here for
			 * any time. */
			/* Writes a change of configuration. */
			atomic {
				if
#ifdef FAULT_NO_FENCE
				:: true ->
#else
				:: key_token == token ->
#endif
					assert(token == highest_token);
					assert(token >= applied_token);
					applied_token = token
				:: else -> skip /* the store refuses the write: the token does not match */
				fi
			}
			/* Sends an order to the endpoint. */
			atomic {
				if
#ifdef FAULT_NO_TOKEN
				:: true ->
#else
				:: token >= highest_seen_token ->
#endif
					highest_seen_token = (token > highest_seen_token -> token : highest_seen_token);
					assert(token >= executed_token);
					executed_token = token
				:: else -> skip /* the endpoint refuses the order */
				fi
			}
			/* Release: deletes the key if it still has the steward's token. */
			atomic {
				if
				:: key_token == token -> key_token = 0
				:: else -> skip
				fi
			}
		fi
	:: else -> break
	od
}

init {
	atomic { run Steward(); run Steward(); run Steward() }
}
