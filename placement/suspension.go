package placement

import "time"

// suspension is the circuit breaker of one endpoint. After failuresToSuspend
// failures in a row the endpoint gets no requests, except one probe at a time
// after SuspendedUntil. A probe that is answered, even with an error, ends the
// suspension as soon as its answer begins; one that fails lengthens it. Requests that
// were sent before the suspension, and fail during it, do not: they say nothing new.
type suspension struct {
	Failures       int
	SuspendedUntil time.Time
	probing        bool
	// flooded reports whether an answer did not end: that another one begins says nothing then.
	flooded bool
}

// allows reports whether the endpoint may get a request, which may be a probe.
func (su *suspension) allows(now time.Time) bool {
	return su.healthy() || now.After(su.SuspendedUntil) && !su.probing
}

func (su *suspension) healthy() bool { return su.Failures < failuresToSuspend }

// recordSend records that a request is sent to the endpoint, and reports whether it is a
// probe.
func (su *suspension) recordSend() (probe bool) {
	su.probing = !su.healthy()
	return su.probing
}

// answered records that the endpoint answers, and reports whether that ended its suspension.
func (su *suspension) answered() (resumed bool) {
	resumed = !su.healthy()
	su.Failures, su.probing = 0, false
	return resumed
}

// recordResult records the result of a request, and reports whether it suspended
// the endpoint or ended its suspension. probe is what recordSend reported. chance is
// random, from 0 to 1: it varies the suspension's length from half to one and a half
// times its mean, so that suspensions do not all end together.
func (su *suspension) recordResult(now time.Time, re Result, probe bool, chance float64) (suspended, resumed bool) {
	if probe {
		su.probing = false
	}
	switch re {
	case Succeeded, AnsweredWithError:
		su.flooded = false
		resumed = su.answered()
	case Failed, Flooded:
		su.flooded = su.flooded || re == Flooded
		if !su.healthy() && !probe {
			return false, false
		}
		su.Failures++
		if re == Flooded {
			su.Failures = max(su.Failures, failuresToSuspend)
		}
		if !su.healthy() {
			wait := min(maxSuspension, firstSuspension<<min(su.Failures-failuresToSuspend, 8))
			su.SuspendedUntil = now.Add(time.Duration(float64(wait) * (0.5 + chance)))
			suspended = su.Failures == failuresToSuspend || re == Flooded && !probe
		}
	}
	return suspended, resumed
}
