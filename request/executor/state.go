package executor

import (
	"math"
	"strconv"
	"strings"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

const (
	// stateFieldCount is the number of fields of one target state in a header.
	stateFieldCount = 4
	// maxStates bounds the target states in one header.
	maxStates = 16
	// stateLeaving is the value of the field that states that a target leaves.
	stateLeaving = "leaving"
)

// EncodeStates returns target states as one header value, at most maxStates of them.
func EncodeStates(states []translator.TargetState) string {
	parts := make([]string, 0, min(len(states), maxStates))
	for _, s := range states[:min(len(states), maxStates)] {
		limit, leaving := "", ""
		if s.RateLimit.Named {
			limit = strconv.FormatFloat(s.RateLimit.PerSecond, 'g', -1, 64)
		}
		if s.Leaving {
			leaving = stateLeaving
		}
		parts = append(parts, strings.Join([]string{s.Target, strconv.FormatInt(s.StartedAt, 10), limit, leaving}, ";"))
	}
	return strings.Join(parts, ",")
}

// decodeStates returns the target states in a header value, without those that are
// malformed.
func decodeStates(value string) []translator.TargetState {
	if value == "" {
		return nil
	}
	var out []translator.TargetState
	for part := range strings.SplitSeq(value, ",") {
		if s, ok := decodeState(part); ok && len(out) < maxStates {
			out = append(out, s)
		}
	}
	return out
}

// decodeState returns one target state, and false if it is malformed.
func decodeState(text string) (translator.TargetState, bool) {
	f := strings.Split(text, ";")
	if len(f) != stateFieldCount || !parser.ValidName(f[0]) {
		return translator.TargetState{}, false
	}
	startedAt, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil || startedAt < 0 {
		return translator.TargetState{}, false
	}
	s := translator.TargetState{Target: f[0], StartedAt: startedAt, Leaving: f[3] == stateLeaving}
	if f[2] == "" {
		return s, true
	}
	perSecond, err := strconv.ParseFloat(f[2], 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return translator.TargetState{}, false
	}
	s.RateLimit = translator.RateLimit{Named: true, PerSecond: perSecond}
	return s, true
}
