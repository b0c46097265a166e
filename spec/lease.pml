/*
 * Tasks under leases with fencing tokens (packages lease and steward).
 *
 * Stewards take a task by a create-only key bound to a lease. The store ends
 * a lease at any time after its holder stopped renewing. A steward may be
 * paused at any point, also between its check of the lease and its write.
 *
 * Checked: a change of configuration takes effect only under the newest token;
 * an endpoint that checks tokens never goes back to an older one.
 *
 * Seeded faults: FAULT_NO_FENCE writes without comparing the lease's key;
 * FAULT_NO_TOKEN lets the endpoint carry out any order.
 */
#define STEWARDS 3
#define ROUNDS 2

byte key_token;        /* 0: no such key */
byte next_token = 1;
byte newest_token;     /* the greatest token ever given */
byte written_token;    /* token of the last change that took effect */
byte endpoint_token;   /* greatest token that the endpoint saw */
byte carried_token;    /* token of the order carried out last */

/* The store ends the lease: its holder is paused, cut off or dead. */
active proctype Lapse() {
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
		/* Acquire: create-only. */
		atomic {
			if
			:: key_token == 0 ->
				key_token = next_token; token = next_token;
				newest_token = next_token; next_token++
			:: else -> skip
			fi
		}
		if
		:: token == 0 -> skip
		:: token != 0 ->
			/* The steward holds the task, as far as it knows; it may be
			 * paused here for as long as it takes. */
			atomic {
				if
#ifdef FAULT_NO_FENCE
				:: true ->
#else
				:: key_token == token ->
#endif
					assert(token == newest_token);
					assert(token >= written_token);
					written_token = token
				:: else -> skip /* refused by its fencing token */
				fi
			}
			atomic {
				if
#ifdef FAULT_NO_TOKEN
				:: true ->
#else
				:: token >= endpoint_token ->
#endif
					endpoint_token = (token > endpoint_token -> token : endpoint_token);
					assert(token >= carried_token);
					carried_token = token
				:: else -> skip
				fi
			}
			/* Release: compares the token. */
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
