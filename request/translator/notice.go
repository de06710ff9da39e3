package translator

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxRateLimit is the highest rate limit that is told from a higher one, in requests
	// a second.
	maxRateLimit = 1e6
	// maxRateLimitBytes bounds the text of a rate limit.
	maxRateLimitBytes = 32
	// leavingValue is the value of a header by which a target states that it leaves.
	leavingValue = "1"
)

// RateLimit is the number of requests a second that a target takes from all nodes
// together. The zero value means that the target names no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64 // PerSecond may be 0, which means that the target takes no requests.
}

// Below reports whether the limit l allows fewer requests than o.
func (l RateLimit) Below(o RateLimit) bool {
	return l.Named && (!o.Named || l.PerSecond < o.PerSecond)
}

// Notice is what a target states about itself in a response, for all requests to it.
type Notice struct {
	RateLimit RateLimit
	Leaving   bool // Leaving means that the target is about to stop and takes no new requests.
	// Err says why the response's rate limit could not be read; nil if it could, or if
	// there is none. Nothing is known about the limit then.
	Err error
}

// TargetState is what a node knows of one incarnation of a target from the target's own
// statements. Owner nodes send it to entry nodes, and entry nodes return it with their
// orders: an owner node that has restarted knows nothing of its targets.
type TargetState struct {
	Target    string
	StartedAt int64 // StartedAt is the start of the incarnation in Unix milliseconds, 0 if it is not known.
	RateLimit RateLimit
	Leaving   bool
}

// IsPlain reports whether the target has stated nothing that nodes must observe.
func (s TargetState) IsPlain() bool { return !s.RateLimit.Named && !s.Leaving }

// ParseNotice returns the notice in the values of the two headers that state a rate limit
// and that a target leaves. A header may be repeated with the same value. A rate limit that
// is not a decimal number without sign and exponent, or is given as two different numbers,
// sets Notice.Err.
func ParseNotice(limits, leaving [][]byte) Notice {
	n := Notice{}
	for _, value := range leaving {
		n.Leaving = n.Leaving || string(value) == leavingValue
	}
	for i, value := range limits {
		limit, err := parseRateLimit(value)
		if err == nil && i > 0 && limit != n.RateLimit {
			err = errors.Errorf("the rate limit is given as %g and as %g requests a second", n.RateLimit.PerSecond, limit.PerSecond)
		}
		if err != nil {
			return Notice{Leaving: n.Leaving, Err: err}
		}
		n.RateLimit = limit
	}
	return n
}

// parseRateLimit returns the rate limit in a text. A limit above maxRateLimit is returned
// as maxRateLimit.
func parseRateLimit(text []byte) (RateLimit, error) {
	if len(text) > maxRateLimitBytes {
		return RateLimit{}, errors.Errorf("the rate limit %q... has %d bytes, more than %d", text[:maxRateLimitBytes], len(text), maxRateLimitBytes)
	}
	if len(bytes.Trim(text, ".0123456789")) > 0 {
		return RateLimit{}, errors.Errorf("the rate limit %q is not a decimal number", text)
	}
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return RateLimit{}, errors.Errorf("the rate limit %q is not a decimal number", text)
	}
	return RateLimit{Named: true, PerSecond: min(n, maxRateLimit)}, nil
}
