package applier_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const designs = "services: [{name: designs}]\nroutes: [{path: /designs, service: designs}]\n"

var at = time.Unix(1_800_000_000, 0).UTC()

// machine applies encoded commands, as a control host does.
type machine struct {
	t     *testing.T
	a     applier.Applier
	index uint64
}

func (m *machine) run(c applier.Command) applier.Result {
	b, err := applier.Encode(c)
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	r, ok := m.a.Apply(m.index, b).(applier.Result)
	if !ok {
		m.t.Fatal("no result")
	}
	return r
}

func edit(id, section, team string, base uint64, body string) applier.EditSection {
	return applier.EditSection{EditID: id, Section: section, Team: team, Action: applier.ActionEdit, BaseRevision: base, Body: []byte(body), At: at}
}

func TestRacingEditsOneWins(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	is.Equal(m.run(edit("e1", "designs", "a", 0, designs)).Outcome, applier.OutcomeAccepted)
	accepted := 0
	for i := range 5 {
		r := m.run(edit(fmt.Sprintf("race-%d", i), "designs", "a", 1, designs+fmt.Sprintf("# by %d\n", i)))
		switch r.Outcome {
		case applier.OutcomeAccepted:
			accepted++
		case applier.OutcomeConflict:
			is.True(strings.Contains(string(r.CurrentRevision.Body), "# by 0")) // the loser sees the winner
		default:
			t.Fatal(r)
		}
	}
	is.Equal(accepted, 1)
	is.Equal(m.a.State().Version, uint64(2))
}

func TestResentEditSameAnswer(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	first := m.run(edit("e1", "designs", "a", 0, designs))
	m.run(edit("e2", "designs", "a", 1, designs+"# later\n"))
	refused := m.run(edit("e3", "designs", "a", 2, "nonsense: 1\n"))
	// The answers survive a snapshot.
	snapshot, err := m.a.Snapshot()
	is.NoErr(err)
	n := &machine{t: t, index: m.index}
	is.NoErr(n.a.Restore(m.index, snapshot))
	again := edit("e1", "designs", "a", 0, designs)
	again.At = at.Add(time.Hour) // a resend comes later
	is.Equal(n.run(again), first)
	is.Equal(n.run(edit("e3", "designs", "a", 2, "nonsense: 1\n")).Message, refused.Message)
	is.Equal(n.a.State().Version, uint64(2))
	is.Equal(n.run(edit("e1", "designs", "a", 2, "other")).Outcome, applier.OutcomeRefused) // an id names one edit
}

func TestRetiredSectionRestored(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	m.run(edit("base", "base", "core", 0, "services: [{name: shared}]\n"))
	mine := "routes: [{path: /mine, service: shared, timeout: 3s}]\n"
	m.run(edit("e1", "tenant", "tenant", 0, mine))
	retire := edit("e2", "tenant", "tenant", 1, "")
	retire.Action = applier.ActionRetire
	is.Equal(m.run(retire).Outcome, applier.OutcomeAccepted)
	is.Equal(len(m.a.State().Sources()), 1)
	// A year of other edits and a snapshot pass by.
	for i := range uint64(applier.MaxHistory * 3) {
		is.Equal(m.run(edit(fmt.Sprintf("b%d", i), "base", "core", i+1, fmt.Sprintf("services: [{name: shared, slots: %d}]\n", i+1))).Outcome, applier.OutcomeAccepted)
	}
	snapshot, err := m.a.Snapshot()
	is.NoErr(err)
	is.NoErr(m.a.Restore(m.index, snapshot))
	before := m.a.State().Version
	restore := edit("e3", "tenant", "tenant", 2, "")
	restore.Action = applier.ActionRestore
	is.Equal(m.run(restore).Outcome, applier.OutcomeAccepted)
	sec, _ := m.a.State().Section("tenant")
	is.Equal(string(sec.Current.Body), mine) // the old settings, to the letter
	is.Equal(m.a.State().Version, before+1)  // as a new version
	gone := edit("e4", "base", "core", sec.Current.Number, "")
	base, _ := m.a.State().Section("base")
	gone.BaseRevision, gone.Action = base.Current.Number, applier.ActionRetire
	is.Equal(m.run(gone).Outcome, applier.OutcomeRefused) // a route would dangle
}

func TestTeamsEditOnlyTheirOwn(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	m.run(edit("e1", "designs", "a", 0, designs))
	is.Equal(m.run(edit("e2", "designs", "b", 1, designs)).Outcome, applier.OutcomeRefused)
	r := m.run(edit("e3", "other", "b", 0, "routes:\n  - path: /x\n    service: desings\n"))
	is.Equal(r.Outcome, applier.OutcomeRefused)
	is.Equal(r.Location.Line, 3)
	is.True(strings.Contains(r.Message, `did you mean "designs"?`))
	is.Equal(m.run(edit("e4", "other", "b", 0, designs)).Outcome, applier.OutcomeRefused) // two definitions
}

func announce(node string, incarnation uint64, targets ...string) applier.Announce {
	a := applier.Announcement{Node: node, Incarnation: incarnation}
	for _, target := range targets {
		name, version, _ := strings.Cut(target, ":")
		a.Endpoints = append(a.Endpoints, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: name},
			Incarnation: incarnation, Service: "designs", Version: version})
	}
	return applier.Announce{Announcements: []applier.Announcement{a}, At: at}
}

func TestMoveLife(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	begin := applier.BeginMove{EditID: "m1", Service: "designs", To: "v2", Deadline: at.Add(time.Hour), Preference: applier.PreferCaution, At: at}
	is.Equal(m.run(begin).Outcome, applier.OutcomeRefused) // nothing announced
	m.run(announce("n1", 1, "t1:v1"))
	m.run(announce("n2", 1, "t2:v2"))
	traffic, _ := m.a.State().Traffic("designs")
	is.Equal(traffic.ServingVersion, "v1") // a later version gets nothing by itself
	begin.EditID = "m2"
	is.Equal(m.run(begin).Outcome, applier.OutcomeAccepted)
	step := applier.StepMove{MoveID: "m2", Service: "designs", OldShare: 0, Share: 500, Phase: applier.PhaseRunning, At: at}
	is.Equal(m.run(step).Outcome, applier.OutcomeAccepted)
	is.Equal(m.run(step).Outcome, applier.OutcomeRefused) // decided on an older state
	version := m.a.State().Version
	is.Equal(m.run(applier.StepMove{MoveID: "m2", Service: "designs", OldShare: 500, Phase: applier.PhaseRolledBack, Reason: "bad", At: at}).Outcome, applier.OutcomeAccepted)
	traffic, _ = m.a.State().Traffic("designs")
	is.Equal(traffic.ServingVersion, "v1")
	is.Equal(m.a.State().Version, version+1) // taken back by a new version
}

func TestEndpointsFollowTheirNode(t *testing.T) {
	is := is.New(t)
	m := &machine{t: t}
	m.run(announce("n1", 5, "t1:v1", "t2:v1"))
	revision := m.a.State().Revision
	m.run(announce("n1", 5, "t1:v1", "t2:v1"))
	is.Equal(m.a.State().Revision, revision) // nothing changed
	m.run(announce("n1", 4, "t9:v1"))
	is.Equal(len(m.a.State().Endpoints), 2) // an earlier life is not heard
	m.run(announce("n1", 6, "t1:v1"))
	is.Equal(len(m.a.State().Endpoints), 1)
	is.Equal(len(m.a.State().RemovedEndpoints), 1)
	m.run(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "n1", Incarnation: 5}}, At: at})
	is.Equal(len(m.a.State().Endpoints), 1) // the lease of an earlier life
	m.run(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "n1", Incarnation: 6}}, At: at})
	is.Equal(len(m.a.State().Endpoints), 0)
}

func FuzzDecode(f *testing.F) {
	for _, c := range []applier.Command{edit("e", "s", "t", 0, designs), announce("n", 1, "t:v1"), applier.StepMove{}} {
		b, err := applier.Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = applier.Decode(raw)
	})
}
