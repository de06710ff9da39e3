package executor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// TestStatesRoundTrip checks that decoding returns what was encoded, up to maxStates.
func TestStatesRoundTrip(t *testing.T) {
	is := is.New(t)
	states := []translator.TargetState{
		{Target: "i-1", StartedAt: 1_700_000_000_000, RateLimit: translator.RateLimit{Named: true, PerSecond: 0.05}},
		{Target: "i-2", StartedAt: 2, Leaving: true},
		{Target: "i-3", RateLimit: translator.RateLimit{Named: true}, Leaving: true},
	}
	is.Equal(decodeStates(EncodeStates(states)), states)
	is.Equal(decodeStates(EncodeStates(nil)), nil)
	many := make([]translator.TargetState, 3*maxStates)
	for i := range many {
		many[i] = states[1]
	}
	is.Equal(len(decodeStates(EncodeStates(many))), maxStates)
}

// TestOddStateIsAdopted guards against a malformed state that is adopted, or that hides
// the others.
func TestOddStateIsAdopted(t *testing.T) {
	for _, odd := range []string{"i-1", "i-1;1;2", "i-1;x;2;", "i-1;-1;2;", "i-1;1;-2;", "i-1;1;nan;", "i-1;1;inf;", "i 1;1;2;", ";1;2;", "i-1;1;2;;", ";;;"} {
		is := is.New(t)
		is.Equal(decodeStates(odd), nil)
		is.Equal(decodeStates(odd+",i-2;1;;leaving"), []translator.TargetState{{Target: "i-2", StartedAt: 1, Leaving: true}})
	}
}
