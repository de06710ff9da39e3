package compiler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

var seedCount = flag.Uint64("seeds", 30, "number of random runs")

var at = time.Unix(1_800_000_000, 0).UTC()

// world is a control state that random commands change.
type world struct {
	t      *testing.T
	r      *rand.Rand
	state  applier.State
	states []applier.State // states holds every state there was.
}

func (w *world) run(c applier.Command) applier.Result {
	b, err := applier.Encode(c)
	if err != nil {
		w.t.Fatal(err)
	}
	c, err = applier.Decode(b)
	if err != nil {
		w.t.Fatal(err)
	}
	var r applier.Result
	w.state, r = w.state.Next(uint64(len(w.states)+1), c)
	w.states = append(w.states, w.state)
	return r
}

// step changes sections, services, routes, endpoints or moves at random.
func (w *world) step() {
	n := w.r.IntN(4)
	section, node := fmt.Sprintf("s%d", n), fmt.Sprintf("n%d", w.r.IntN(5))
	sec, _ := w.state.Section(section)
	c := applier.EditSection{EditID: fmt.Sprintf("e%d", len(w.states)), Section: section, Team: "t", Action: applier.ActionEdit, BaseRevision: sec.Current.Number, At: at}
	switch w.r.IntN(6) {
	case 0, 1:
		c.Body = fmt.Appendf(nil, "services: [{name: svc%d, slots: %d}]\nroutes:\n  - {path: /r%d, service: svc%d}\n  - {path: /x%d, service: svc%d}\n",
			n, w.r.IntN(50)+1, n, n, n, w.r.IntN(4))
		w.run(c)
	case 2:
		c.Action = applier.ActionRetire
		if w.r.IntN(2) == 0 {
			c.Action = applier.ActionRestore
		}
		w.run(c)
	case 3, 4:
		a := applier.Announcement{Node: node, Incarnation: 1}
		for i := range w.r.IntN(4) {
			a.Endpoints = append(a.Endpoints, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: fmt.Sprintf("t%d", i)}, Incarnation: 1,
				Service: fmt.Sprintf("svc%d", w.r.IntN(5)), Version: fmt.Sprintf("v%d", w.r.IntN(2)+1), DataCentre: "dc-1"})
		}
		w.run(applier.Announce{Announcements: []applier.Announcement{a}, At: at})
	case 5:
		w.run(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: node, Incarnation: 1}}, At: at})
	}
}

func newWorld(t *testing.T, seed uint64) *world {
	return &world{t: t, r: rand.New(rand.NewPCG(seed, 3))}
}

// follower is a node that takes updates made for it from random states.
type follower struct {
	holding differ.Snapshot
	keeper  compiler.TableStore
	build   compiler.Compiler
	resync  bool
}

// take applies the update that a host with the given state makes. crossed,
// when set, is an update made for an earlier holding that arrives only now.
func (f *follower) take(u differ.Update) error {
	packed, err := differ.Pack(u)
	if err != nil {
		return err
	}
	if u, err = differ.Unpack(packed); err != nil {
		return err
	}
	next, err := differ.Apply(f.holding, u)
	f.resync = err != nil
	if err != nil {
		return err
	}
	table, err := f.build.Compile(next)
	if err != nil {
		return err
	}
	if err := f.keeper.Store(table); err != nil {
		return err
	}
	f.holding = next
	return nil
}

func (f *follower) ask(s applier.State) differ.Update {
	have := f.holding.Position()
	if f.resync || f.keeper.Table() == nil {
		have = differ.Position{}
	}
	return differ.NewUpdate(s, differ.SnapshotOf(s).Position(), have)
}

// TestVersionNeverRegresses lets updates of newer, older and far older states
// cross on the way to a node.
func TestVersionNeverRegresses(t *testing.T) {
	for seed := range *seedCount {
		w, f := newWorld(t, seed), &follower{}
		var late []differ.Update
		for range 300 {
			w.step()
			s := w.states[w.r.IntN(len(w.states))] // a host that may have been left behind
			if w.r.IntN(3) > 0 {
				s = w.state
			}
			before := f.holding
			u := f.ask(s)
			late = append(late, u)
			if w.r.IntN(4) == 0 {
				u = late[w.r.IntN(len(late))] // an answer that comes late
			}
			_ = f.take(u)
			if f.holding.Version < before.Version || f.holding.Revision < before.Revision {
				t.Fatalf("seed %d: %d/%d after %d/%d", seed, f.holding.Version, f.holding.Revision, before.Version, before.Revision)
			}
			if table := f.keeper.Table(); table != nil && table.Version != f.holding.Version {
				t.Fatalf("seed %d: table %d, holding %d", seed, table.Version, f.holding.Version)
			}
		}
		if err := f.take(f.ask(w.state)); err != nil {
			if err = f.take(f.ask(w.state)); err != nil {
				t.Fatalf("seed %d: no way to the newest state: %v", seed, err)
			}
		}
	}
}

// TestRoutesNeverDangle looks at every table that a node ever puts in place.
func TestRoutesNeverDangle(t *testing.T) {
	for seed := range *seedCount {
		w, f := newWorld(t, seed), &follower{}
		for range 300 {
			w.step()
			if w.r.IntN(3) > 0 {
				continue
			}
			if f.take(f.ask(w.state)) != nil {
				continue
			}
			table := f.keeper.Table()
			known := map[applier.EndpointKey]bool{}
			for _, e := range f.holding.Endpoints {
				known[e.EndpointKey] = true
			}
			for _, r := range table.Routes() {
				for _, part := range r.WeightedServices {
					s := table.Service(part.Service)
					if s == nil || s.Name != part.Service {
						t.Fatalf("seed %d: route %s dangles", seed, r.Path)
					}
					for _, p := range s.Pools {
						for _, e := range append(p.Local, p.Remote...) {
							if !known[e.EndpointKey] || e.Service != part.Service {
								t.Fatalf("seed %d: route %s leads to unknown %s", seed, r.Path, e.EndpointKey)
							}
						}
					}
				}
				if len(r.WeightedServices) == 0 {
					t.Fatalf("seed %d: route %s leads nowhere", seed, r.Path)
				}
			}
		}
	}
}

// TestBadVersionNeverPartial breaks updates in every way: whatever is refused
// leaves the node exactly as it was.
func TestBadVersionNeverPartial(t *testing.T) {
	is := is.New(t)
	w, f := newWorld(t, 1), &follower{}
	for range 60 {
		w.step()
	}
	is.NoErr(f.take(f.ask(w.state)))
	for range 10 {
		w.step()
	}
	table, have := f.keeper.Table(), f.holding.Position()
	breakers := []func(u *differ.Update){
		func(u *differ.Update) { u.Digest++ },
		func(u *differ.Update) { u.EndpointsHash++ },
		func(u *differ.Update) { u.FromVersion++ },
		func(u *differ.Update) { u.FromRevision++ },
		func(u *differ.Update) { u.Version -= 100 },
		func(u *differ.Update) {
			u.Sections = append(u.Sections, differ.Section{Name: "zz", Body: []byte("bad: [")})
		},
		func(u *differ.Update) { u.Endpoints = append(u.Endpoints, applier.Endpoint{Service: "zz"}) },
	}
	for i, b := range breakers {
		u := f.ask(w.state)
		b(&u)
		if f.take(u) == nil {
			t.Fatalf("breaker %d went through", i)
		}
		f.resync = false
		is.Equal(f.holding.Position(), have)
		is.Equal(f.keeper.Table(), table)
	}
	// Even with digests that fit, a document that does not compile is refused.
	bad := differ.SnapshotOf(w.state)
	bad.Sections = append([]differ.Section{}, bad.Sections...)
	bad.Sections = append(bad.Sections, differ.Section{Name: "zz", Body: []byte("routes: [{path: /zz, service: nowhere}]\n")})
	bad.Version++
	_, err := f.build.Compile(bad)
	is.True(err != nil)
	is.NoErr(f.take(f.ask(w.state)))
}

func TestFarBehindNodeCatchesUp(t *testing.T) {
	is := is.New(t)
	w, f := newWorld(t, 2), &follower{}
	for range 20 {
		w.step()
	}
	is.NoErr(f.take(f.ask(w.state)))
	for range 800 {
		w.step()
	}
	u := f.ask(w.state)
	is.True(u.FromVersion > 0)    // a difference, not everything
	is.True(len(u.Sections) <= 4) // each changed section once, no replay
	is.NoErr(f.take(u))
	is.Equal(f.holding.Position(), differ.SnapshotOf(w.state).Position())
}
