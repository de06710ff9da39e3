package receiver

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// encodedClaims is a claim register that takes commands in their encoded form, as the
// control hosts do.
type encodedClaims struct{ register claimer.Registry }

// Do implements claimer.Provider.
func (c *encodedClaims) Do(_ context.Context, cmd claimer.Command) (claimer.Result, error) {
	b, err := encoder.Marshal(cmd)
	if err != nil {
		return claimer.Result{}, err
	}
	stamped, err := claimer.Stamp(b, time.Now())
	if err != nil {
		return claimer.Result{}, err
	}
	result, ok := c.register.Apply(1, stamped).(claimer.Result)
	if !ok {
		return claimer.Result{}, errors.New("the command was not applied")
	}
	return result, nil
}

// TestKeyThatCannotBeClaimed guards against a caller that is told to try again, after a
// wait, with an idempotency key that no control host can decode.
func TestKeyThatCannotBeClaimed(t *testing.T) {
	is := is.New(t)
	c := &encodedClaims{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	f := &fakeTarget{}
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	got := call(t, a.entry, "POST", "/deposits", "k\xff")
	t.Log(got)
	is.Equal(got.status, fasthttp.StatusBadRequest)
	is.Equal(got.outcome, "notRun")
	is.Equal(got.reason, "badRequest")
	is.Equal(f.ran("k\xff"), 0)
	is.Equal(call(t, a.entry, "GET", "/designs/1", "k\xff").outcome, "ran") // no claim is needed
	is.Equal(call(t, a.entry, "POST", "/deposits", "k\u00e9").outcome, "ran")
}

// TestOddContentTypeLeavesClaimHeld guards against a claim that stays unsettled, its settling
// sent again for half a minute, because the Content-Type of the response is not UTF-8.
func TestOddContentTypeLeavesClaimHeld(t *testing.T) {
	is := is.New(t)
	c := &encodedClaims{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	f := &fakeTarget{respond: func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; name=\xff")
		ctx.SetBodyString("done")
	}}
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	is.Equal(call(t, a.entry, "POST", "/deposits", "k").outcome, "ran")
	start := time.Now()
	b.executor.Wait()
	is.True(time.Since(start) < 5*time.Second) // the first attempt to settle succeeds
	again := call(t, a.entry, "POST", "/deposits", "k")
	t.Log(again)
	is.Equal(again.outcome, "unknown")
	is.Equal(again.reason, string(translator.ReasonClaimHeld))
	is.True(strings.Contains(again.body, "could not be stored"))
	is.Equal(f.ran("k"), 1)
}
