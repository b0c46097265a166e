package placement

import "time"

// suspension keeps an endpoint that fails again and again from getting work,
// but for a probe now and then.
type suspension struct {
	Failures       int
	SuspendedUntil time.Time
	probing        bool
}

// open tells whether the endpoint may get a request.
func (su *suspension) open(now time.Time) bool {
	return su.healthy() || now.After(su.SuspendedUntil) && !su.probing
}

func (su *suspension) healthy() bool { return su.Failures < failuresToSuspend }

// probe notes that a request goes to the endpoint.
func (su *suspension) probe() { su.probing = !su.healthy() }

// note takes an outcome in; chance, from 0 to 1, spreads the ends of suspensions.
func (su *suspension) note(now time.Time, re Result, chance float64) (suspended, resumed bool) {
	su.probing = false
	switch re {
	case Succeeded, AnsweredWithError:
		resumed = !su.healthy()
		su.Failures = 0
	case Failed:
		su.Failures++
		if !su.healthy() {
			wait := min(maxSuspension, firstSuspension<<min(su.Failures-failuresToSuspend, 8))
			su.SuspendedUntil = now.Add(time.Duration(float64(wait) * (0.5 + chance)))
			suspended = su.Failures == failuresToSuspend
		}
	}
	return suspended, resumed
}
