// Package event writes the daemons' logs as numbered events. docs/EVENTS.md lists
// the events for operators.
package event

import (
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerpoint.example/tanager/rpc"
)

// Number identifies an event. Numbers are never reused.
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
	SettingsInvalid      Number = 107
	SettingsNeedRestart  Number = 108
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
	StoreEra             Number = 209
	PolicyRetained       Number = 210
	ConfigurationBehind  Number = 211
	WatchRoleChanged     Number = 212
	MemberJoined         Number = 300
	MemberFailed         Number = 301
	PeerUnreachable      Number = 302
	VMListUnreachable    Number = 303
	PeerCallRefused      Number = 304
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
	SessionMoved         Number = 414
	ReleaseShareChanged  Number = 415
	PartQuarantined      Number = 416
	QuarantineEnded      Number = 417
	QuarantineLimited    Number = 418
	CrashNotReported     Number = 419
	LimitNamed           Number = 420
	LimitEnded           Number = 421
	QuarantineProbed     Number = 422
	EndpointLeaving      Number = 423
	EndpointPaused       Number = 424
	PathLost             Number = 425
	PathBack             Number = 426
	ServiceBrittle       Number = 427
	ServiceNotBrittle    Number = 428
	EndpointRefusedFull  Number = 429
	ConnectionClosed     Number = 430
	SlowReaderCut        Number = 431
	AnswerBrokenOff      Number = 432
	QuarantineExplained  Number = 433
	EvidenceLoaded       Number = 434
	EvidenceNotKept      Number = 435
	EvacuationBegan      Number = 440
	EvacuationEnded      Number = 441
	EndpointCold         Number = 442
	EndpointWarm         Number = 443
	PlaceAwaited         Number = 450
	PlaceNotExpected     Number = 451
	CascadeKept          Number = 460
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

// texts holds the log messages by event number. docs/EVENTS.md repeats them.
var texts = map[Number]string{
	Started:              "daemon started",
	Draining:             "graceful shutdown started",
	Stopped:              "daemon stopped",
	DrainTimedOut:        "graceful shutdown timed out with requests in flight",
	ListenerFailed:       "listener failed",
	RequestPanicked:      "panic while serving a request",
	SettingsReloaded:     "settings reloaded",
	SettingsInvalid:      "settings file is invalid; keeping the current settings",
	SettingsNeedRestart:  "settings file read again; this daemon applies changes only at its next start",
	LinesSuppressed:      "log lines suppressed by the rate limit",
	PolicyApplied:        "policy revision applied",
	PolicyRecordUnusable: "policy record cannot be used; treating it as absent",
	PolicyFromPeer:       "policy fetched from a peer",
	StoreBehind:          "store returned an older policy revision; keeping the current one",
	WatchEnded:           "store watch ended; reopening it",
	StoreUnreachable:     "store unreachable",
	Isolated:             "isolated: policy may be out of date; refusing new requests",
	StoreLost:            "store stopped answering; keeping the current policy",
	StoreEra:             "store names a new era: it came back from an older copy",
	PolicyRetained:       "policy records kept that the restored store has lost, or lost records are in it again",
	ConfigurationBehind:  "store has an older version of the configuration; keeping the current one",
	WatchRoleChanged:     "this daemon began to watch the store, or to follow peers that do",
	IsolationEnded:       "isolation ended: policy is current again; accepting new requests",
	MemberJoined:         "peer joined",
	MemberFailed:         "peer timed out",
	PeerUnreachable:      "exchange with a peer failed",
	VMListUnreachable:    "VM list unreachable; keeping the last one",
	PeerCallRefused:      "call to the peers' listener refused: shared key missing or wrong",
	AttemptFailed:        "attempt at an endpoint failed",
	EndpointSuspended:    "endpoint suspended after failures",
	EndpointResumed:      "endpoint resumed",
	AnswerDropped:        "endpoint's answer dropped: it belongs to another request",
	StreamResumed:        "stream resumed on a new connection",
	VersionSuspect:       "candidate version stopped: this site judged it worse than the version in use",
	RetryBudgetSpent:     "retry budget exhausted",
	RequestRefused:       "request refused",
	RequestFailed:        "request failed: no endpoint gave a usable answer",
	StreamCut:            "stream could not be completed; closed the caller's connection",
	EndpointLapsed:       "endpoint disappeared while the store was unstable; keeping it for the grace period",
	RequestSent:          "request sent to an endpoint",
	RequestAnswered:      "request answered",
	CascadeEscalated:     "cascade dropped a smaller model's answer to use a larger model",
	CascadeKept:          "cascade kept a smaller model's answer",
	SessionMoved:         "session continues on another release",
	ReleaseShareChanged:  "this router changed the share of requests that a release gets",
	PartQuarantined:      "prompt part or request quarantined: it crashed several endpoints",
	QuarantineEnded:      "quarantine ended: an answer to a request with its subject went well",
	QuarantineLimited:    "subject not quarantined: too many are, so requests are not the cause",
	CrashNotReported:     "crash under a prompt part or request could not be reported to its holder",
	LimitNamed:           "endpoint named a limit of its requests",
	LimitEnded:           "endpoint names no limit any more",
	QuarantineProbed:     "request let through to see whether its subject still crashes endpoints",
	EndpointLeaving:      "endpoint said in an answer that it leaves; it gets no new requests",
	EndpointPaused:       "endpoint asked for a pause; it gets no requests from this router until its end",
	PathLost:             "this VM has no path to a service's endpoints; peers carry its attempts",
	PathBack:             "this VM has a path to a service's endpoints again",
	ServiceBrittle:       "endpoints of a service say that they fall over when they refuse too many requests",
	ServiceNotBrittle:    "endpoints of a service are not brittle any more",
	EndpointRefusedFull:  "brittle endpoint refused a request for want of room; it is spared",
	EvacuationBegan:      "operator evacuates a failure domain; its endpoints get no new requests from this router",
	EvacuationEnded:      "evacuation of a failure domain was taken back",
	ConnectionClosed:     "connection closed, with its request unread, to keep memory and descriptors within their bounds",
	SlowReaderCut:        "answer cut: its caller read it too slowly while memory was short",
	AnswerBrokenOff:      "endpoint broke off an answer, which its request may have caused",
	QuarantineExplained:  "quarantine ended: another subject was in all of its crashes",
	EvidenceLoaded:       "crashes counted by other routers loaded from the store",
	EvidenceNotKept:      "evidence of crashes not loaded from the store, or not saved there",
	EndpointCold:         "endpoint is cold; all routers together send it few requests",
	EndpointWarm:         "endpoint is no longer cold; its share of requests grows",
	PlaceAwaited:         "request waited for a place at an endpoint, and got one",
	PlaceNotExpected:     "request got no place at an endpoint in time",
	ClaimUnresolved:      "claim not resolved yet: the store's answer was lost",
	ClaimReleased:        "claim released: the call was not run",
	BillsSealed:          "batch of bills sealed",
	PeerBillsSealed:      "sealed the bills of a failed peer",
	BillsNotCopied:       "bill has fewer copies than configured",
	BillsUnsealed:        "bills could not be sealed",
	LeaseTaken:           "task lease acquired",
	LeaseLost:            "task lease lost",
	RolloutMoved:         "roll-out advanced to its next share",
	RolloutAborted:       "roll-out aborted",
	ChangeFenced:         "change refused: fencing token out of date",
	OrderSent:            "order sent to an endpoint",
	OrderRefused:         "order to an endpoint failed or was refused",
	RatingsUnreachable:   "rating service unreachable",
}

// Numbers returns the numbers of all events in ascending order.
func Numbers() []Number {
	var out []Number
	for nu := range texts {
		out = append(out, nu)
	}
	slices.Sort(out)
	return out
}

// Text returns the log message of an event.
func Text(nu Number) string { return texts[nu] }

// Fields are the key-value pairs of a log line, in addition to the event's number
// and the VM.
type Fields = logrus.Fields

// Log writes numbered events. Its methods are safe for concurrent use.
type Log struct {
	lg      *logrus.Entry
	limiter *lineLimiter
	// queue is the writer of the lines if that is a Queue, nil otherwise.
	queue *Queue
}

// NewLog returns a log that writes to wr, in the format of se and from its level on.
// With a nil se these are text and info. Each line names vm.
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
	return &Log{lg: lg.WithField("vm", vm), limiter: newLineLimiter(), queue: qu}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, nil, "") }

// Dropped returns the number of lines that the log's queue has dropped, 0 without a
// queue.
func (lo *Log) Dropped() int64 {
	if lo.queue == nil {
		return 0
	}
	return lo.queue.Dropped()
}

// Info writes an event of normal operation.
func (lo *Log) Info(nu Number, fi Fields) { lo.write(logrus.InfoLevel, nu, nil, fi) }

// Warn writes an event that an operator may have to look at.
func (lo *Log) Warn(nu Number, err error, fi Fields) { lo.write(logrus.WarnLevel, nu, err, fi) }

// Debug writes an event that is too frequent for the default level.
func (lo *Log) Debug(nu Number, err error, fi Fields) { lo.write(logrus.DebugLevel, nu, err, fi) }

// WarnLimited writes an event of a request that failed. At most
// warnLinesPerWindow lines of each event are written in a limitWindow.
func (lo *Log) WarnLimited(nu Number, err error, fi Fields) {
	lo.writeLimited(logrus.WarnLevel, nu, err, fi, warnLinesPerWindow)
}

// InfoLimited writes an event of normal operation that requests cause. At most
// infoLinesPerWindow lines of each event are written in a limitWindow.
func (lo *Log) InfoLimited(nu Number, fi Fields) {
	lo.writeLimited(logrus.InfoLevel, nu, nil, fi, infoLinesPerWindow)
}

// writeLimited writes a line if the rate limit allows it. The first call after the end
// of a window also writes the numbers of the lines suppressed in it, one line for each
// event.
func (lo *Log) writeLimited(le logrus.Level, nu Number, err error, fi Fields, limit int) {
	if !lo.lg.Logger.IsLevelEnabled(le) {
		return
	}
	ok, suppressed := lo.limiter.allow(time.Now(), nu, limit)
	for of, n := range suppressed {
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
