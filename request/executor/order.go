package executor

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Order is the instruction of an entry node to an owner node to run one attempt of a
// request at a target. To another node it is sent as a header of the request.
type Order struct {
	RequestID      string // RequestID is the same in all attempts of a request.
	AttemptID      string // AttemptID identifies this attempt; it is never used twice.
	Target         string // Target is the name at the entry node; the owner node may have a later incarnation.
	Service        string
	Version        string        // Version is the target version.
	Route          string        // Route is the path of the route, for the evidence on target versions.
	Unsafe         bool          // Unsafe means that the request is not idempotent.
	Stream         bool          // Stream means that the response is passed on while it arrives.
	Rank           int           // Rank is the priority rank; higher is served first.
	Origin         string        // Origin is the service on the host where the request began.
	Deadline       time.Time     // Deadline is the hard deadline of the response.
	QueueDeadline  time.Time     // QueueDeadline is the moment until which the request may wait for a slot.
	SoftDeadline   time.Time     // SoftDeadline is the moment after which a response has lost most of its value.
	ProcessingTime time.Duration // ProcessingTime is the entry node's estimate, used while the owner node has none.
	// NoWait means that the owner node rejects the request at once unless a slot
	// is free and the response can meet the soft deadline.
	NoWait bool

	// Entry is the host of the entry node, for the log. The owner node takes it from the
	// connection; it is empty for an order of its own.
	Entry string
}

const (
	// orderFieldCount is the number of fields of an order header.
	orderFieldCount = 15
	// maxHeaderDuration is the longest duration that a header between nodes can hold.
	maxHeaderDuration = time.Duration(math.MaxInt64)
)

// Encode returns the order as one header value. A moment is sent as the time left
// until it in microseconds, since clocks differ between hosts.
func (o Order) Encode(now time.Time) string {
	return strings.Join([]string{
		url.QueryEscape(o.RequestID), url.QueryEscape(o.Target), url.QueryEscape(o.Route),
		strconv.FormatBool(o.Unsafe), strconv.FormatBool(o.Stream), strconv.Itoa(o.Rank), url.QueryEscape(o.Origin),
		strconv.FormatInt(o.Deadline.Sub(now).Microseconds(), 10), strconv.FormatInt(o.QueueDeadline.Sub(now).Microseconds(), 10), o.AttemptID,
		strconv.FormatInt(o.SoftDeadline.Sub(now).Microseconds(), 10), strconv.FormatBool(o.NoWait),
		strconv.FormatInt(o.ProcessingTime.Microseconds(), 10), url.QueryEscape(o.Service), url.QueryEscape(o.Version),
	}, ";")
}

// DecodeOrder returns the order, the entry node's instruction to the owner node, in a
// header value that arrived at the time now. Times left become moments counted from now.
// It returns an Error of KindInvalid if the value is malformed.
func DecodeOrder(value string, now time.Time) (Order, error) {
	f := strings.Split(value, ";")
	if len(f) != orderFieldCount {
		return Order{}, &Error{"decodeOrder", KindInvalid, errors.Errorf("the order header has %d fields, want %d", len(f), orderFieldCount)}
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
	o.Unsafe, o.Stream, o.AttemptID, o.NoWait = f[3] == "true", f[4] == "true", f[9], f[11] == "true"
	rank, err := strconv.Atoi(f[5])
	if err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	o.Rank = rank
	if o.ProcessingTime, err = parseMicroseconds(f[12]); err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	for _, t := range []struct {
		field string
		value *time.Time
	}{{f[7], &o.Deadline}, {f[8], &o.QueueDeadline}, {f[10], &o.SoftDeadline}} {
		left, err := parseMicroseconds(t.field)
		if err != nil {
			return Order{}, &Error{"decodeOrder", KindInvalid, err}
		}
		*t.value = now.Add(left)
	}
	return o, nil
}

// parseMicroseconds returns the duration for a number of microseconds in text. It
// returns an error if text is not an integer, or its duration overflows.
func parseMicroseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if limit := maxHeaderDuration.Microseconds(); n > limit || n < -limit {
		return 0, errors.Errorf("%d microseconds are more than %s", n, maxHeaderDuration)
	}
	return time.Duration(n) * time.Microsecond, nil
}
