package executor

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

const (
	// settleTimeout bounds the attempts to settle or release one claim.
	settleTimeout = 30 * time.Second
	// claimTimeout bounds the acquisition of a claim. A request without a claim
	// by then is rejected as not run.
	claimTimeout = 2 * time.Second
	// settleRetryInterval is the pause between two attempts to settle or release a claim.
	settleRetryInterval = 200 * time.Millisecond
	// heldInitialBackoff is the pause before the first retry of a claim that
	// another attempt holds. Each further pause is twice as long.
	heldInitialBackoff = 25 * time.Millisecond
	// maxStatus is the largest status of a response.
	maxStatus = 999
)

// forwardWithClaim forwards a request to its target. A request that is not
// idempotent and has an idempotency key is forwarded only after its key is
// claimed, and the claim is then settled or released according to the outcome.
func (x *Executor) forwardWithClaim(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order) (translator.Report, string) {
	key := req.Header.Peek(checker.HeaderIdempotencyKey)
	send := func() error { return t.Forwarder.Do(ctx, req, resp, o.Deadline, x.identity(t, o)) }
	if !o.Unsafe || len(key) == 0 {
		return x.forward(req, resp, x.beginAttempt(req, t, o), send)
	}
	c := claimer.Command{Key: t.Service + "\x00" + string(key), Attempt: o.AttemptID, Fingerprint: checker.Fingerprint(req)}
	report, detail, granted := x.acquireClaim(req, resp, c, o)
	if !granted {
		return report, detail
	}
	report, detail = x.forward(req, resp, x.beginAttempt(req, t, o), send)
	switch report.Outcome {
	case forwarder.OutcomeRan:
		x.settleClaim(c, resp)
	case forwarder.OutcomeNotRun:
		x.releaseClaim(c)
	case forwarder.OutcomeUnknown:
		// The claim stays held: the request may have run, so it must not run again.
	}
	return report, detail
}

// acquireClaim claims the idempotency key in c. The last result reports whether
// the claim was granted and the request may be forwarded. If it was not, the
// first two results are the report and the detail for the response, and resp
// holds the stored response when an earlier attempt has settled the claim.
func (x *Executor) acquireClaim(req *fasthttp.Request, resp *fasthttp.Response, c claimer.Command, o Order) (translator.Report, string, bool) {
	span := x.Tracer.StartChild(&req.Header, "claim")
	defer span.End()
	deadline := time.Now().Add(claimTimeout)
	if o.Deadline.Before(deadline) {
		deadline = o.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	lifetime := x.ClaimLifetime
	if lifetime == 0 {
		lifetime = claimer.DefaultLifetime
	}
	c.Action, c.Lifetime = claimer.ActionClaim, lifetime
	result, err := x.claimWithRetry(ctx, c)
	if err != nil {
		// The claim may have been granted even so. It is released, so that it does
		// not block a retry of the request.
		x.releaseClaim(c)
		return translator.NotRun(translator.ReasonClaimFailed), err.Error(), false
	}
	switch result.Verdict {
	case claimer.VerdictGranted:
		return translator.Report{}, "", true
	case claimer.VerdictSettled:
		report, detail := x.replayResponse(resp, result.Response)
		return report, detail, false
	case claimer.VerdictHeld:
		return translator.Report{Outcome: forwarder.OutcomeUnknown, Reason: translator.ReasonClaimHeld}, "an earlier attempt with this idempotency key may have run", false
	case claimer.VerdictMismatch:
		return translator.NotRun(translator.ReasonKeyMismatch), "the idempotency key was used for another request", false
	}
	return translator.NotRun(translator.ReasonClaimFailed), "no further idempotency keys can be stored", false
}

// claimWithRetry claims a key. While another attempt holds the claim, that
// attempt may still be running, so the claim is retried until it is settled or
// released, or until ctx ends; then the result is VerdictHeld. Each retry adds an
// entry to the replicated log, so the backoff is exponential.
func (x *Executor) claimWithRetry(ctx context.Context, c claimer.Command) (claimer.Result, error) {
	for pause := heldInitialBackoff; ; pause *= 2 {
		result, err := x.Claims.Do(ctx, c)
		if err != nil || result.Verdict != claimer.VerdictHeld {
			return result, err
		}
		sleeper.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return result, nil
		}
	}
}

// replayResponse replaces resp by the stored response of an earlier attempt and reports
// OutcomeRan. A response that is not stored completely, that has no valid final status, or
// that lacks what proves that it is a target's, is not replayed: the report is then that of a held claim.
func (x *Executor) replayResponse(resp *fasthttp.Response, stored *claimer.Response) (translator.Report, string) {
	held := translator.Unknown(translator.ReasonClaimHeld)
	if stored.Truncated {
		return held, "an earlier attempt with this idempotency key ran, but its response could not be stored"
	}
	if stored.Status < fasthttp.StatusOK || stored.Status > maxStatus {
		return held, "an earlier attempt with this idempotency key ran, but its stored response has no valid status"
	}
	resp.Reset()
	resp.SetStatusCode(stored.Status)
	if stored.ContentType != "" {
		resp.Header.SetContentType(stored.ContentType)
	}
	resp.SetBody(stored.Body)
	if !x.Translator.ReadResponse(&resp.Header).Verified {
		return held, "an earlier attempt with this idempotency key ran, but its stored response cannot be verified"
	}
	return translator.Report{Outcome: forwarder.OutcomeRan, Replayed: true}, ""
}

// settleClaim stores the response with its claim, for retries of the request by
// the caller. It returns at once: storing runs in the background and does not
// delay the response.
func (x *Executor) settleClaim(c claimer.Command, resp *fasthttp.Response) {
	c.Action, c.Response = claimer.ActionSettle, claimer.NewResponse(resp.StatusCode(), resp.Header.ContentType(), resp.Body())
	x.background.Go(func() { x.runUntilConfirmed(c) })
}

// releaseClaim releases the claim of a request that did not run. It returns at
// once and works in the background.
func (x *Executor) releaseClaim(c claimer.Command) {
	c.Action = claimer.ActionRelease
	x.background.Go(func() { x.runUntilConfirmed(c) })
}

// runUntilConfirmed retries an idempotent command until a control host confirms
// it or settleTimeout has passed.
func (x *Executor) runUntilConfirmed(c claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := x.Claims.Do(ctx, c); err == nil {
			return
		}
		sleeper.Sleep(ctx, settleRetryInterval)
	}
}
