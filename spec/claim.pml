/*
 * Claims of calls that may not be repeated (package claim).
 *
 * Entries ask the store for one key. A commit compares the key's revision; it
 * may be delayed, and its answer may be lost. An entry that gave up claims
 * releases them. Entries may be killed at any point.
 *
 * Checked: the call is sent at most once, and an entry that says "not run"
 * has not sent it and never will.
 *
 * Seeded faults: FAULT_RESEND sends again after a failed send; FAULT_GIVE_UP
 * runs the call although the claim's answer stayed lost; FAULT_NO_COMPARE
 * writes the claim without comparing.
 */
#define ENTRIES 2
#define TRIES 2

mtype = { none, claimed, finished, released };

mtype state = none;
byte owner;
byte revision;
byte sends;
bool said_not_run[ENTRIES];
bool has_sent[ENTRIES];

/* write, by, compared revision, new state */
chan commits = [3] of { byte, byte, mtype };
/* answers: applied, state found, owner found, revision found */
chan answers[ENTRIES] = [2] of { bool, mtype, byte, byte };

active proctype Store() {
	byte by, compare;
	mtype next;
	bool applied;
end:	do
	:: commits??by, compare, next ->
		atomic {
			applied = false;
			if
#ifdef FAULT_NO_COMPARE
			:: true ->
#else
			:: compare == revision ->
#endif
				state = next; owner = by; revision++; applied = true
			:: else -> skip
			fi;
			if
			:: nfull(answers[by]) -> answers[by]!applied, state, owner, revision
			:: true -> skip /* the answer is lost */
			fi
		}
	od
}

inline submit(what) {
	if
	:: nfull(commits) -> commits!me, compare, what
	:: full(commits) -> skip
	fi
}

proctype Entry(byte me) {
	byte compare = 0, tries = 0, by, found;
	mtype what;
	bool applied;

Claim:	submit(claimed);
Wait:	if
	:: answers[me]?applied, what, by, found ->
		if
		:: applied || (by == me && what == claimed) -> compare = found; goto Hold
		:: else ->
			if
			:: what == released && tries < TRIES -> compare = found; tries++; goto Claim
			:: else -> goto Done /* another's claim: not run here */
			fi
		fi
	:: tries < TRIES -> tries++; goto Claim /* answer lost: the same write again */
	:: goto Unresolved
	:: goto Done /* killed */
	fi;

Unresolved:
#ifdef FAULT_GIVE_UP
	goto Hold;
#endif
	said_not_run[me] = true;
	/* Releases in the background what may have been claimed, or may yet be. */
	tries = 0;
	do
	:: tries < TRIES ->
		tries++;
		submit(released);
		if
		:: answers[me]?applied, what, by, found ->
			if
			:: !applied && by == me && what == claimed -> compare = found
			:: else -> break
			fi
		:: true -> skip
		fi
	:: break
	od;
	goto Done;

Hold:	if
	:: goto Done /* killed before the send */
	:: true -> /* nothing could be sent */
		said_not_run[me] = true;
		submit(released);
		goto Done
	:: true ->
		atomic { sends++; has_sent[me] = true; assert(sends <= 1) }
	fi;
#ifdef FAULT_RESEND
	if
	:: true -> atomic { sends++; assert(sends <= 1) }
	:: true -> skip
	fi;
#endif
	if
	:: submit(finished)
	:: skip /* killed after the send */
	fi;

Done:	assert(!(said_not_run[me] && has_sent[me]))
}

init {
	atomic { run Entry(0); run Entry(1) }
}
