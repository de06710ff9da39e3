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

// controlHost applies commands to an Applier in their encoded form, as a control
// host does.
type controlHost struct {
	t       *testing.T
	applier applier.Applier
	index   uint64
}

func (h *controlHost) run(c applier.Command) applier.Result {
	b, err := applier.Encode(c)
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	r, ok := h.applier.Apply(h.index, b).(applier.Result)
	if !ok {
		h.t.Fatal("Apply returned no Result")
	}
	return r
}

// edit returns an edit that replaces the body of a section.
func edit(id, section, team string, base uint64, body string) applier.EditSection {
	return applier.EditSection{EditID: id, Section: section, Team: team, Action: applier.ActionEdit, BaseRevision: base, Body: []byte(body), At: at}
}

// TestRacingEditsOneWins guards against lost updates: of several edits based on
// the same revision one is accepted, and the others get the current revision.
func TestRacingEditsOneWins(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	is.Equal(h.run(edit("e1", "designs", "a", 0, designs)).Outcome, applier.OutcomeAccepted)
	accepted := 0
	for i := range 5 {
		r := h.run(edit(fmt.Sprintf("race-%d", i), "designs", "a", 1, designs+fmt.Sprintf("# by %d\n", i)))
		switch r.Outcome {
		case applier.OutcomeAccepted:
			accepted++
		case applier.OutcomeConflict:
			is.True(strings.Contains(string(r.CurrentRevision.Body), "# by 0")) // the rejected edit gets the accepted revision
		default:
			t.Fatal(r)
		}
	}
	is.Equal(accepted, 1)
	is.Equal(h.applier.State().Version, uint64(2))
}

// TestResentEditSameAnswer guards against an edit that runs twice when its caller
// resends it, also after later edits and a restart from a snapshot.
func TestResentEditSameAnswer(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	first := h.run(edit("e1", "designs", "a", 0, designs))
	h.run(edit("e2", "designs", "a", 1, designs+"# later\n"))
	refused := h.run(edit("e3", "designs", "a", 2, "nonsense: 1\n"))
	// The results are part of the snapshot.
	snapshot, err := h.applier.Snapshot()
	is.NoErr(err)
	restored := &controlHost{t: t, index: h.index}
	is.NoErr(restored.applier.Restore(h.index, snapshot))
	again := edit("e1", "designs", "a", 0, designs)
	again.At = at.Add(time.Hour) // a resend comes later
	is.Equal(restored.run(again), first)
	is.Equal(restored.run(edit("e3", "designs", "a", 2, "nonsense: 1\n")).Message, refused.Message)
	is.Equal(restored.applier.State().Version, uint64(2))
	is.Equal(restored.run(edit("e1", "designs", "a", 2, "other")).Outcome, applier.OutcomeRefused) // an id identifies one edit
}

// TestRetiredSectionRestored guards against the loss of a retired section's text
// when other edits overflow the history of their section and the host restarts
// from a snapshot.
func TestRetiredSectionRestored(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	h.run(edit("base", "base", "core", 0, "services: [{name: shared}]\n"))
	mine := "routes: [{path: /mine, service: shared, timeout: 3s}]\n"
	h.run(edit("e1", "tenant", "tenant", 0, mine))
	retire := edit("e2", "tenant", "tenant", 1, "")
	retire.Action = applier.ActionRetire
	is.Equal(h.run(retire).Outcome, applier.OutcomeAccepted)
	is.Equal(len(h.applier.State().Sources()), 1)
	// More edits of another section than its history holds, then a snapshot.
	for i := range uint64(applier.MaxHistory * 3) {
		is.Equal(h.run(edit(fmt.Sprintf("b%d", i), "base", "core", i+1, fmt.Sprintf("services: [{name: shared, slots: %d}]\n", i+1))).Outcome, applier.OutcomeAccepted)
	}
	snapshot, err := h.applier.Snapshot()
	is.NoErr(err)
	is.NoErr(h.applier.Restore(h.index, snapshot))
	before := h.applier.State().Version
	restore := edit("e3", "tenant", "tenant", 2, "")
	restore.Action = applier.ActionRestore
	is.Equal(h.run(restore).Outcome, applier.OutcomeAccepted)
	sec, _ := h.applier.State().Section("tenant")
	is.Equal(string(sec.Current.Body), mine)      // exactly the old settings
	is.Equal(h.applier.State().Version, before+1) // as a new version
	retireBase := edit("e4", "base", "core", sec.Current.Number, "")
	base, _ := h.applier.State().Section("base")
	retireBase.BaseRevision, retireBase.Action = base.Current.Number, applier.ActionRetire
	is.Equal(h.run(retireBase).Outcome, applier.OutcomeRefused) // a route would refer to no service
}

// TestTeamsEditOnlyTheirOwn checks that a team cannot edit the section of another
// team, and that an invalid edit is rejected with the line and a suggestion.
func TestTeamsEditOnlyTheirOwn(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	h.run(edit("e1", "designs", "a", 0, designs))
	is.Equal(h.run(edit("e2", "designs", "b", 1, designs)).Outcome, applier.OutcomeRefused)
	r := h.run(edit("e3", "other", "b", 0, "routes:\n  - path: /x\n    service: desings\n"))
	is.Equal(r.Outcome, applier.OutcomeRefused)
	is.Equal(r.Location.Line, 3)
	is.True(strings.Contains(r.Message, `did you mean "designs"?`))
	is.Equal(h.run(edit("e4", "other", "b", 0, designs)).Outcome, applier.OutcomeRefused) // two definitions
}

// announce returns an announcement of targets, each given as "name:version".
func announce(node string, incarnation uint64, targets ...string) applier.Announce {
	a := applier.Announcement{Node: node, Incarnation: incarnation}
	for _, target := range targets {
		name, version, _ := strings.Cut(target, ":")
		a.Endpoints = append(a.Endpoints, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: name},
			Incarnation: incarnation, Address: "10.0.0.1:7101", DataCentre: "dc-1", Service: "designs", Version: version})
	}
	return applier.Announce{Announcements: []applier.Announcement{a}, At: at}
}

// TestMoveLifecycle checks that a move needs a target of the new version, that a
// step decided on an older state is rejected, and that a rollback raises the
// configuration version.
func TestMoveLifecycle(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	begin := applier.BeginMove{EditID: "m1", Service: "designs", To: "v2", Deadline: at.Add(time.Hour), Preference: applier.PreferCaution, At: at}
	is.Equal(h.run(begin).Outcome, applier.OutcomeRefused) // nothing announced
	h.run(announce("n1", 1, "t1:v1"))
	h.run(announce("n2", 1, "t2:v2"))
	traffic, _ := h.applier.State().Traffic("designs")
	is.Equal(traffic.ServingVersion, "v1") // a later version gets no traffic without a move
	begin.EditID = "m2"
	is.Equal(h.run(begin).Outcome, applier.OutcomeAccepted)
	step := applier.StepMove{MoveID: "m2", Service: "designs", OldShare: 0, Share: 500, Phase: applier.PhaseRunning, At: at}
	is.Equal(h.run(step).Outcome, applier.OutcomeAccepted)
	is.Equal(h.run(step).Outcome, applier.OutcomeRefused) // decided on an older state
	version := h.applier.State().Version
	is.Equal(h.run(applier.StepMove{MoveID: "m2", Service: "designs", OldShare: 500, Phase: applier.PhaseRolledBack, Reason: "bad", At: at}).Outcome, applier.OutcomeAccepted)
	traffic, _ = h.applier.State().Traffic("designs")
	is.Equal(traffic.ServingVersion, "v1")
	is.Equal(h.applier.State().Version, version+1) // a rollback makes a new version
}

// TestEndpointsFollowTheirNode guards against announcements and expired leases of
// an earlier incarnation of a node that change the endpoints of the current one.
func TestEndpointsFollowTheirNode(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	h.run(announce("n1", 5, "t1:v1", "t2:v1"))
	revision := h.applier.State().Revision
	h.run(announce("n1", 5, "t1:v1", "t2:v1"))
	is.Equal(h.applier.State().Revision, revision) // nothing changed
	h.run(announce("n1", 4, "t9:v1"))
	is.Equal(len(h.applier.State().Endpoints), 2) // an earlier incarnation is ignored
	h.run(announce("n1", 6, "t1:v1"))
	is.Equal(len(h.applier.State().Endpoints), 1)
	is.Equal(len(h.applier.State().RemovedEndpoints), 1)
	h.run(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "n1", Incarnation: 5}}, At: at})
	is.Equal(len(h.applier.State().Endpoints), 1) // the lease of an earlier incarnation
	h.run(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "n1", Incarnation: 6}}, At: at})
	is.Equal(len(h.applier.State().Endpoints), 0)
}

// TestUndecodableCommandIsProposed guards against a command in the log that every host
// fails to decode, at each start again, and whose sender takes it for accepted.
func TestUndecodableCommandIsProposed(t *testing.T) {
	for _, c := range []applier.Command{
		applier.EditSection{EditID: "e", Section: "\xff", At: at}, applier.EditSection{EditID: "\xff", Section: "s", At: at}, applier.EditSection{EditID: "e", Team: "a\xc3", At: at},
		applier.BeginMove{EditID: "e", Service: "\xff", At: at}, applier.BeginMove{EditID: "e", Service: "s", To: "v\xff", At: at},
		applier.CancelMove{EditID: "e", Service: "\xff", At: at}, applier.ReportCrash{Service: "\xff", At: at}, applier.StepMove{MoveID: "\xff"},
		applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "\xff"}}, At: at}, applier.ReplaceDocument{Sections: []applier.DocumentSection{{Name: "\xff"}}},
	} {
		is := is.New(t)
		_, err := applier.Encode(c)
		is.True(err != nil)
	}
	is := is.New(t)
	_, err := applier.Encode(applier.EditSection{EditID: "e", Section: "s", Body: []byte("\xff"), At: at})
	is.NoErr(err) // a body is bytes
}

// FuzzDecode guards against a panic in Decode on corrupt log entries.
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
