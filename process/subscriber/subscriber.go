// Package subscriber receives configuration updates and keeps a node's table
// current.
//
// It keeps a long-polling call open at one control host and applies each update as a
// whole or not at all. When a host does not reply in time, or cannot confirm that its
// state is current, others are called beside it, so that a few hosts that do not reply
// delay no update beyond MaxConfirmationAge. Before the first confirmed update the node
// has no table and rejects requests as not run. It continues to serve with its last
// table through any outage of the control hosts, but it is not ready while its
// confirmation is too old and a new one is expected.
//
// It also announces the node's targets, until its own table contains them.
//
// # Usage
//
//	s := &subscriber.Subscriber{Node: "host-a", Hosts: hosts, Tables: tables, Registrar: registrar, Client: client, Log: logger}
//	err := s.Run(ctx)
package subscriber

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
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

// DefaultMaxConfirmationAge is how old the confirmation of a table may be before the
// table counts as stale.
const DefaultMaxConfirmationAge = 2 * time.Second

const (
	announceTimeout = 3 * time.Second
	expireInterval  = 500 * time.Millisecond
	// stallTolerance is how late the process may run after a timer before it counts as
	// stalled: it got no processor time, or was stopped.
	stallTolerance = 200 * time.Millisecond
	// moveSyncWait replaces syncWait while a move runs. It is shorter, since each call
	// carries the node's evidence on the new version.
	moveSyncWait = 200 * time.Millisecond
	// moveSyncWaitPerNode times the number of nodes is a lower bound of the wait while
	// a move runs: the calls of all nodes arrive at a few small control hosts, and for
	// each call the leader must confirm that the state is current.
	moveSyncWaitPerNode = 2500 * time.Microsecond
	firstBackoff        = 50 * time.Millisecond
	// maxBackoff bounds the pause between two rounds of calls, and maxUnreadyBackoff that
	// of a node that has no configuration yet.
	maxBackoff        = 300 * time.Millisecond
	maxUnreadyBackoff = 150 * time.Millisecond
	// maxAnnounceBackoff bounds the pause between two announcements that failed.
	maxAnnounceBackoff = 2 * time.Second
)

// EvidenceProvider collects the node's evidence on the versions of running moves.
type EvidenceProvider interface {
	// TakeEvidence returns the evidence since the last call and removes it.
	TakeEvidence() []decider.Evidence
	// RequeueEvidence adds evidence that TakeEvidence returned and that could not be reported.
	RequeueEvidence(list []decider.Evidence)
}

// Subscriber exchanges updates, evidence and announcements between one node and
// the control hosts. Exported fields are set before Run.
type Subscriber struct {
	Node        string // Node is the node's name, unique in the mesh.
	DataCentre  string
	Address     string // Address is where other nodes send requests for this node's targets.
	Hosts       *locator.Locator
	Tables      *compiler.TableStore // Tables stores the table in force.
	Registrar   *registrar.Registrar // Registrar lists the targets of this host.
	Evidence    EvidenceProvider     // Evidence may be nil.
	Client      *messenger.Client    // Client sends announcements.
	Log         *log.Logger
	AsyncLogger *logger.AsyncLogger     // AsyncLogger may be nil.
	WrapConn    func(net.Conn) net.Conn // WrapConn, when set, wraps each connection for updates, to count bytes.
	// MaxConfirmationAge is DefaultMaxConfirmationAge when zero.
	MaxConfirmationAge time.Duration
	Now                func() time.Time // Now is the clock of confirmations, clock.Now when nil.

	pool        messenger.Pool
	lastSummary string // lastSummary describes the failures of the last round; syncLoop alone uses it.

	mu           sync.Mutex
	compiler     compiler.Compiler
	snapshot     differ.Snapshot
	position     differ.Have // position holds the version and digests of snapshot, since the digests take long to compute.
	incarnation  uint64
	leaving      bool
	nameConflict bool          // nameConflict means that another node, which started later, has this node's name.
	resync       bool          // resync makes the next call request the whole state.
	connected    bool          // connected means that the last round of calls succeeded.
	applied      chan struct{} // applied is closed when a table was stored.
}

// Run receives updates and announces targets until ctx ends. It always returns nil.
func (s *Subscriber) Run(ctx context.Context) error {
	s.pool.Preface, s.pool.MaxFrameBytes, s.pool.WrapConn = messenger.PrefaceNode, messenger.MaxNodeFrameBytes, s.WrapConn
	s.pool.DialTimeout = hostDialTimeout
	s.MaxConfirmationAge = cmp.Or(s.MaxConfirmationAge, DefaultMaxConfirmationAge)
	if s.Now == nil {
		s.Now = clock.Now
	}
	s.registerMetrics()
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
	tasks.Go(func() { s.monitorLoop(ctx) })
	tasks.Wait()
	return nil
}

// Ready reports whether the node has a configuration that is current, or that no control
// host can replace at present.
func (s *Subscriber) Ready() bool {
	return s.Tables.Table() != nil && s.Tables.Freshness(s.Now()) != compiler.FreshnessStale
}

// SectionEndsWith reports whether the named section is in force at this node and its
// text ends with ending.
func (s *Subscriber) SectionEndsWith(section, ending string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.snapshot.Sections, func(x differ.Section) bool {
		return x.Name == section && strings.HasSuffix(string(x.Body), ending)
	})
}

// Leave announces to the control hosts that this node has no targets any more. It
// returns the error of the last attempt when none succeeded before ctx ended.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	incarnation := s.incarnation
	s.mu.Unlock()
	return s.Client.AnnounceTargets(ctx, applier.Announcement{Node: s.Node, Incarnation: incarnation})
}

func (s *Subscriber) syncLoop(ctx context.Context) {
	pause := newBackoff(maxBackoff)
	picker := &assigner.Assigner{NodeName: s.Node}
	for ctx.Err() == nil {
		if s.syncRound(ctx, picker) {
			pause.Reset()
			continue
		}
		sleeper.Sleep(ctx, s.syncPause(pause))
	}
}

// syncPause returns the pause before the next round. It is short while the node has
// no configuration and so cannot serve requests.
func (s *Subscriber) syncPause(b *backoff.ExponentialBackOff) time.Duration {
	pause := b.NextBackOff()
	if s.Tables.Table() == nil {
		return min(pause, maxUnreadyBackoff)
	}
	return pause
}

func newBackoff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxInterval
	return b
}

// syncArgs returns the arguments of a call. Only the first call of a round carries
// evidence and waits for a change.
func (s *Subscriber) syncArgs(first bool) messenger.SyncArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, _ := s.Registrar.List()
	args := messenger.SyncArgs{Known: len(s.Hosts.List()), Report: messenger.NodeReport{
		Node: s.Node, Incarnation: s.incarnation, DataCentre: s.DataCentre,
		Version: s.snapshot.Version, Revision: s.snapshot.Revision, Targets: len(list), Leaving: s.leaving,
	}}
	if s.Tables.Table() != nil && !s.resync {
		args.Have = s.position
	}
	if !first {
		return args
	}
	if s.Evidence != nil {
		args.Report.Evidence = s.Evidence.TakeEvidence()
	}
	if args.Have == (differ.Have{}) || !s.connected {
		return args
	}
	args.Wait = min(syncWait, s.MaxConfirmationAge/2)
	if slices.ContainsFunc(s.snapshot.Traffics, func(t applier.Traffic) bool { return t.Move != nil && t.Move.Running() }) {
		args.Wait = min(args.Wait, moveSyncWaitFor(s.Tables.Table()))
	}
	return args
}

// moveSyncWaitFor returns how long a call may stay open while a move runs. t may be
// nil.
func moveSyncWaitFor(t *compiler.Table) time.Duration {
	if t == nil {
		return moveSyncWait
	}
	return max(moveSyncWait, time.Duration(t.NodeCount)*moveSyncWaitPerNode)
}

// setConnected stores whether the last round of calls succeeded.
func (s *Subscriber) setConnected(connected bool, host string) {
	s.mu.Lock()
	changed := s.connected != connected
	s.connected = connected
	s.mu.Unlock()
	if changed {
		s.Log.Info("control host connection changed", "connected", connected, "host", host)
	}
}

// apply applies an update as a whole: the update is merged with the snapshot, checked
// by its digest, compiled, and the new table then replaces the old one in one step.
// On an error the old table stays in force, and the next call requests the whole state.
// base is the position that the call sent. The first result reports whether the
// configuration version changed.
func (s *Subscriber) apply(u differ.Update, base differ.Have) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Tables.Table() != nil && u.LeadsTo(base) {
		return false, nil
	}
	next, err := differ.Apply(s.snapshot, u)
	if err != nil {
		resyncsTotal.Inc()
		s.resync = true
		return false, err
	}
	table, err := s.compiler.Compile(next)
	if err != nil {
		s.resync = true
		return false, err
	}
	if err := s.Tables.Store(table); err != nil {
		return false, err
	}
	changed := s.snapshot.Version != u.Version
	s.snapshot, s.resync = next, false
	s.position = u.Target()
	if u.ListHash == 0 {
		s.position = next.Position() // The update is from a host of an earlier build.
	}
	updatesTotal.Inc()
	versionGauge.Set(float64(u.Version))
	if s.AsyncLogger.AllowLine(lineApplied) {
		s.AsyncLogger.Info(lineApplied, "configVersion", u.Version, "from", base.Version, "revision", u.Revision, "sections", len(u.Sections),
			"endpoints", len(u.Endpoints), "gone", len(u.Gone), "total", len(next.Endpoints))
	}
	close(s.applied)
	s.applied = make(chan struct{})
	return changed, nil
}

// announceLoop announces the node's targets whenever the table lists other targets
// for this node, and targets that have left until a control host has recorded them.
func (s *Subscriber) announceLoop(ctx context.Context) {
	pause := newBackoff(maxAnnounceBackoff)
	var sent announcer
	for ctx.Err() == nil {
		list, changed := s.Registrar.List()
		departures := s.Registrar.UnconfirmedDepartures()
		announcement, applied, due := s.announcement(list, departures)
		if !due {
			sent = announcer{} // The next difference to the table is announced at once.
		}
		if !due || sent.recentlyAccepted(announcement, time.Now()) {
			sleeper.SleepOrSignal(ctx, repeatDelay, changed, applied)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := s.Client.AnnounceTargets(callCtx, announcement)
		cancel()
		s.Log.Info("targets announced", "targets", len(announcement.Endpoints), "left", len(departures), "err", err)
		if err != nil {
			sleeper.SleepOrSignal(ctx, pause.NextBackOff(), changed, nil)
			continue
		}
		pause.Reset()
		s.Registrar.ConfirmDepartures(departures)
		sent.recordAccepted(announcement, time.Now())
	}
}

// announcement returns this node's announcement, a channel that is closed at the
// next change of the table, and whether the announcement differs from the table and
// must be sent. A departure must be sent always.
func (s *Subscriber) announcement(list []registrar.Announcement, departures []registrar.Departure) (applier.Announcement, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []applier.Endpoint
	conflict := false
	for _, e := range s.snapshot.Endpoints {
		if e.Node != s.Node {
			continue
		}
		if e.Address != s.Address && e.Incarnation > s.incarnation {
			conflict = true
			continue
		}
		// An endpoint of an earlier incarnation of this node must not count as newer
		// than the current one.
		s.incarnation = max(s.incarnation, e.Incarnation)
		e.Modified = 0
		listed = append(listed, e)
	}
	a := applier.Announcement{Node: s.Node, Incarnation: s.incarnation, Departures: s.departuresOf(departures)}
	if !s.leaving {
		for _, t := range list {
			a.Endpoints = append(a.Endpoints, s.endpointOf(t))
		}
	}
	s.setNameConflict(conflict)
	differs := len(departures) > 0 || !slices.Equal(listed, a.Endpoints)
	due := s.Tables.Table() != nil && !conflict && differs
	return a, s.applied, due
}

// setNameConflict stores whether a node that started later, at another address, has
// this node's name. The later node keeps the name: if both announced, they would
// replace each other's targets without end.
func (s *Subscriber) setNameConflict(conflict bool) {
	if conflict && !s.nameConflict {
		conflictsTotal.Inc()
		s.Log.Error("another node uses this node's name; rename one of the two and restart it", "node", s.Node)
	}
	s.nameConflict = conflict
}

// endpointOf returns the endpoint that other nodes receive for a target.
func (s *Subscriber) endpointOf(t registrar.Announcement) applier.Endpoint {
	return applier.Endpoint{
		EndpointKey: applier.EndpointKey{Node: s.Node, Target: t.Target}, Incarnation: s.incarnation,
		Address: s.Address, DataCentre: s.DataCentre, Service: t.Service, Version: t.Version,
		Slots: t.Slots, Connections: t.Connections, StartedAt: t.StartedAt,
	}
}

// expireLoop removes targets whose lease has expired.
func (s *Subscriber) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, expireInterval)
		s.Registrar.ExpireLeases()
	}
}
