package policy

import (
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultDeadlineMS         = 60_000
	defaultFirstTokenTargetMS = 2_000
)

// Rank is a class of urgency. Order 0 is the most urgent.
type Rank struct {
	ID RankID
	*rpc.Rank
}

// Defaults sets what the record leaves out.
func (ra Rank) Defaults() {
	if ra.DeadlineMs == 0 {
		ra.DeadlineMs = defaultDeadlineMS
	}
	if ra.FirstTokenTargetMs == 0 {
		ra.FirstTokenTargetMs = defaultFirstTokenTargetMS
	}
}

// Validate finds mistakes.
func (ra Rank) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if ra.DeadlineMs < 0 {
		li.Add(at("deadline_ms"), "%d is negative", ra.DeadlineMs)
	}
	if ra.FirstTokenTargetMs < 0 {
		li.Add(at("first_token_target_ms"), "%d is negative", ra.FirstTokenTargetMs)
	}
	if ra.Floor < 0 || ra.Floor > 1 {
		li.Add(at("floor"), "%v is outside 0 to 1", ra.Floor)
	}
	if ra.Headroom < 0 || ra.Headroom >= 1 {
		li.Add(at("headroom"), "%v is outside 0 to 1", ra.Headroom)
	}
	sum := 0.0
	for _, other := range se.Ranks.List() {
		if other.ID != ra.ID && other.Order == ra.Order {
			li.Add(at("order"), "same order as rank %q", other.ID)
		}
		sum += other.Floor
	}
	if sum > 1 {
		li.Add(at("floor"), "floors of all ranks add up to %v", sum)
	}
}

// Deadline is when a request that arrived at a time and named no deadline
// must have its answer.
func (ra Rank) Deadline(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(ra.DeadlineMs) * time.Millisecond)
}

// FirstTokenDeadline is when a request that arrived at a time should have its
// first token.
func (ra Rank) FirstTokenDeadline(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(ra.FirstTokenTargetMs) * time.Millisecond)
}
