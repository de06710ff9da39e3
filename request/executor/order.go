package executor

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Order is what an entry node asks of an owner node, beside the request.
type Order struct {
	RequestID string
	Target    string
	Route     string // Route is the path of the route, for the evidence on target versions.
	Unsafe    bool   // Unsafe means that the request is not idempotent.
	Stream    bool
	Rank      int // Rank is the importance; higher goes first.
	Deadline  time.Time
}

const orderFields = 7

// Encode writes an order as one header value.
func (o Order) Encode() string {
	return strings.Join([]string{
		o.RequestID, o.Target, o.Route, strconv.FormatBool(o.Unsafe), strconv.FormatBool(o.Stream),
		strconv.Itoa(o.Rank), strconv.FormatInt(o.Deadline.UnixMilli(), 10),
	}, ";")
}

// DecodeOrder reads an order.
func DecodeOrder(value string) (Order, error) {
	f := strings.Split(value, ";")
	if len(f) != orderFields {
		return Order{}, &Error{"decodeOrder", KindInvalid, errors.Errorf("%d fields, want %d", len(f), orderFields)}
	}
	o := Order{RequestID: f[0], Target: f[1], Route: f[2], Unsafe: f[3] == "true", Stream: f[4] == "true"}
	rank, err := strconv.Atoi(f[5])
	if err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	ms, err := strconv.ParseInt(f[6], 10, 64)
	if err != nil {
		return Order{}, &Error{"decodeOrder", KindInvalid, err}
	}
	o.Rank, o.Deadline = rank, time.UnixMilli(ms)
	return o, nil
}
