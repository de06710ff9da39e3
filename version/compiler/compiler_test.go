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

// simulation is the state of the control hosts, changed by random commands from a
// seed.
type simulation struct {
	t      *testing.T
	r      *rand.Rand
	state  applier.State
	states []applier.State // states holds every earlier state.
}

// apply applies a command in its encoded form.
func (sim *simulation) apply(c applier.Command) applier.Result {
	b, err := applier.Encode(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	c, err = applier.Decode(b)
	if err != nil {
		sim.t.Fatal(err)
	}
	return sim.applyDecoded(c)
}

// applyDecoded applies a command that is in the log, also one that is not proposed any
// more.
func (sim *simulation) applyDecoded(c applier.Command) applier.Result {
	var r applier.Result
	sim.state, r = sim.state.Next(uint64(len(sim.states)+1), c)
	sim.states = append(sim.states, sim.state)
	return r
}

// step applies a random command to a section or to the endpoints of a node.
func (sim *simulation) step() {
	n := sim.r.IntN(4)
	section, node := fmt.Sprintf("s%d", n), fmt.Sprintf("n%d", sim.r.IntN(5))
	sec, _ := sim.state.Section(section)
	c := applier.EditSection{EditID: fmt.Sprintf("e%d", len(sim.states)), Section: section, Team: "t", Action: applier.ActionEdit, BaseRevision: sec.Current.Number, At: at}
	switch sim.r.IntN(6) {
	case 0, 1:
		c.Body = fmt.Appendf(nil, "services: [{name: svc%d, slots: %d}]\nroutes:\n  - {path: /r%d, service: svc%d}\n  - {path: /x%d, service: svc%d}\n",
			n, sim.r.IntN(50)+1, n, n, n, sim.r.IntN(4))
		sim.apply(c)
	case 2:
		c.Action = applier.ActionRetire
		if sim.r.IntN(2) == 0 {
			c.Action = applier.ActionRestore
		}
		sim.apply(c)
	case 3, 4:
		a := applier.Announcement{Node: node, Incarnation: 1}
		for i := range sim.r.IntN(4) {
			a.Endpoints = append(a.Endpoints, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: fmt.Sprintf("t%d", i)}, Incarnation: 1,
				Service: fmt.Sprintf("svc%d", sim.r.IntN(5)), Version: fmt.Sprintf("v%d", sim.r.IntN(2)+1), DataCentre: "dc-1", Address: "10.0.0.1:7101"})
		}
		sim.apply(applier.Announce{Announcements: []applier.Announcement{a}, At: at})
	case 5:
		sim.apply(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: node, Incarnation: 1}}, At: at})
	}
}

// newSimulation returns a simulation with an empty state.
func newSimulation(t *testing.T, seed uint64) *simulation {
	return &simulation{t: t, r: rand.New(rand.NewPCG(seed, 3))}
}

// nodeState is the snapshot and the table of a node that receives updates.
type nodeState struct {
	snapshot    differ.Snapshot
	store       compiler.TableStore
	compiler    compiler.Compiler
	needsResync bool
}

// applyUpdate applies an update as a node does: in its packed form, and only if
// the result compiles. On an error snapshot and table stay as they are.
func (node *nodeState) applyUpdate(u differ.Update) error {
	packed, err := differ.Pack(u)
	if err != nil {
		return err
	}
	if u, err = differ.Unpack(packed); err != nil {
		return err
	}
	next, err := differ.Apply(node.snapshot, u)
	node.needsResync = err != nil
	if err != nil {
		return err
	}
	table, err := node.compiler.Compile(next)
	if err != nil {
		return err
	}
	if err := node.store.Store(table); err != nil {
		return err
	}
	node.snapshot = next
	return nil
}

// requestUpdate returns the update that a host with the given state makes for the
// node.
func (node *nodeState) requestUpdate(s applier.State) differ.Update {
	position := node.snapshot.Position()
	if node.needsResync || node.store.Table() == nil {
		position = differ.Have{}
	}
	return differ.NewUpdate(s, differ.SnapshotOf(s).Position(), position)
}

// TestVersionNeverRegresses guards against a version or revision that decreases
// when updates from up-to-date hosts, lagging hosts and delayed replies reach a
// node in any order.
func TestVersionNeverRegresses(t *testing.T) {
	for seed := range *seedCount {
		sim, node := newSimulation(t, seed), &nodeState{}
		var delayed []differ.Update
		for range 300 {
			sim.step()
			s := sim.states[sim.r.IntN(len(sim.states))] // a host that may lag behind
			if sim.r.IntN(3) > 0 {
				s = sim.state
			}
			before := node.snapshot
			u := node.requestUpdate(s)
			delayed = append(delayed, u)
			if sim.r.IntN(4) == 0 {
				u = delayed[sim.r.IntN(len(delayed))] // a delayed reply
			}
			_ = node.applyUpdate(u)
			if node.snapshot.Version < before.Version || node.snapshot.Revision < before.Revision {
				t.Fatalf("seed %d: version/revision decreased to %d/%d from %d/%d", seed, node.snapshot.Version, node.snapshot.Revision, before.Version, before.Revision)
			}
			if table := node.store.Table(); table != nil && table.Version != node.snapshot.Version {
				t.Fatalf("seed %d: table has version %d, snapshot has version %d", seed, table.Version, node.snapshot.Version)
			}
		}
		if err := node.applyUpdate(node.requestUpdate(sim.state)); err != nil {
			if err = node.applyUpdate(node.requestUpdate(sim.state)); err != nil {
				t.Fatalf("seed %d: the node cannot update to the newest state: %v", seed, err)
			}
		}
	}
}

// TestRoutesNeverDangle guards against a table whose routes name a service that it
// does not have, or whose services hold endpoints that the snapshot does not have.
func TestRoutesNeverDangle(t *testing.T) {
	for seed := range *seedCount {
		sim, node := newSimulation(t, seed), &nodeState{}
		for range 300 {
			sim.step()
			if sim.r.IntN(3) > 0 {
				continue
			}
			if node.applyUpdate(node.requestUpdate(sim.state)) != nil {
				continue
			}
			table := node.store.Table()
			known := map[applier.EndpointKey]bool{}
			for _, e := range node.snapshot.Endpoints {
				known[e.EndpointKey] = true
			}
			for _, r := range table.Routes() {
				for _, part := range r.WeightedServices {
					s := table.Service(part.Service)
					if s == nil || s.Name != part.Service {
						t.Fatalf("seed %d: route %s names a service that the table does not contain", seed, r.Path)
					}
					for _, p := range s.Pools {
						for _, e := range append(p.Local, p.Remote...) {
							if !known[e.EndpointKey] || e.Service != part.Service {
								t.Fatalf("seed %d: route %s refers to endpoint %s, which is unknown or belongs to another service", seed, r.Path, e.EndpointKey)
							}
						}
					}
				}
				if len(r.WeightedServices) == 0 {
					t.Fatalf("seed %d: route %s has no services", seed, r.Path)
				}
			}
		}
	}
}

// TestBadVersionNeverPartial guards against a corrupt update that is applied in
// part: each corruption must be rejected and leave snapshot and table unchanged.
func TestBadVersionNeverPartial(t *testing.T) {
	is := is.New(t)
	sim, node := newSimulation(t, 1), &nodeState{}
	for range 60 {
		sim.step()
	}
	is.NoErr(node.applyUpdate(node.requestUpdate(sim.state)))
	for range 10 {
		sim.step()
	}
	table, position := node.store.Table(), node.snapshot.Position()
	corruptions := []func(u *differ.Update){
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
	for i, corrupt := range corruptions {
		u := node.requestUpdate(sim.state)
		corrupt(&u)
		if node.applyUpdate(u) == nil {
			t.Fatalf("corrupt update %d was accepted", i)
		}
		node.needsResync = false
		is.Equal(node.snapshot.Position(), position)
		is.Equal(node.store.Table(), table)
	}
	// A document that does not compile is rejected even when its digests match.
	bad := differ.SnapshotOf(sim.state)
	bad.Sections = append([]differ.Section{}, bad.Sections...)
	bad.Sections = append(bad.Sections, differ.Section{Name: "zz", Body: []byte("routes: [{path: /zz, service: nowhere}]\n")})
	bad.Version++
	_, err := node.compiler.Compile(bad)
	is.True(err != nil)
	is.NoErr(node.applyUpdate(node.requestUpdate(sim.state)))
}

// TestFarBehindNodeCatchesUp guards against a full resync, or a replay of every
// change, when a node is hundreds of versions behind.
func TestFarBehindNodeCatchesUp(t *testing.T) {
	is := is.New(t)
	sim, node := newSimulation(t, 2), &nodeState{}
	for range 20 {
		sim.step()
	}
	is.NoErr(node.applyUpdate(node.requestUpdate(sim.state)))
	for range 800 {
		sim.step()
	}
	u := node.requestUpdate(sim.state)
	is.True(u.FromVersion > 0)    // a difference, not the whole state
	is.True(len(u.Sections) <= 4) // each changed section once, no replay
	is.NoErr(node.applyUpdate(u))
	is.Equal(node.snapshot.Position(), differ.SnapshotOf(sim.state).Position())
}
