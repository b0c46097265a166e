// Package event holds the numbered events of the logs. docs/EVENTS.md is
// their catalogue for operators.
package event

import (
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerpoint.example/tanager/rpc"
)

// Number identifies an event. Numbers are never used again.
type Number int

// The events.
const (
	Started              Number = 100
	Draining             Number = 101
	Stopped              Number = 102
	DrainTimedOut        Number = 103
	ListenerFailed       Number = 104
	RequestPanicked      Number = 105
	SettingsReloaded     Number = 106
	SettingsUnusable     Number = 107
	SettingsKept         Number = 108
	LinesSuppressed      Number = 109
	PolicyApplied        Number = 200
	PolicyRecordUnusable Number = 201
	PolicyFromPeer       Number = 202
	StoreBehind          Number = 203
	WatchEnded           Number = 204
	StoreUnreachable     Number = 205
	Isolated             Number = 206
	IsolationEnded       Number = 207
	StoreLost            Number = 208
	MemberJoined         Number = 300
	MemberFailed         Number = 301
	PeerUnreachable      Number = 302
	VMListUnreachable    Number = 303
	PeerRefused          Number = 304
	AttemptFailed        Number = 400
	EndpointSuspended    Number = 401
	EndpointResumed      Number = 402
	AnswerDropped        Number = 403
	StreamResumed        Number = 404
	VersionSuspect       Number = 405
	RetryBudgetSpent     Number = 406
	RequestRefused       Number = 407
	RequestFailed        Number = 408
	StreamCut            Number = 409
	EndpointLapsed       Number = 410
	RequestSent          Number = 411
	RequestAnswered      Number = 412
	CascadeEscalated     Number = 413
	ClaimUnresolved      Number = 500
	ClaimReleased        Number = 501
	BillsSealed          Number = 502
	PeerBillsSealed      Number = 503
	BillsNotCopied       Number = 504
	BillsUnsealed        Number = 505
	LeaseTaken           Number = 600
	LeaseLost            Number = 601
	RolloutMoved         Number = 602
	RolloutAborted       Number = 603
	ChangeFenced         Number = 604
	OrderSent            Number = 605
	OrderRefused         Number = 606
	RatingsUnreachable   Number = 607
)

// texts are the messages by number.
var texts = map[Number]string{
	Started:              "daemon started",
	Draining:             "graceful shutdown began",
	Stopped:              "daemon stopped",
	DrainTimedOut:        "graceful shutdown ended before its last answers",
	ListenerFailed:       "listener failed",
	RequestPanicked:      "request ended by a defect of the program",
	SettingsReloaded:     "settings read again and in force",
	SettingsUnusable:     "settings file has findings; the settings in force are kept",
	SettingsKept:         "settings file read again; this daemon takes changes at its next start",
	LinesSuppressed:      "log lines left out",
	PolicyApplied:        "policy revision in force",
	PolicyRecordUnusable: "policy record cannot be used and counts as absent",
	PolicyFromPeer:       "policy fetched from a peer",
	StoreBehind:          "store gave an older policy revision than is in force; kept the newer",
	WatchEnded:           "store watch ended and is opened anew",
	StoreUnreachable:     "store unreachable",
	Isolated:             "no evidence of the newest policy; new work is refused",
	StoreLost:            "store stopped answering; the policy in force is kept",
	IsolationEnded:       "evidence of the newest policy is back; new work is accepted",
	MemberJoined:         "peer joined",
	MemberFailed:         "peer not heard of in time",
	PeerUnreachable:      "exchange with a peer failed",
	VMListUnreachable:    "VM list unreachable; the last one is kept",
	PeerRefused:          "call on the peers' listener without the shared key",
	AttemptFailed:        "attempt at an endpoint failed",
	EndpointSuspended:    "endpoint gets no work after failures",
	EndpointResumed:      "endpoint gets work again",
	AnswerDropped:        "answer of another request dropped",
	StreamResumed:        "stream resumed on a new connection",
	VersionSuspect:       "candidate version stopped on this site's own evidence",
	RetryBudgetSpent:     "retry budget spent",
	RequestRefused:       "request refused",
	RequestFailed:        "request found no good answer",
	StreamCut:            "stream could not be completed and was cut off",
	EndpointLapsed:       "endpoint vanished while the store was unsteady; kept for the grace",
	RequestSent:          "request sent to an endpoint",
	RequestAnswered:      "request answered",
	CascadeEscalated:     "answer of a small model given up for one of the largest",
	ClaimUnresolved:      "claim's answer was lost and is not yet resolved",
	ClaimReleased:        "claim released: the call was not run",
	BillsSealed:          "batch of bills sealed",
	PeerBillsSealed:      "failed peer's bills sealed for it",
	BillsNotCopied:       "bill has fewer copies than set",
	BillsUnsealed:        "bills could not be sealed",
	LeaseTaken:           "task's lease taken",
	LeaseLost:            "task's lease lost",
	RolloutMoved:         "roll-out moved to its next share",
	RolloutAborted:       "roll-out aborted",
	ChangeFenced:         "change refused by its fencing token",
	OrderSent:            "order sent to an endpoint",
	OrderRefused:         "order refused by an endpoint",
	RatingsUnreachable:   "rating service unreachable",
}

// Numbers lists all events in order.
func Numbers() []Number {
	var out []Number
	for nu := range texts {
		out = append(out, nu)
	}
	slices.Sort(out)
	return out
}

// Text gives an event's message.
func Text(nu Number) string { return texts[nu] }

// Fields are an event's details.
type Fields = logrus.Fields

// Log writes numbered events.
type Log struct {
	lg     *logrus.Entry
	budget *budget
	// queue is set when the lines go through one.
	queue *Queue
}

// NewLog gives a log that writes to wr in the format and from the level set.
func NewLog(wr io.Writer, se *rpc.LogSection, vm string) *Log {
	lg := logrus.New()
	lg.SetOutput(wr)
	if se.GetFormat() == "json" {
		lg.SetFormatter(&logrus.JSONFormatter{})
	} else {
		lg.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	if le, err := logrus.ParseLevel(se.GetLevel()); err == nil {
		lg.SetLevel(le)
	}
	qu, _ := wr.(*Queue)
	return &Log{lg: lg.WithField("vm", vm), budget: newBudget(), queue: qu}
}

// Discard gives a log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, nil, "") }

// Dropped counts the lines that found no room in the queue.
func (lo *Log) Dropped() int64 {
	if lo.queue == nil {
		return 0
	}
	return lo.queue.Dropped()
}

// Info writes an event in the ordinary course of things.
func (lo *Log) Info(nu Number, fi Fields) { lo.write(logrus.InfoLevel, nu, nil, fi) }

// Warn writes an event that an operator may have to look at.
func (lo *Log) Warn(nu Number, err error, fi Fields) { lo.write(logrus.WarnLevel, nu, err, fi) }

// Debug writes an event that is too frequent for the ordinary log.
func (lo *Log) Debug(nu Number, err error, fi Fields) { lo.write(logrus.DebugLevel, nu, err, fi) }

// WarnLimited writes an event of a request that went wrong. Its lines are bounded.
func (lo *Log) WarnLimited(nu Number, err error, fi Fields) {
	lo.bounded(logrus.WarnLevel, nu, err, fi, troubleLines)
}

// InfoLimited writes an event of a request in the ordinary course of things. Its
// lines are bounded.
func (lo *Log) InfoLimited(nu Number, fi Fields) {
	lo.bounded(logrus.InfoLevel, nu, nil, fi, plainLines)
}

func (lo *Log) bounded(le logrus.Level, nu Number, err error, fi Fields, most int) {
	if !lo.lg.Logger.IsLevelEnabled(le) {
		return
	}
	ok, leftOut := lo.budget.take(time.Now(), nu, most)
	for of, n := range leftOut {
		lo.write(logrus.InfoLevel, LinesSuppressed, nil, Fields{"of_event": int(of), "left_out": n})
	}
	if ok {
		lo.write(le, nu, err, fi)
	}
}

func (lo *Log) write(le logrus.Level, nu Number, err error, fi Fields) {
	en := lo.lg.WithField("event", int(nu)).WithFields(fi)
	if err != nil {
		en = en.WithError(err)
	}
	en.Log(le, texts[nu])
}
