package policy

import (
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultDeadlineMS         = 60_000
	defaultFirstTokenTargetMS = 2_000
)

// Rank is a priority class of requests. Order 0 is the most urgent.
type Rank struct {
	ID RankID
	*rpc.Rank
}

// Defaults sets the deadline and the first-token target if they are not set.
func (ra Rank) Defaults() {
	if ra.DeadlineMs == 0 {
		ra.DeadlineMs = defaultDeadlineMS
	}
	if ra.FirstTokenTargetMs == 0 {
		ra.FirstTokenTargetMs = defaultFirstTokenTargetMS
	}
}

// Validate adds a finding to li for a negative time, a floor outside 0 to 1, a
// headroom that is negative or not less than 1, an order that another rank has, and
// floors of all ranks whose sum is greater than 1.
func (ra Rank) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if ra.DeadlineMs < 0 {
		li.Add(at("deadline_ms"), "%d is negative", ra.DeadlineMs)
	}
	if ra.FirstTokenTargetMs < 0 {
		li.Add(at("first_token_target_ms"), "%d is negative", ra.FirstTokenTargetMs)
	}
	if !shareBounds.Contain(ra.Floor) {
		li.Add(at("floor"), "%v is not between 0 and 1", ra.Floor)
	}
	if !shareBounds.Contain(ra.Headroom) || ra.Headroom == 1 {
		li.Add(at("headroom"), "%v must be at least 0 and less than 1", ra.Headroom)
	}
	sum := 0.0
	for _, other := range se.Ranks.List() {
		if other.ID != ra.ID && other.Order == ra.Order {
			li.Add(at("order"), "rank %q has the same order", other.ID)
		}
		sum += other.Floor
	}
	if sum > 1 {
		li.Add(at("floor"), "floors of all ranks add up to %v, more than 1", sum)
	}
}

// Deadline returns the time by which a request that arrived at the given time, and
// that gave no deadline of its own, must be answered.
func (ra Rank) Deadline(arrived time.Time) time.Time {
	return arrived.Add(quantity.Milliseconds(ra.DeadlineMs))
}

// FirstTokenDeadline returns the time at which the first token of a request that
// arrived at the given time is due, by the rank's target.
func (ra Rank) FirstTokenDeadline(arrived time.Time) time.Time {
	return arrived.Add(quantity.Milliseconds(ra.FirstTokenTargetMs))
}
