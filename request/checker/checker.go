// Package checker defines the headers of the product and rejects requests that two
// programs could parse differently.
//
// A request with both Content-Length and Transfer-Encoding, with two lengths, or with
// headers that only nodes may set is rejected at the entry node before it is routed.
// Each node removes hop-by-hop headers.
//
// # Usage
//
//	if err := checker.Check(&ctx.Request); err != nil { /* 400, not run */ }
//	checker.StripRequest(&ctx.Request.Header)
package checker

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/claimer"
)

// The headers that callers, nodes and targets exchange.
const (
	// HeaderIdempotencyKey carries the caller's key for a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline carries the moment after which the caller no longer waits for the
	// response, in Unix milliseconds.
	HeaderDeadline = "Hornbeam-Deadline"
	// HeaderKey carries a key; related requests with the same key get the same target
	// version during a move.
	HeaderKey = "Hornbeam-Key"
	// HeaderOutcome carries whether the request ran: ran, notRun or unknown.
	HeaderOutcome = "Hornbeam-Outcome"
	// HeaderReason carries the reason for which a request was rejected.
	HeaderReason = "Hornbeam-Reason"
	// HeaderServed carries the target version and the target that responded.
	HeaderServed = "Hornbeam-Served"
	// HeaderLoad carries the load report of the owner node.
	HeaderLoad = "Hornbeam-Load"
	// HeaderTargetState carries what the sending node knows of targets beside the owner
	// node from their own statements.
	HeaderTargetState = "Hornbeam-Target-State"
	// HeaderDetail carries a text on why the owner node has no response of a target.
	HeaderDetail = "Hornbeam-Detail"
	// HeaderOrder carries the order that the entry node sends to the owner node.
	HeaderOrder = "Hornbeam-Order"
	// HeaderAttempt carries the id of the attempt that the owner node responds to.
	HeaderAttempt = "Hornbeam-Attempt"
	// HeaderRateLimit carries the requests a second that a target takes from all nodes
	// together, a decimal number. It holds until a response of the target lacks it.
	HeaderRateLimit = "Hornbeam-Rate-Limit"
	// HeaderLeaving is 1 in each response of a target that is about to stop.
	HeaderLeaving = "Hornbeam-Leaving"
	// HeaderRequestID carries the request id to the target, which may echo it.
	HeaderRequestID = "X-Request-Id"
)

// Kind is the cause of a rejection: KindAmbiguous, KindForged or KindInvalid.
type Kind string

// The kinds of rejections.
const (
	// KindAmbiguous means that two programs could parse the request differently.
	KindAmbiguous Kind = "ambiguous"
	// KindForged means that the caller set a header that only nodes may set.
	KindForged Kind = "forged"
	// KindInvalid means that a header has an invalid value.
	KindInvalid Kind = "invalid"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("checker: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Check returns an Error for a caller's request that is ambiguous, forged or invalid,
// nil for any other.
func Check(req *fasthttp.Request) error {
	lengths, encodings, hosts := 0, 0, 0
	rest := req.Header.RawHeaders()
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, newline)
		name, _, ok := bytes.Cut(line, colon)
		if !ok {
			continue
		}
		switch {
		case len(bytes.TrimSpace(name)) != len(name):
			return &Error{"check", KindAmbiguous, errors.Errorf("white space in header name %q", name)}
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			encodings++
		case bytes.EqualFold(name, host):
			hosts++
		case len(name) > len(ownPrefix) && bytes.EqualFold(name[:len(ownPrefix)], ownPrefix) && !callerMaySet(name):
			return &Error{"check", KindForged, errors.Errorf("callers may not set the header %s", name)}
		}
	}
	if lengths > 1 || encodings > 1 || hosts > 1 || (lengths > 0 && encodings > 0) {
		return &Error{"check", KindAmbiguous, errors.New("the request has more than one body length or Host header")}
	}
	if key := req.Header.Peek(HeaderIdempotencyKey); len(key) > claimer.MaxKeyBytes {
		return &Error{"check", KindInvalid, errors.Errorf("header %s is longer than %d bytes", HeaderIdempotencyKey, claimer.MaxKeyBytes)}
	}
	return nil
}

// The separators and the lower-case header names and prefix that Check compares with.
var (
	newline          = []byte("\n")
	colon            = []byte(":")
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	host             = []byte("host")
	ownPrefix        = []byte("hornbeam-")
)

// callerMaySet reports whether a caller may set a header of the product.
func callerMaySet(name []byte) bool {
	return bytes.EqualFold(name, []byte(HeaderDeadline)) || bytes.EqualFold(name, []byte(HeaderKey))
}

// Deadline returns the caller's deadline, zero when the header is missing. It returns
// an Error of KindInvalid when the header is not a time.
func Deadline(h *fasthttp.RequestHeader) (time.Time, error) {
	raw := h.Peek(HeaderDeadline)
	if len(raw) == 0 {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return time.Time{}, &Error{"deadline", KindInvalid, errors.Errorf("header %s is not a time in Unix milliseconds", HeaderDeadline)}
	}
	return time.UnixMilli(ms), nil
}

// hopByHop are the headers that hold for one connection only and are not forwarded, in
// addition to Connection and the headers that it names.
var hopByHop = []string{"Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Upgrade"}

// StripRequest removes the hop-by-hop headers, which must not be forwarded.
func StripRequest(h *fasthttp.RequestHeader) {
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	h.Del(fasthttp.HeaderConnection)
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripResponse removes the headers of a target's response that must not reach the
// caller: hop-by-hop headers, and headers that only nodes may set.
func StripResponse(h *fasthttp.ResponseHeader) {
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	h.Del(fasthttp.HeaderConnection)
	for _, name := range hopByHop {
		h.Del(name)
	}
	for _, name := range []string{HeaderOutcome, HeaderReason, HeaderServed, HeaderOrder, HeaderLoad, HeaderTargetState, HeaderAttempt, HeaderDetail} {
		h.Del(name)
	}
}

// connectionOptions returns the headers that a Connection header declares as
// hop-by-hop.
func connectionOptions(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	var names []string
	for part := range strings.SplitSeq(string(value), ",") {
		name := strings.TrimSpace(part)
		if name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			names = append(names, name)
		}
	}
	return names
}

// Fingerprint returns a hash of a request's method, path and body.
func Fingerprint(req *fasthttp.Request) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{req.Header.Method(), req.URI().RequestURI(), req.Body()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Path returns the path of a request as the caller sent it, without the query.
func Path(req *fasthttp.Request) string {
	uri := req.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return string(req.URI().Path()) // The caller sent an absolute URL.
	}
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path)
}
