package forwarder

import "github.com/valyala/fasthttp"

// Match states to which request a response is, as far as its header shows.
type Match string

// The results of comparing a response with the request that waits for it.
const (
	MatchOwn     Match = "own"     // MatchOwn means that the response is to this request.
	MatchForeign Match = "foreign" // MatchForeign means that the response names another request; it is discarded.
	MatchNone    Match = "none"    // MatchNone means that the response names no request although it must.
)

// Identity identifies the response to one request. Its zero value accepts any response.
type Identity struct {
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
