package forwarder

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// maxRejections bounds the rejected requests that are stored for one connection; with
// so many it is not reused.
const maxRejections = 256

// Match states to which request a response is, as far as its header shows.
type Match string

// The results of comparing a response with the request that waits for it.
const (
	MatchOwn      Match = "own"      // MatchOwn means that the response is to this request.
	MatchRejected Match = "rejected" // MatchRejected means the same, and that the peer states that it did not run the request.
	MatchForeign  Match = "foreign"  // MatchForeign means that the response names another request; it is discarded.
	MatchNone     Match = "none"     // MatchNone means that the response names no request although it must.
)

// Identity identifies the response to one request. Its zero value accepts any response.
type Identity struct {
	// ID is the id that the response echoes. A request that was rejected on a connection
	// is not sent on it again, since the first rejection could be taken for the second
	// response.
	ID string
	// Match compares the header of a response with the request; any response matches
	// when it is nil. It is called by another goroutine than Do.
	Match func(h *fasthttp.ResponseHeader) Match
}

// match compares the header of a response with the request.
func (i Identity) match(h *fasthttp.ResponseHeader) Match {
	if i.Match == nil {
		return MatchOwn
	}
	return i.Match(h)
}

// rejections is the set of requests that were rejected on one connection, as hashes of
// their ids. A collision only makes a request use another connection.
type rejections map[uint64]struct{}

// add adds the request and returns the set.
func (r rejections) add(i Identity) rejections {
	if r == nil {
		r = rejections{}
	}
	r[xxhash.Sum64String(i.ID)] = struct{}{}
	return r
}

// has reports whether the set has the request.
func (r rejections) has(i Identity) bool {
	if len(r) == 0 {
		return false
	}
	_, ok := r[xxhash.Sum64String(i.ID)]
	return ok
}
