package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/recorder/faker"
)

// commandList is an Applier whose state is the list of all applied commands.
type commandList struct{ Commands []string }

// Apply implements Applier.
func (l *commandList) Apply(_ uint64, command []byte) any {
	l.Commands = append(l.Commands, string(command))
	return string(command)
}

// Snapshot implements Applier.
func (l *commandList) Snapshot() ([]byte, error) { return encoder.Marshal(l.Commands) }

// Restore implements Applier.
func (l *commandList) Restore(_ uint64, data []byte) error {
	l.Commands = nil
	return encoder.Unmarshal(data, &l.Commands)
}

// host is one member with its disk.
type host struct {
	id     string
	disk   *faker.Disk
	group  *Group // group is nil while the host is down.
	state  *commandList
	frozen bool // frozen means that the host processes nothing and loses what is sent to it.
}

// harness runs hosts with injected faults on one virtual clock.
type harness struct {
	t            *testing.T
	r            *rand.Rand
	now          time.Time
	initial      Membership
	hosts        []*host
	inFlight     []Envelope
	cutLinks     map[string]bool         // cutLinks holds "from>to" of links that lose all messages.
	proposed     map[string]chan outcome // proposed holds the commands without an outcome yet.
	acked        []string
	ackedIndex   uint64          // ackedIndex is the highest index of an acknowledged command.
	maxInFlight  int             // maxInFlight bounds the messages that stay in flight after a step of run.
	rejected     map[string]bool // rejected are commands that must never be applied.
	massRestarts bool            // massRestarts lets many hosts restart at once.
	nextCommand  int
	changes      []chan outcome
	addedMembers int
}

func newHarness(t *testing.T, seed uint64, voters int) *harness {
	h := &harness{t: t, r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), cutLinks: map[string]bool{}, proposed: map[string]chan outcome{}, rejected: map[string]bool{}}
	for i := range voters {
		h.initial.Members = append(h.initial.Members, Member{ID: fmt.Sprintf("h%d", i)})
	}
	for _, m := range h.initial.Members {
		h.addHost(m.ID)
	}
	return h
}

func (h *harness) addHost(id string) *host {
	x := &host{id: id, disk: &faker.Disk{}}
	h.hosts = append(h.hosts, x)
	h.startHost(x)
	return x
}

// harnessSender adds messages to those in flight.
type harnessSender struct{ h *harness }

// Send implements Sender.
func (s harnessSender) Send(_ Member, e Envelope) { s.h.inFlight = append(s.h.inFlight, e) }

func (h *harness) startHost(x *host) {
	x.state = &commandList{}
	x.frozen = false
	x.group = &Group{
		Name: "g", ID: x.id, Recorder: &recorder.Recorder{Disk: x.disk}, Applier: x.state, Sender: harnessSender{h},
		Seed: h.r.Uint64(), SnapshotBytes: 300, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 15 * time.Millisecond, Now: func() time.Time { return h.now },
	}
	if err := x.group.Open(h.initial); err != nil {
		h.t.Fatalf("open %s: %v", x.id, err)
	}
}

// step lets a host handle items, tick, sync, send and apply.
func (h *harness) step(x *host, items ...inboxItem) {
	if x.group == nil || x.frozen {
		return
	}
	for _, e := range items {
		x.group.handleItem(e)
	}
	x.group.tick()
	if err := x.group.flush(); err != nil {
		h.t.Fatalf("%s stopped: %v", x.id, err)
	}
}

func (h *harness) findHost(id string) *host {
	i := slices.IndexFunc(h.hosts, func(x *host) bool { return x.id == id })
	if i < 0 {
		return nil
	}
	return h.hosts[i]
}

func (h *harness) randomHost() *host { return h.hosts[h.r.IntN(len(h.hosts))] }

// deliverMessage delivers one random message of the oldest 40; some are lost or
// delivered twice.
func (h *harness) deliverMessage() {
	if len(h.inFlight) == 0 {
		return
	}
	i := h.r.IntN(min(len(h.inFlight), 40))
	e := h.inFlight[i]
	if h.r.IntN(30) > 0 {
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
	}
	if h.cutLinks[e.From+">"+e.To] || h.r.IntN(40) == 0 {
		return
	}
	if x := h.findHost(e.To); x != nil {
		h.step(x, receivedMessage{e})
	}
}

func (h *harness) proposeCommand() {
	h.nextCommand++
	command := fmt.Sprintf("c%04d", h.nextCommand)
	result := make(chan outcome, 1)
	h.proposed[command] = result
	h.step(h.randomHost(), proposal{[]byte(command), result})
}

// collectOutcomes records the outcomes of proposals that have one.
func (h *harness) collectOutcomes() {
	for command, result := range h.proposed {
		select {
		case out := <-result:
			delete(h.proposed, command)
			if out.err == nil {
				h.acked = append(h.acked, command)
				h.ackedIndex = max(h.ackedIndex, out.index)
			}
			if IsKind(out.err, KindReplaced) || IsKind(out.err, KindNotLeader) {
				h.rejected[command] = true
			}
		default:
		}
	}
}

// checkLeases requests a read index from every host. At most one host may return
// one, and it must cover every command acknowledged before.
func (h *harness) checkLeases() {
	h.collectOutcomes()
	holders := 0
	for _, x := range h.hosts {
		if x.group == nil {
			continue
		}
		index, ok := x.group.core.ReadIndex(h.now)
		if !ok {
			continue
		}
		holders++
		if index < h.ackedIndex {
			h.t.Fatalf("%s returned read index %d, but index %d was acknowledged before", x.id, index, h.ackedIndex)
		}
	}
	if holders > 1 {
		h.t.Fatalf("%d hosts hold a lease at once", holders)
	}
}

// injectFault makes one random change to one host or link; some of them end faults.
func (h *harness) injectFault() {
	x := h.randomHost()
	switch h.r.IntN(8) {
	case 0: // killed; only some of the unsynced bytes remain
		if x.group != nil {
			x.group = nil
			x.disk.Crash(h.r.IntN(20))
		}
	case 1, 2: // a full disk has room again
		x.disk.Limited = false
		if x.group == nil {
			h.startHost(x)
		}
	case 3:
		x.frozen = !x.frozen
	case 4: // one direction of a link
		h.cutLinks[x.id+">"+h.randomHost().id] = true
	case 5: // all links of one host
		for _, y := range h.hosts {
			h.cutLinks[x.id+">"+y.id], h.cutLinks[y.id+">"+x.id] = true, true
		}
	case 6:
		h.cutLinks = map[string]bool{}
	case 7: // the disk becomes full after a few writes
		if x.group != nil && h.r.IntN(4) == 0 {
			x.disk.Limited, x.disk.Budget = true, h.r.IntN(6)
		}
	}
}

// restartMany kills most hosts, often all, and restarts them at the same time, so
// that no lease expires meanwhile. The hosts that are not killed, often the leader
// among them, may be cut off from all others.
func (h *harness) restartMany() {
	kept := h.r.IntN(3)
	if l := h.leader(); l != nil && h.r.IntN(2) == 0 {
		i := slices.Index(h.hosts, l)
		h.hosts[0], h.hosts[i] = h.hosts[i], h.hosts[0]
	}
	isolated := h.r.IntN(2) == 0
	for i, x := range h.hosts {
		if i < kept {
			for _, y := range h.hosts {
				h.cutLinks[x.id+">"+y.id], h.cutLinks[y.id+">"+x.id] = isolated, isolated
			}
			continue
		}
		if x.group == nil {
			continue
		}
		x.group = nil
		x.disk.Limited = false
		x.disk.Crash(h.r.IntN(20))
		h.startHost(x)
	}
	h.r.Shuffle(len(h.hosts), func(i, j int) { h.hosts[i], h.hosts[j] = h.hosts[j], h.hosts[i] })
}

// repairFault ends the faults of one host, or of all links.
func (h *harness) repairFault() {
	x := h.randomHost()
	x.frozen, x.disk.Limited = false, false
	switch {
	case h.r.IntN(2) == 0:
		h.cutLinks = map[string]bool{}
	case x.group == nil:
		h.startHost(x)
	}
}

// changeMembers proposes a random membership change to a random host.
func (h *harness) changeMembers() {
	result := make(chan outcome, 1)
	h.changes = append(h.changes, result)
	x := h.randomHost()
	if x.group == nil {
		return
	}
	old := x.group.core.Membership()
	pick := old.Members[h.r.IntN(len(old.Members))]
	h.step(x, membershipChange{result: result, compute: func(m Membership) (Membership, error) {
		switch h.r.IntN(4) {
		case 3: // replacing a voter by another in one step must be rejected
			if len(m.Voters()) >= 3 && !pick.Learner {
				h.addedMembers++
				return m.Without(pick.ID).WithMember(Member{ID: "ghost"}), nil
			}
		case 0:
			if len(m.Members) < 5 && h.addedMembers < 4 {
				h.addedMembers++
				id := fmt.Sprintf("s%d", h.addedMembers)
				h.addHost(id)
				return m.WithMember(Member{ID: id, Learner: true}), nil
			}
		case 1:
			if pick.Learner {
				pick.Learner = false
				return m.WithMember(pick), nil
			}
		case 2:
			if len(m.Voters()) > 3 || pick.Learner {
				return m.Without(pick.ID), nil
			}
		}
		return m, nil
	}})
}

// checkSameCommands checks that no two hosts applied different commands.
func (h *harness) checkSameCommands() {
	var longest []string
	for _, x := range h.hosts {
		if x.group != nil && len(x.state.Commands) > len(longest) {
			longest = x.state.Commands
		}
	}
	for _, x := range h.hosts {
		if x.group != nil && !slices.Equal(x.state.Commands, longest[:len(x.state.Commands)]) {
			h.t.Fatalf("%s applied %v, another host %v", x.id, x.state.Commands, longest)
		}
	}
}

// run executes random steps: proposals, faults, repairs and, if changes is set,
// membership changes.
func (h *harness) run(steps int, changes bool) {
	for range steps {
		h.now = h.now.Add(time.Duration(h.r.IntN(10)) * time.Millisecond)
		for range len(h.hosts) {
			h.step(h.randomHost())
		}
		for left := h.r.IntN(h.maxInFlight); len(h.inFlight) > left; {
			h.deliverMessage()
		}
		switch n := h.r.IntN(1000); {
		case n < 300:
			h.proposeCommand()
		case n < 315:
			h.injectFault()
		case n < 325:
			h.repairFault()
		case n < 335 && changes:
			h.changeMembers()
		case n < 339 && h.massRestarts:
			h.restartMany()
		}
		h.checkLeases()
		if h.r.IntN(20) == 0 {
			h.checkSameCommands()
		}
	}
}

// endFaults ends all faults and lets the group run for 8 s, long enough for every
// member to receive all commands.
func (h *harness) endFaults() {
	h.cutLinks = map[string]bool{}
	for _, x := range h.hosts {
		x.frozen, x.disk.Limited = false, false
		if x.group == nil {
			h.startHost(x)
		}
	}
	for range 4000 {
		h.now = h.now.Add(2 * time.Millisecond)
		for _, x := range h.hosts {
			h.step(x)
		}
		for range len(h.inFlight) {
			e := h.inFlight[0]
			h.inFlight = h.inFlight[1:]
			if x := h.findHost(e.To); x != nil {
				h.step(x, receivedMessage{e})
			}
		}
		h.checkLeases()
	}
	h.checkSameCommands()
}

// checkAcknowledged checks that every voter has applied every acknowledged command
// and no rejected one.
func (h *harness) checkAcknowledged() {
	var leader *host
	for _, x := range h.hosts {
		if _, ok := x.group.core.ReadIndex(h.now); ok {
			leader = x
		}
	}
	if leader == nil {
		h.t.Fatal("no leader after all faults ended")
	}
	for _, id := range leader.group.core.Membership().Voters() {
		x := h.findHost(id)
		for _, command := range h.acked {
			if !slices.Contains(x.state.Commands, command) {
				h.t.Fatalf("%s has not applied the acknowledged command %s", id, command)
			}
		}
		for command := range h.rejected {
			if slices.Contains(x.state.Commands, command) {
				h.t.Fatalf("%s applied command %s, which was rejected", id, command)
			}
		}
	}
}

// advance runs the group for d on the virtual clock without new faults; cut links
// and frozen hosts stay as they are.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(2 * time.Millisecond) {
		for _, x := range h.hosts {
			h.step(x)
		}
		for range len(h.inFlight) {
			e := h.inFlight[0]
			h.inFlight = h.inFlight[1:]
			if x := h.findHost(e.To); x != nil && !h.cutLinks[e.From+">"+e.To] {
				h.step(x, receivedMessage{e})
			}
		}
	}
	h.collectOutcomes()
}

// leader returns the running host that holds a lease, or nil.
func (h *harness) leader() *host {
	for _, x := range h.hosts {
		if x.group == nil || x.frozen {
			continue
		}
		if _, ok := x.group.core.ReadIndex(h.now); ok {
			return x
		}
	}
	return nil
}

// commitCommands proposes n commands to the leader and fails the test unless all
// are acknowledged.
func (h *harness) commitCommands(n int) {
	before := len(h.acked)
	for range n {
		h.nextCommand++
		command := fmt.Sprintf("c%04d", h.nextCommand)
		result := make(chan outcome, 1)
		h.proposed[command] = result
		h.step(h.leader(), proposal{[]byte(command), result})
		h.advance(50 * time.Millisecond)
	}
	if len(h.acked) != before+n {
		h.t.Fatalf("%d of %d commands acknowledged", len(h.acked)-before, n)
	}
}

// mustChange changes the membership and fails the test if that is rejected.
func (h *harness) mustChange(to func(Membership) Membership) {
	result := make(chan outcome, 1)
	h.step(h.leader(), membershipChange{result: result, compute: func(m Membership) (Membership, error) { return to(m), nil }})
	h.advance(200 * time.Millisecond)
	if out := <-result; out.err != nil {
		h.t.Fatal(out.err)
	}
}
