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
	// settleTimeout bounds the storing of an answer or the release of a claim.
	settleTimeout = 30 * time.Second
	// claimTimeout bounds a claim; after it the request is refused.
	claimTimeout = 2 * time.Second
	settlePause  = 200 * time.Millisecond
	// heldPause is the time before the second look at a claim that another attempt holds.
	heldPause = 25 * time.Millisecond
)

// claimed hands the request over under a claim if it needs one.
func (x *Executor) claimed(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order) (translator.Report, string) {
	key := req.Header.Peek(checker.HeaderIdempotencyKey)
	send := func() error { return t.Forwarder.Do(ctx, req, resp, o.Deadline) }
	if !o.Unsafe || len(key) == 0 {
		return x.handOver(req, resp, t, o, send)
	}
	c := claimer.Command{Key: t.Service + "\x00" + string(key), Attempt: o.Attempt, Fingerprint: checker.Fingerprint(req)}
	report, detail, granted := x.claim(req, resp, c, o)
	if !granted {
		return report, detail
	}
	report, detail = x.handOver(req, resp, t, o, send)
	switch report.Outcome {
	case forwarder.OutcomeRan:
		x.settle(c, resp)
	case forwarder.OutcomeNotRun:
		x.release(c)
	case forwarder.OutcomeUnknown:
		// The claim stays: the request may have run, so it never runs again.
	}
	return report, detail
}

// claim asks for the right to run the request.
func (x *Executor) claim(req *fasthttp.Request, resp *fasthttp.Response, c claimer.Command, o Order) (translator.Report, string, bool) {
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
	result, err := x.askUntilKnown(ctx, c)
	if err != nil {
		// The claim may have been granted; it must not block a later try.
		x.release(c)
		return translator.NotRun(translator.ReasonClaimFailed), err.Error(), false
	}
	switch result.Verdict {
	case claimer.VerdictGranted:
		return translator.Report{}, "", true
	case claimer.VerdictSettled:
		replay(resp, result.Response)
		return translator.Report{Outcome: forwarder.OutcomeRan, Replayed: true}, "", false
	case claimer.VerdictHeld:
		return translator.Report{Outcome: forwarder.OutcomeUnknown, Reason: translator.ReasonClaimHeld}, "an earlier attempt with this key may have run", false
	case claimer.VerdictMismatch:
		return translator.NotRun(translator.ReasonKeyMismatch), "the key was used for another request", false
	}
	return translator.NotRun(translator.ReasonClaimFailed), "no further keys can be remembered", false
}

// askUntilKnown claims a key. While another attempt holds it, that attempt may
// still be running, so its outcome is waited for until ctx ends. Each look is an
// entry in the log, so the pauses between them grow.
func (x *Executor) askUntilKnown(ctx context.Context, c claimer.Command) (claimer.Result, error) {
	for pause := heldPause; ; pause *= 2 {
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

func replay(resp *fasthttp.Response, a *claimer.Response) {
	resp.Reset()
	resp.SetStatusCode(a.Status)
	if a.ContentType != "" {
		resp.Header.SetContentType(a.ContentType)
	}
	resp.SetBody(a.Body)
}

// settle stores the answer for resends, beside the answer's way to the caller.
func (x *Executor) settle(c claimer.Command, resp *fasthttp.Response) {
	a := &claimer.Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	if body := resp.Body(); len(body) <= claimer.MaxStoredBodyBytes {
		a.Body = append([]byte(nil), body...)
	} else {
		a.Truncated = true
	}
	c.Action, c.Response = claimer.ActionSettle, a
	x.background.Go(func() { x.persist(c) })
}

func (x *Executor) release(c claimer.Command) {
	c.Action = claimer.ActionRelease
	x.background.Go(func() { x.persist(c) })
}

// persist repeats a command that is idempotent until it is done.
func (x *Executor) persist(c claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := x.Claims.Do(ctx, c); err == nil {
			return
		}
		sleeper.Sleep(ctx, settlePause)
	}
}
