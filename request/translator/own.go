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

// ReadRequest implements Translator. The request id is left empty, since nodes
// generate the ids.
func (Own) ReadRequest(h *fasthttp.RequestHeader, _ time.Time) (RequestMetadata, error) {
	deadline, err := checker.Deadline(h)
	return RequestMetadata{Deadline: deadline}, err
}

// WriteRequest implements Translator.
func (Own) WriteRequest(h *fasthttp.RequestHeader, o ForwardMetadata) {
	h.Set(checker.HeaderRequestID, o.RequestID)
	h.Set(checker.HeaderDeadline, strconv.FormatInt(o.Deadline.UnixMilli(), 10))
}

// ReadResponse implements Translator. The echo of the request id is optional, and
// every response counts as verified.
func (Own) ReadResponse(resp *fasthttp.Response) ResponseMetadata {
	return ResponseMetadata{RequestID: string(resp.Header.Peek(checker.HeaderRequestID)), Verified: true}
}

// WriteRejection implements Translator.
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

// FinishResponse implements Translator.
func (Own) FinishResponse(h *fasthttp.ResponseHeader, r Report) {
	h.Set(checker.HeaderOutcome, string(r.Outcome))
	h.Del(checker.HeaderLoad)
	h.Del(checker.HeaderAttempt)
	h.Del(checker.HeaderDetail)
}

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
