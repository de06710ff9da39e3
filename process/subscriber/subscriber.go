// Package subscriber keeps a node's table current.
//
// It holds a long call open at one control host, takes each update whole or
// not at all, and moves on to another host when one is silent or cannot
// confirm that its state is current. Before the first confirmed update the
// node has no table and refuses requests as not run; after that it serves on
// through any outage with what it has.
//
// It also makes the node's targets known, until it sees them in its own table.
//
// # Usage
//
//	s := &subscriber.Subscriber{Node: "host-a", Hosts: hosts, Keeper: keeper, Registrar: registrar}
//	err := s.Run(ctx)
package subscriber

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/logger"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/assigner"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// lineApplied is the kind of the lines on updates.
const lineApplied = "update applied"

const (
	// syncWait is how long a call stays open; a control host that a partition
	// has cut off is noticed at the latest after syncTimeout.
	syncWait    = 700 * time.Millisecond
	syncTimeout = syncWait + 500*time.Millisecond
	// hostDialTimeout is short, since another control host can be asked.
	hostDialTimeout = 400 * time.Millisecond
	announceLimit   = 3 * time.Second
	expireInterval  = 500 * time.Millisecond
	// moveWait is how long a call stays open while a move runs, since each call
	// carries what the node saw of the new version.
	moveWait = 200 * time.Millisecond
	// moveCost is what each node of the mesh adds to moveWait: the calls of all
	// nodes meet at a few small control hosts, and each wants a confirmed state of
	// their leader.
	moveCost     = 2500 * time.Microsecond
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// unreadyBackoff bounds the pause of a node that has no configuration yet.
	unreadyBackoff = 150 * time.Millisecond
)

// EvidenceProvider gives what the node saw since the last call.
type EvidenceProvider interface {
	Take() []decider.Evidence
	// Return takes back what could not be reported.
	Return(list []decider.Evidence)
}

// Subscriber is one node's link to the control hosts. Exported fields are set
// before Run.
type Subscriber struct {
	Node        string
	DataCentre  string
	Address     string // Address is where other nodes send requests for this node's targets.
	Hosts       *locator.Locator
	Tables      *compiler.TableStore
	Registrar   *registrar.Registrar
	Evidence    EvidenceProvider // Evidence may be nil.
	Client      *messenger.Client
	Log         *log.Logger
	AsyncLogger *logger.AsyncLogger // Journal may be nil.
	WrapConn    func(net.Conn) net.Conn

	pool messenger.Pool

	mu          sync.Mutex
	compiler    compiler.Compiler
	holding     differ.Snapshot
	have        differ.Position // have describes holding, whose digests take long to work out.
	incarnation uint64
	leaving     bool
	usurped     bool // usurped means that another node has this node's name.
	resync      bool // resync makes the next call ask for everything.
	confirmedAt time.Time
	connected   bool
	applied     chan struct{} // applied is closed when a table was put in place.
}

var (
	updatesTotal   = metrics.NewCounter("hornbeam_updates_total")
	resyncsTotal   = metrics.NewCounter("hornbeam_resyncs_total")
	conflictsTotal = metrics.NewCounter("hornbeam_name_conflicts_total")
	rejectedTotal  = metrics.NewCounter("hornbeam_updates_rejected_total")
)

// Run works until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.pool.Preface, s.pool.MaxFrameBytes, s.pool.WrapConn = messenger.PrefaceNode, messenger.MaxNodeFrameBytes, s.WrapConn
	s.pool.DialTimeout = hostDialTimeout
	s.mu.Lock()
	s.incarnation = uint64(time.Now().UnixNano())
	s.applied = make(chan struct{})
	s.compiler.DataCentre = s.DataCentre
	s.mu.Unlock()
	defer s.pool.Close()
	var tasks conc.WaitGroup
	tasks.Go(func() { s.syncLoop(ctx) })
	tasks.Go(func() { s.announceLoop(ctx) })
	tasks.Go(func() { s.expireLoop(ctx) })
	tasks.Wait()
	return nil
}

// Ready reports whether the node has a confirmed configuration.
func (s *Subscriber) Ready() bool { return s.Tables.Table() != nil }

// ConfirmedAt returns when the table was last known to be current.
func (s *Subscriber) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// SectionEndsWith reports whether a section that is in force at this node ends with the
// given text.
func (s *Subscriber) SectionEndsWith(section, ending string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.holding.Sections, func(x differ.Section) bool {
		return x.Name == section && strings.HasSuffix(string(x.Body), ending)
	})
}

// Leave tells the control hosts that this node's targets take no more work.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	incarnation := s.incarnation
	s.mu.Unlock()
	return s.Client.AnnounceTargets(ctx, applier.Announcement{Node: s.Node, Incarnation: incarnation})
}

func (s *Subscriber) syncLoop(ctx context.Context) {
	pause := newBackoff()
	hosts := assigner.Assigner{NodeName: s.Node}
	last := ""
	for ctx.Err() == nil {
		address := hosts.Pick(s.Hosts.List(), time.Now())
		if last != "" && address != last {
			s.pool.Remove(last)
		}
		last = address
		if s.syncOnce(ctx, address) {
			pause.Reset()
			continue
		}
		s.setConnected(false, address)
		hosts.RecordFailure(address, time.Now())
		sleeper.Sleep(ctx, s.syncPause(pause))
	}
}

// syncPause is short while the node cannot serve at all.
func (s *Subscriber) syncPause(b *backoff.ExponentialBackOff) time.Duration {
	pause := b.NextBackOff()
	if !s.Ready() {
		return min(pause, unreadyBackoff)
	}
	return pause
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	return b
}

// syncOnce makes one call and reports whether the host is of use; one that names
// hosts which this node did not know is.
func (s *Subscriber) syncOnce(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	args := s.args()
	var reply messenger.SyncReply
	err := s.pool.Get(address).Call(call, messenger.MethodSync, args, &reply)
	if err == nil {
		s.Hosts.SetMembers(reply.Hosts)
	}
	if err != nil || !reply.Confirmed {
		if s.Evidence != nil {
			s.Evidence.Return(args.Report.Evidence)
		}
		return len(s.Hosts.List()) > args.Known
	}
	update, err := differ.Unpack(reply.Update)
	if err == nil {
		err = s.apply(update, args.Have)
	}
	if err != nil {
		rejectedTotal.Inc()
		s.Log.Warn("update rejected", "from", address, "err", err)
		return false
	}
	s.mu.Lock()
	s.confirmedAt = start
	s.mu.Unlock()
	s.setConnected(true, address)
	return true
}

func (s *Subscriber) args() messenger.SyncArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, _ := s.Registrar.List()
	args := messenger.SyncArgs{Wait: syncWait, Known: len(s.Hosts.List()), Report: messenger.NodeReport{
		Node: s.Node, Incarnation: s.incarnation, DataCentre: s.DataCentre,
		Version: s.holding.Version, Revision: s.holding.Revision, Targets: len(list), Leaving: s.leaving,
	}}
	if s.Tables.Table() != nil && !s.resync {
		args.Have = s.have
	} else {
		args.Wait = 0
	}
	if s.Evidence != nil {
		args.Report.Evidence = s.Evidence.Take()
	}
	if slices.ContainsFunc(s.holding.Traffics, func(t applier.Traffic) bool { return t.Move != nil && t.Move.Running() }) {
		args.Wait = min(args.Wait, reportWait(s.Tables.Table()))
	}
	return args
}

// reportWait is how long a call stays open while a move runs.
func reportWait(t *compiler.Table) time.Duration {
	if t == nil {
		return moveWait
	}
	return max(moveWait, time.Duration(t.NodeCount)*moveCost)
}

func (s *Subscriber) setConnected(connected bool, address string) {
	s.mu.Lock()
	changed := s.connected != connected
	s.connected = connected
	s.mu.Unlock()
	if changed {
		s.Log.Info("control", "connected", connected, "host", address)
	}
}

// apply takes an update in whole: it is merged, checked by its digest,
// compiled aside, and put in place in one step.
func (s *Subscriber) apply(u differ.Update, have differ.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Tables.Table() != nil && u.EmptyFor(have) && u.Digest == have.Digest && u.EndpointsHash == have.EndpointsHash {
		return nil
	}
	next, err := differ.Apply(s.holding, u)
	if err != nil {
		resyncsTotal.Inc()
		s.resync = true
		return err
	}
	table, err := s.compiler.Compile(next)
	if err != nil {
		return err
	}
	if err := s.Tables.Store(table); err != nil {
		return err
	}
	s.holding, s.resync = next, false
	s.have = differ.Position{Version: u.Version, Digest: u.Digest, Revision: u.Revision, EndpointsHash: u.EndpointsHash}
	updatesTotal.Inc()
	if s.AsyncLogger.AllowLine(lineApplied) {
		s.AsyncLogger.Info(lineApplied, "configVersion", u.Version, "from", have.Version, "revision", u.Revision, "sections", len(u.Sections),
			"endpoints", len(u.Endpoints), "gone", len(u.Gone), "total", len(next.Endpoints))
	}
	close(s.applied)
	s.applied = make(chan struct{})
	return nil
}

// announceLoop makes the node's targets known whenever the table shows
// something else.
func (s *Subscriber) announceLoop(ctx context.Context) {
	pause := newBackoff()
	var sent announcer
	for ctx.Err() == nil {
		list, changed := s.Registrar.List()
		announcement, applied, due := s.announcement(list)
		if !due {
			sent = announcer{} // Whatever the table shows next instead is news.
		}
		if !due || sent.rests(announcement, time.Now()) {
			sleeper.SleepOrSignal(ctx, repeatTime, changed, applied)
			continue
		}
		call, cancel := context.WithTimeout(ctx, announceLimit)
		err := s.Client.AnnounceTargets(call, announcement)
		cancel()
		s.Log.Info("targets listed", "targets", len(announcement.Endpoints), "err", err)
		if err != nil {
			sleeper.SleepOrSignal(ctx, pause.NextBackOff(), changed, nil)
			continue
		}
		pause.Reset()
		sent.took(announcement, time.Now())
	}
}

// announcement compares the targets with the table.
func (s *Subscriber) announcement(list []registrar.Announcement) (applier.Announcement, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mine []applier.Endpoint
	usurped := false
	for _, e := range s.holding.Endpoints {
		if e.Node != s.Node {
			continue
		}
		if e.Address != s.Address && e.Incarnation > s.incarnation {
			usurped = true
			continue
		}
		// An earlier life of this node cannot stand above this one.
		s.incarnation = max(s.incarnation, e.Incarnation)
		e.Modified = 0
		mine = append(mine, e)
	}
	a := applier.Announcement{Node: s.Node, Incarnation: s.incarnation}
	if !s.leaving {
		for _, t := range list {
			a.Endpoints = append(a.Endpoints, s.endpoint(t))
		}
	}
	s.setUsurped(usurped)
	due := s.Tables.Table() != nil && !usurped && !slices.Equal(mine, a.Endpoints)
	return a, s.applied, due
}

// setUsurped notes whether a node that started later, at another address, has
// this node's name. Such a node wins: if both went on announcing, they would
// push each other's targets out without end.
func (s *Subscriber) setUsurped(usurped bool) {
	if usurped && !s.usurped {
		conflictsTotal.Inc()
		s.Log.Error("another node has this node's name; give one of them another and restart it", "node", s.Node)
	}
	s.usurped = usurped
}

func (s *Subscriber) endpoint(t registrar.Announcement) applier.Endpoint {
	return applier.Endpoint{
		EndpointKey: applier.EndpointKey{Node: s.Node, Target: t.Target}, Incarnation: s.incarnation,
		Address: s.Address, DataCentre: s.DataCentre, Service: t.Service, Version: t.Version,
		Slots: t.Slots, Connections: t.Connections, StartedAt: t.StartedAt,
	}
}

func (s *Subscriber) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, expireInterval)
		s.Registrar.ExpireLeases()
	}
}
