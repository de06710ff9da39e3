// Package translator turns what callers and targets say about a request into
// typed values, and back.
//
// The words on the wire differ between interfaces: the project's own, which is
// Own, and those of platforms, which live in adapters of their own. Receiver
// and executor decide on the typed values alone.
//
// # Usage
//
//	var t translator.Translator = translator.Own{}
//	caller, err := t.ReadRequest(&x.Request.Header, time.Now())
//	t.WriteRequest(&x.Request.Header, translator.HandOver{RequestID: id, ...})
//	answer := t.ReadAnswer(&x.Response)
//	t.WriteRefusal(&x.Response, translator.Refusal{Report: report, Detail: why})
package translator

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
)

// Reason says why a request has no answer of a target.
type Reason string

// The reasons that nodes give.
const (
	ReasonNone          Reason = ""
	ReasonNoTarget      Reason = "noTarget"   // ReasonNoTarget means that the target left or is not known here.
	ReasonLimit         Reason = "limit"      // ReasonLimit means that no slot became free.
	ReasonShed          Reason = "shed"       // ReasonShed means that the target itself refused the request.
	ReasonDeadline      Reason = "deadline"   // ReasonDeadline means that time ran out.
	ReasonDial          Reason = "dial"       // ReasonDial means that no connection could be made.
	ReasonClaimFailed   Reason = "claim"      // ReasonClaim means that the key could not be claimed in time.
	ReasonClaimHeld     Reason = "held"       // ReasonHeld means that an earlier attempt may have run.
	ReasonKeyMismatch   Reason = "mismatch"   // ReasonMismatch means that the key belongs to another request.
	ReasonBroken        Reason = "broken"     // ReasonBroken means that the answer was cut off.
	ReasonWrongResponse Reason = "crossed"    // ReasonCrossed means that the answer was to another request.
	ReasonTargetCrash   Reason = "crash"      // ReasonCrash means that the target died with the request in flight.
	ReasonPoison        Reason = "poison"     // ReasonPoison means that the request has crashed too many targets.
	ReasonNoRoute       Reason = "noRoute"    // ReasonNoRoute means that the configuration has no route.
	ReasonNotReady      Reason = "notReady"   // ReasonNotReady means that the node has no confirmed configuration.
	ReasonNoAck         Reason = "silent"     // ReasonSilent means that the owner node gave no sign that it has the request.
	ReasonStopping      Reason = "stopping"   // ReasonStopping means that the entry node is about to end.
	ReasonBadRequest    Reason = "badRequest" // ReasonBadRequest means that the request is malformed.
	ReasonCallerGone    Reason = "hungUp"     // ReasonHungUp means that the caller went away.
)

// LoadReport is what an owner node says of its target with each answer.
type LoadReport struct {
	Valid          bool
	RequestCount   int           // Busy is the number of requests there that run, or wait and go before a new one.
	ExpectedWait   time.Duration // Wait is how long a further request would wait for a slot.
	ProcessingTime time.Duration // Work is how long the target works on a request of this route, 0 while unknown.
	LinkBacklog    time.Duration // Link is how long the host's link is busy with what was answered before.
}

// Report says how an order ended.
type Report struct {
	Outcome  forwarder.Outcome
	Reason   Reason
	Replayed bool // Replayed means that the answer is the stored one of an earlier attempt.
	Load     LoadReport
	Detail   string // Detail says in words why there is no answer of a target.
}

// NotRun reports a request that did not run.
func NotRun(r Reason) Report { return Report{Outcome: forwarder.OutcomeNotRun, Reason: r} }

// Unknown reports a request that may have run.
func Unknown(r Reason) Report { return Report{Outcome: forwarder.OutcomeUnknown, Reason: r} }

// RequestMetadata is what a caller says with a request.
type RequestMetadata struct {
	RequestID string    // RequestID is empty when the node is to make one.
	Deadline  time.Time // Deadline is zero when the caller names none.
}

// ForwardMetadata is what a target is told with a request.
type ForwardMetadata struct {
	RequestID string
	Target    string    // Target is the target that is meant.
	Origin    string    // Origin is the service on the host where the request began.
	Deadline  time.Time // Deadline is when the answer is no longer waited for.
}

// ResponseMetadata is what a target's answer says beside its status and body.
type ResponseMetadata struct {
	RequestID string // RequestID is the echoed id, empty without one.
	NotRun    bool   // NotRun means that the target states that it did not run the request.
	Verified  bool   // Genuine means that the answer bears all signs of the target's own whole answer.
}

// Refusal is an answer of a node in place of a target's.
type Refusal struct {
	Report
	Detail string
	// RetryAt is when the caller may come back; zero means that nothing is said.
	RetryAt time.Time
}

// Translator speaks one interface's words.
type Translator interface {
	// ReadRequest takes in what the caller says, at the time now.
	ReadRequest(h *fasthttp.RequestHeader, now time.Time) (RequestMetadata, error)
	// WriteRequest sets the headers that a target is to get.
	WriteRequest(h *fasthttp.RequestHeader, o ForwardMetadata)
	// ReadResponse takes in what a target says.
	ReadResponse(resp *fasthttp.Response) ResponseMetadata
	// WriteRefusal replaces resp by an answer of the node.
	WriteRefusal(resp *fasthttp.Response, r Refusal)
	// FinishResponse prepares a target's answer for the caller.
	FinishResponse(h *fasthttp.ResponseHeader, r Report)
}
