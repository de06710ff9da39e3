package translator

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
)

// Own implements the project's own interface. Package checker defines its headers.
type Own struct{}

// ReadRequest returns the deadline in the caller's headers, zero when there is none, and
// an error when it is malformed. The request id is left empty, since nodes
// generate the ids.
func (Own) ReadRequest(h *fasthttp.RequestHeader, _ time.Time) (RequestMetadata, error) {
	deadline, err := checker.Deadline(h)
	return RequestMetadata{Deadline: deadline}, err
}

// WriteRequest sets the request id and the deadline, in Unix milliseconds, in the headers
// for the target. It does not send the target name and the origin.
func (Own) WriteRequest(h *fasthttp.RequestHeader, o ForwardMetadata) {
	h.Set(checker.HeaderRequestID, o.RequestID)
	h.Set(checker.HeaderDeadline, strconv.FormatInt(o.Deadline.UnixMilli(), 10))
}

// ReadResponse returns the request id that the target echoed, and its notice. The echo of the request id is optional, and
// every response counts as verified.
func (Own) ReadResponse(h *fasthttp.ResponseHeader) ResponseMetadata {
	return ResponseMetadata{
		RequestID: string(h.Peek(checker.HeaderRequestID)), Verified: true,
		Notice: ParseNotice(h.PeekAll(checker.HeaderRateLimit), h.PeekAll(checker.HeaderLeaving)),
	}
}

// WriteRejection replaces resp by a response with a JSON body of outcome, reason and
// detail. Retry-After, in whole seconds, is set only for OutcomeNotRun with a RetryAt.
func (Own) WriteRejection(resp *fasthttp.Response, r Rejection) {
	resp.Reset()
	resp.SetStatusCode(statusOf(r.Report))
	resp.Header.SetContentType("application/json")
	resp.Header.Set(checker.HeaderOutcome, string(r.Outcome))
	resp.Header.Set(checker.HeaderReason, string(r.Reason))
	if !r.RetryAt.IsZero() && r.Outcome == forwarder.OutcomeNotRun {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(time.Until(r.RetryAt).Seconds())+1))
	}
	asserter.Check(r.Outcome != "", "outcomeKnown", "%s", r.Detail)
	resp.SetBodyString(fmt.Sprintf("{\"outcome\":%q,\"reason\":%q,\"detail\":%q}\n", r.Outcome, r.Reason, r.Detail))
}

// FinishResponse sets the outcome header for the caller and removes the headers that are
// only for the entry node: load report, target state, attempt and detail.
func (Own) FinishResponse(h *fasthttp.ResponseHeader, r Report) {
	h.Set(checker.HeaderOutcome, string(r.Outcome))
	h.Del(checker.HeaderLoad)
	h.Del(checker.HeaderTargetState)
	h.Del(checker.HeaderAttempt)
	h.Del(checker.HeaderDetail)
}

// statusOf returns the HTTP status of a rejection. A reason without its own status gives
// 502 for an unknown outcome, else 503.
func statusOf(r Report) int {
	switch r.Reason {
	case ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case ReasonNoRoute:
		return fasthttp.StatusNotFound
	case ReasonKeyMismatch:
		return fasthttp.StatusUnprocessableEntity
	case ReasonClaimHeld:
		return fasthttp.StatusConflict
	case ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	if r.Outcome == forwarder.OutcomeUnknown {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}
