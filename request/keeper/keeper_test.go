package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// limited returns the state of a target with a rate limit.
func limited(startedAt int64, perSecond float64) translator.TargetState {
	return translator.TargetState{Target: "t1", StartedAt: startedAt, RateLimit: translator.RateLimit{Named: true, PerSecond: perSecond}}
}

// leaving returns the state of a target that leaves.
func leaving(startedAt int64) translator.TargetState {
	return translator.TargetState{Target: "t1", StartedAt: startedAt, Leaving: true}
}

// plain returns the state of a target that has stated nothing.
func plain(startedAt int64) translator.TargetState {
	return translator.TargetState{Target: "t1", StartedAt: startedAt}
}

// endpoint returns the endpoint of an incarnation of the target t1.
func endpoint(startedAt int64) applier.Endpoint {
	return applier.Endpoint{EndpointKey: applier.EndpointKey{Node: "host-a", Target: "t1"}, StartedAt: startedAt}
}

// TestStateOutlivesItsIncarnation guards against a statement of one incarnation of a
// target that holds for another, and against one that is forgotten with a later report.
func TestStateOutlivesItsIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, row := range []struct {
		name    string
		records []translator.TargetState
		want    []translator.TargetState
		leaving map[int64]bool // leaving is keyed by the start of the endpoint's incarnation.
	}{
		{"leaving", []translator.TargetState{leaving(100)}, []translator.TargetState{leaving(100)}, map[int64]bool{50: true, 100: true, 200: false}},
		{"plain report after it", []translator.TargetState{leaving(100), plain(100)}, []translator.TargetState{leaving(100)}, map[int64]bool{100: true}},
		{"next incarnation", []translator.TargetState{leaving(100), plain(200)}, nil, map[int64]bool{100: false, 200: false}},
		{"delayed report of the earlier incarnation", []translator.TargetState{limited(200, 5), leaving(100)}, []translator.TargetState{limited(200, 5)}, map[int64]bool{200: false}},
		{"no start time", []translator.TargetState{leaving(0)}, nil, map[int64]bool{0: false}},
		{"limit changed", []translator.TargetState{limited(100, 5), limited(100, 7)}, []translator.TargetState{limited(100, 7)}, nil},
		{"limit ended", []translator.TargetState{limited(100, 5), plain(100)}, nil, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			k := &Keeper{}
			for _, s := range row.records {
				k.Record("host-a", s, now)
			}
			is.Equal(k.StatesOf("host-a"), row.want)
			is.Equal(k.StatesOf("host-b"), nil)
			for startedAt, want := range row.leaving {
				is.Equal(k.IsLeaving(endpoint(startedAt)), want)
			}
		})
	}
}

// TestStatesAreBounded guards against a memory that grows with each target that ever named
// a limit.
func TestStatesAreBounded(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	now := time.Unix(1000, 0)
	for i := range 3 * maxNodeStates {
		s := limited(100, 5)
		s.Target = fmt.Sprintf("t%d", i)
		is.True(k.Record("host-a", s, now.Add(time.Duration(i)*time.Second)))
	}
	is.Equal(len(k.StatesOf("host-a")), maxNodeStates)
	is.True(k.Record("host-a", limited(100, 5), now.Add(2*retention)))
	is.Equal(k.StatesOf("host-a"), []translator.TargetState{limited(100, 5)})
	for i := range maxNodes + 10 {
		k.Record(fmt.Sprintf("n%d", i), limited(100, 5), now.Add(2*retention))
	}
	is.True(len(k.states) <= maxNodes)
	is.Equal(int(k.kept.Load()), len(k.states))
}
