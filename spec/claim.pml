/*
 * Claims of calls that may not be repeated (package claim).
 *
 * Two entries try to claim the same call, by commits that write one key in the store.
 * A commit takes effect only if the key still has the revision that it compares. A
 * commit may be delayed, and its response may be lost. An entry that stops waiting
 * for the response to its claim reports the call as not run and releases the claim in
 * the background. An entry may be killed at any point.
 *
 * Checked: the call is sent at most once, and an entry that reports "not run" has not
 * sent the call and does not send it later.
 *
 * Seeded faults: FAULT_RESEND sends the call a second time. FAULT_GIVE_UP runs the
 * call when the entry stops waiting for the response to its claim. FAULT_NO_COMPARE
 * writes without comparing the revision.
 */
#define ENTRIES 2
#define TRIES 2

mtype = { none, claimed, finished, released };

/* The value of the key, and its revision. */
mtype state = none;
byte owner;
byte revision;

byte send_count; /* times that the call was sent, by any entry */
bool reported_not_run[ENTRIES];
bool has_sent[ENTRIES];

/* Commits on their way to the store: writer, compared revision, new state. */
chan commits = [3] of { byte, byte, mtype };
/* Responses to each entry: whether the commit was applied; then the state, owner and
 * revision that the key has after it. A refused commit reports the present ones. */
chan answers[ENTRIES] = [2] of { bool, mtype, byte, byte };

/* Receives the commits in any order. */
active proctype Store() {
	byte writer, compare;
	mtype new_state;
	bool applied;
end:	do
	:: commits??writer, compare, new_state ->
		atomic {
			applied = false;
			if
#ifdef FAULT_NO_COMPARE
			:: true ->
#else
			:: compare == revision ->
#endif
				state = new_state; owner = writer; revision++; applied = true
			:: else -> skip
			fi;
			if
			:: nfull(answers[writer]) -> answers[writer]!applied, state, owner, revision
			:: true -> skip /* the response is lost */
			fi
		}
	od
}

/* Sends a commit for entry "me". It is lost if three are on their way already. */
inline submit(new_state) {
	if
	:: nfull(commits) -> commits!me, compare, new_state
	:: full(commits) -> skip
	fi
}

proctype Entry(byte me) {
	byte compare = 0, tries = 0, found_owner, found_revision;
	mtype found_state;
	bool applied;

Claim:	submit(claimed);
Wait:	if
	:: answers[me]?applied, found_state, found_owner, found_revision ->
		if
		:: applied || (found_owner == me && found_state == claimed) -> compare = found_revision; goto Hold
		:: else ->
			if
			:: found_state == released && tries < TRIES -> compare = found_revision; tries++; goto Claim
			:: else -> goto Done /* claimed by the other entry, or finished: not run here */
			fi
		fi
	:: tries < TRIES -> tries++; goto Claim /* response lost or late: sends the same commit again */
	:: goto Unresolved
	:: goto Done /* killed */
	fi;

Unresolved:
#ifdef FAULT_GIVE_UP
	goto Hold;
#endif
	reported_not_run[me] = true;
	/* Releases the claim, whose commit may have taken effect or may still do so. */
	tries = 0;
	do
	:: tries < TRIES ->
		tries++;
		submit(released);
		if
		:: answers[me]?applied, found_state, found_owner, found_revision ->
			if
			:: !applied && found_owner == me && found_state == claimed -> compare = found_revision
			:: else -> break
			fi
		:: true -> skip
		fi
	:: break
	od;
	goto Done;

Hold:	if
	:: goto Done /* killed before the send */
	:: true -> /* the send failed before its first byte */
		reported_not_run[me] = true;
		submit(released);
		goto Done
	:: true ->
		atomic { send_count++; has_sent[me] = true; assert(send_count <= 1) }
	fi;
#ifdef FAULT_RESEND
	if
	:: true -> atomic { send_count++; assert(send_count <= 1) }
	:: true -> skip
	fi;
#endif
	if
	:: submit(finished)
	:: skip /* killed after the send */
	fi;

Done:	assert(!(reported_not_run[me] && has_sent[me]))
}

init {
	atomic { run Entry(0); run Entry(1) }
}
