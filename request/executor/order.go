package executor

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Order is what an entry node asks of an owner node, beside the request.
type Order struct {
	RequestID      string // RequestID is the request's, the same for each endpoint that it is offered to.
	Attempt        string // Attempt is this offer's own; it is never used twice.
	Target         string // Target is the one that the entry node knows; the owner may know a later life of it.
	Service        string
	Version        string // Version is the target's.
	Route          string // Route is the path of the route, for the evidence on target versions.
	Unsafe         bool   // Unsafe means that the request is not idempotent.
	Stream         bool
	Rank           int    // Rank is the importance; higher goes first.
	Origin         string // Origin is the service on the host where the request began.
	Deadline       time.Time
	QueueDeadline  time.Time     // WaitTill is until when the request may wait for a slot.
	SoftDeadline   time.Time     // Aim is when an answer loses most of its worth.
	ProcessingTime time.Duration // Work is how long the entry expects the target to take, for an owner that does not know.
	// NoWait means that the owner is to refuse at once unless a slot is free and
	// the answer can meet the aim.
	NoWait bool
}

const orderFields = 15

// Encode writes an order as one header value. Times go as what is left of
// them, since clocks differ between hosts.
func (o Order) Encode(now time.Time) string {
	return strings.Join([]string{
		url.QueryEscape(o.RequestID), url.QueryEscape(o.Target), url.QueryEscape(o.Route),
		strconv.FormatBool(o.Unsafe), strconv.FormatBool(o.Stream), strconv.Itoa(o.Rank), url.QueryEscape(o.Origin),
		strconv.FormatInt(o.Deadline.Sub(now).Microseconds(), 10), strconv.FormatInt(o.QueueDeadline.Sub(now).Microseconds(), 10), o.Attempt,
		strconv.FormatInt(o.SoftDeadline.Sub(now).Microseconds(), 10), strconv.FormatBool(o.NoWait),
		strconv.FormatInt(o.ProcessingTime.Microseconds(), 10), url.QueryEscape(o.Service), url.QueryEscape(o.Version),
	}, ";")
}

// DecodeOrder reads an order that arrived at the time now.
func DecodeOrder(value string, now time.Time) (Order, error) {
	f := strings.Split(value, ";")
	if len(f) != orderFields {
		return Order{}, &Error{"decodeOrder", KindInvalid, errors.Errorf("%d fields, want %d", len(f), orderFields)}
	}
	var o Order
	for _, t := range []struct {
		field string
		value *string
	}{{f[0], &o.RequestID}, {f[1], &o.Target}, {f[2], &o.Route}, {f[6], &o.Origin}, {f[13], &o.Service}, {f[14], &o.Version}} {
		text, err := url.QueryUnescape(t.field)
		if err != nil {
			return Order{}, &Error{"decodeOrder", KindInvalid, err}
		}
		*t.value = text
	}
	o.Unsafe, o.Stream, o.Attempt, o.NoWait = f[3] == "true", f[4] == "true", f[9], f[11] == "true"
	rank, err := strconv.Atoi(f[5])
	if err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	o.Rank = rank
	work, err := strconv.ParseInt(f[12], 10, 64)
	if err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	o.ProcessingTime = time.Duration(work) * time.Microsecond
	for _, t := range []struct {
		field string
		value *time.Time
	}{{f[7], &o.Deadline}, {f[8], &o.QueueDeadline}, {f[10], &o.SoftDeadline}} {
		left, err := strconv.ParseInt(t.field, 10, 64)
		if err != nil {
			return Order{}, &Error{"decodeOrder", KindInvalid, err}
		}
		*t.value = now.Add(time.Duration(left) * time.Microsecond)
	}
	return o, nil
}
