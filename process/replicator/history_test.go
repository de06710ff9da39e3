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

// list is a state that remembers every command in order.
type list struct{ Commands []string }

// Apply implements Applier.
func (l *list) Apply(_ uint64, command []byte) any {
	l.Commands = append(l.Commands, string(command))
	return string(command)
}

// Snapshot implements Applier.
func (l *list) Snapshot() ([]byte, error) { return encoder.Marshal(l.Commands) }

// Restore implements Applier.
func (l *list) Restore(_ uint64, data []byte) error {
	l.Commands = nil
	return encoder.Unmarshal(data, &l.Commands)
}

// host is one member with its disk; group is nil while it is down.
type host struct {
	id     string
	disk   *faker.Disk
	group  *Group
	state  *list
	frozen bool
}

// history drives hosts through faults on one virtual clock.
type history struct {
	t          *testing.T
	r          *rand.Rand
	now        time.Time
	initial    Membership
	hosts      []*host
	wire       []Envelope
	cut        map[string]bool // cut holds "from>to" of links that lose everything.
	asked      map[string]chan outcome
	acked      []string
	ackedIndex uint64
	delay      int             // delay is the number of messages that may stay on the wire.
	lost       map[string]bool // lost are commands that were refused for good.
	herds      bool            // herds lets many hosts start anew at once.
	next       int
	changes    []chan outcome
	spare      int
}

func newHistory(t *testing.T, seed uint64, voters int) *history {
	h := &history{t: t, r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), cut: map[string]bool{}, asked: map[string]chan outcome{}, lost: map[string]bool{}}
	for i := range voters {
		h.initial.Members = append(h.initial.Members, Member{ID: fmt.Sprintf("h%d", i)})
	}
	for _, m := range h.initial.Members {
		h.add(m.ID)
	}
	return h
}

func (h *history) add(id string) *host {
	x := &host{id: id, disk: &faker.Disk{}}
	h.hosts = append(h.hosts, x)
	h.start(x)
	return x
}

// wireSender puts messages on the wire.
type wireSender struct{ h *history }

// Send implements Sender.
func (s wireSender) Send(_ Member, e Envelope) { s.h.wire = append(s.h.wire, e) }

func (h *history) start(x *host) {
	x.state = &list{}
	x.frozen = false
	x.group = &Group{
		Name: "g", ID: x.id, Recorder: &recorder.Recorder{Disk: x.disk}, Applier: x.state, Sender: wireSender{h},
		Seed: h.r.Uint64(), SnapshotBytes: 300, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 15 * time.Millisecond, Now: func() time.Time { return h.now },
	}
	if err := x.group.Open(h.initial); err != nil {
		h.t.Fatalf("open %s: %v", x.id, err)
	}
}

// work lets a host handle events, sync, send and apply.
func (h *history) work(x *host, events ...inboxItem) {
	if x.group == nil || x.frozen {
		return
	}
	for _, e := range events {
		x.group.handle(e)
	}
	x.group.core.Tick(h.now)
	if err := x.group.flush(); err != nil {
		x.group = nil // A host whose disk failed stops.
	}
}

func (h *history) find(id string) *host {
	i := slices.IndexFunc(h.hosts, func(x *host) bool { return x.id == id })
	if i < 0 {
		return nil
	}
	return h.hosts[i]
}

func (h *history) any() *host { return h.hosts[h.r.IntN(len(h.hosts))] }

// deliver takes one random message off the wire; some get lost or come twice.
func (h *history) deliver() {
	if len(h.wire) == 0 {
		return
	}
	i := h.r.IntN(min(len(h.wire), 40))
	e := h.wire[i]
	if h.r.IntN(30) > 0 {
		h.wire = slices.Delete(h.wire, i, i+1)
	}
	if h.cut[e.From+">"+e.To] || h.r.IntN(40) == 0 {
		return
	}
	if x := h.find(e.To); x != nil {
		h.work(x, received{e})
	}
}

func (h *history) propose() {
	h.next++
	command := fmt.Sprintf("c%04d", h.next)
	result := make(chan outcome, 1)
	h.asked[command] = result
	h.work(h.any(), proposal{[]byte(command), result})
}

// collect takes in answers. Whatever was acknowledged must stay for ever.
func (h *history) collect() {
	for command, result := range h.asked {
		select {
		case out := <-result:
			delete(h.asked, command)
			if out.err == nil {
				h.acked = append(h.acked, command)
				h.ackedIndex = max(h.ackedIndex, out.index)
			}
			if IsKind(out.err, KindReplaced) || IsKind(out.err, KindNotLeader) {
				h.lost[command] = true
			}
		default:
		}
	}
}

// confirm asks a host for a confirmed read. One that gets it must know of all
// that was acknowledged before.
func (h *history) confirm() {
	h.collect()
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
			h.t.Fatalf("%s confirms index %d, %d was acknowledged", x.id, index, h.ackedIndex)
		}
	}
	if holders > 1 {
		h.t.Fatalf("%d hosts hold a lease at once", holders)
	}
}

// fault does one random thing to one host or link.
func (h *history) fault() {
	x := h.any()
	switch h.r.IntN(8) {
	case 0: // killed; unsynced bytes are gone but for some of them
		if x.group != nil {
			x.group = nil
			x.disk.Crash(h.r.IntN(20))
		}
	case 1, 2:
		if x.group == nil {
			x.disk.Limited = false
			h.start(x)
		}
	case 3:
		x.frozen = !x.frozen
	case 4: // one direction of a link
		h.cut[x.id+">"+h.any().id] = true
	case 5: // all links of one host
		for _, y := range h.hosts {
			h.cut[x.id+">"+y.id], h.cut[y.id+">"+x.id] = true, true
		}
	case 6:
		h.cut = map[string]bool{}
	case 7: // the disk is full soon
		if x.group != nil && h.r.IntN(4) == 0 {
			x.disk.Limited, x.disk.Budget = true, h.r.IntN(6)
		}
	}
}

// herd kills most hosts, often all, and starts them again at once: no time passes
// in which leases could run out. Those that are spared, often the leader, may be
// cut off from the others.
func (h *history) herd() {
	spared := h.r.IntN(3)
	if l := h.leader(); l != nil && h.r.IntN(2) == 0 {
		i := slices.Index(h.hosts, l)
		h.hosts[0], h.hosts[i] = h.hosts[i], h.hosts[0]
	}
	away := h.r.IntN(2) == 0
	for i, x := range h.hosts {
		if i < spared {
			for _, y := range h.hosts {
				h.cut[x.id+">"+y.id], h.cut[y.id+">"+x.id] = away, away
			}
			continue
		}
		if x.group == nil {
			continue
		}
		x.group = nil
		x.disk.Crash(h.r.IntN(20))
		h.start(x)
	}
	h.r.Shuffle(len(h.hosts), func(i, j int) { h.hosts[i], h.hosts[j] = h.hosts[j], h.hosts[i] })
}

// mend ends the faults of one host, or of all links.
func (h *history) mend() {
	x := h.any()
	x.frozen = false
	switch {
	case h.r.IntN(2) == 0:
		h.cut = map[string]bool{}
	case x.group == nil:
		x.disk.Limited = false
		h.start(x)
	}
}

// change asks a random host for a random change of members.
func (h *history) change() {
	result := make(chan outcome, 1)
	h.changes = append(h.changes, result)
	x := h.any()
	if x.group == nil {
		return
	}
	old := x.group.core.Membership()
	pick := old.Members[h.r.IntN(len(old.Members))]
	h.work(x, change{result: result, to: func(m Membership) (Membership, error) {
		switch h.r.IntN(4) {
		case 3: // a swap of two voters at once must be refused
			if len(m.Voters()) >= 3 && !pick.Learner {
				h.spare++
				return m.Without(pick.ID).WithMember(Member{ID: "ghost"}), nil
			}
		case 0:
			if len(m.Members) < 5 && h.spare < 4 {
				h.spare++
				id := fmt.Sprintf("s%d", h.spare)
				h.add(id)
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

// agree checks that no two hosts applied different commands.
func (h *history) agree() {
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

func (h *history) run(steps int, changes bool) {
	for range steps {
		h.now = h.now.Add(time.Duration(h.r.IntN(10)) * time.Millisecond)
		for range len(h.hosts) {
			h.work(h.any())
		}
		for left := h.r.IntN(h.delay); len(h.wire) > left; {
			h.deliver()
		}
		switch n := h.r.IntN(1000); {
		case n < 300:
			h.propose()
		case n < 315:
			h.fault()
		case n < 325:
			h.mend()
		case n < 335 && changes:
			h.change()
		case n < 339 && h.herds:
			h.herd()
		}
		h.confirm()
		if h.r.IntN(20) == 0 {
			h.agree()
		}
	}
}

// heal ends all faults and waits until every member has everything.
func (h *history) heal() {
	h.cut = map[string]bool{}
	for _, x := range h.hosts {
		x.frozen, x.disk.Limited = false, false
		if x.group == nil {
			h.start(x)
		}
	}
	for range 4000 {
		h.now = h.now.Add(2 * time.Millisecond)
		for _, x := range h.hosts {
			h.work(x)
		}
		for range len(h.wire) {
			e := h.wire[0]
			h.wire = h.wire[1:]
			if x := h.find(e.To); x != nil {
				h.work(x, received{e})
			}
		}
		h.confirm()
	}
	h.agree()
}

// check looks for every acknowledged command at every voter.
func (h *history) check() {
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
		x := h.find(id)
		for _, command := range h.acked {
			if !slices.Contains(x.state.Commands, command) {
				h.t.Fatalf("%s lacks acknowledged %s", id, command)
			}
		}
		for command := range h.lost {
			if slices.Contains(x.state.Commands, command) {
				h.t.Fatalf("%s has %s, which was said to be refused", id, command)
			}
		}
	}
}

// settle lets the group work without faults for a while.
func (h *history) settle(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(2 * time.Millisecond) {
		for _, x := range h.hosts {
			h.work(x)
		}
		for range len(h.wire) {
			e := h.wire[0]
			h.wire = h.wire[1:]
			if x := h.find(e.To); x != nil && !h.cut[e.From+">"+e.To] {
				h.work(x, received{e})
			}
		}
	}
	h.collect()
}

func (h *history) leader() *host {
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

func (h *history) accept(n int) {
	before := len(h.acked)
	for range n {
		h.next++
		command := fmt.Sprintf("c%04d", h.next)
		result := make(chan outcome, 1)
		h.asked[command] = result
		h.work(h.leader(), proposal{[]byte(command), result})
		h.settle(50 * time.Millisecond)
	}
	if len(h.acked) != before+n {
		h.t.Fatalf("%d of %d accepted", len(h.acked)-before, n)
	}
}

func (h *history) mustChange(to func(Membership) Membership) {
	result := make(chan outcome, 1)
	h.work(h.leader(), change{result: result, to: func(m Membership) (Membership, error) { return to(m), nil }})
	h.settle(200 * time.Millisecond)
	if out := <-result; out.err != nil {
		h.t.Fatal(out.err)
	}
}
