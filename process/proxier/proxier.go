// Package proxier runs the node role: the proxy process beside the targets of
// one host.
//
// It serves callers at the entry address, other nodes at the peer address, and
// the targets of its own host at the announce address. A subscriber keeps its
// table current.
//
// A planned stop ends no request early: the node reports at once that it is not
// ready and requests that callers open new connections at other nodes; when the callers
// have left, its targets are removed from the tables of all nodes; and only when no
// request is in flight are the listeners closed.
//
// # Usage
//
//	p := &proxier.Proxier{Settings: settings, Hosts: hosts, Log: logger, Tracer: tracer, Translator: translator.Own{}}
//	err := p.Open()
//	err = p.Run(ctx)
package proxier

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/logger"
	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/process/configurer"
	"github.com/hornbeamrack/hornbeamrack/process/subscriber"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/budgeter"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/request/meter"
	"github.com/hornbeamrack/hornbeamrack/request/observer"
	"github.com/hornbeamrack/hornbeamrack/request/quarantiner"
	"github.com/hornbeamrack/hornbeamrack/request/receiver"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

const (
	// minPeerHeaderBytes is the least limit on the header of a request from another node,
	// and addedHeaderBytes bounds what an entry node adds to that of its caller.
	minPeerHeaderBytes   = 1 << 20
	addedHeaderBytes     = 64 << 10
	maxPeerBodyBytes     = 128 << 20
	peerIdleTimeout      = 60 * time.Second
	announceTimeout      = 5 * time.Second
	maxAnnounceBodyBytes = 16 << 10
	bytesPerMegabit      = 1e6 / 8
	// bodyMemoryDivisor gives the part of a node's memory that bodies of requests may take.
	bodyMemoryDivisor = 3
	drainPollInterval = 20 * time.Millisecond
	leaveTimeout      = time.Second
	// departureTimeout is less than the second for which targets wait for an
	// acknowledgement.
	departureTimeout = 850 * time.Millisecond
	// maxCallerWait and minCallerWait bound the wait for callers to change to another
	// node; callers check the readiness of the node each second.
	maxCallerWait = 2400 * time.Millisecond
	minCallerWait = time.Second
	// stopMargin is the time between the deadline for requests in flight and the end
	// of the stop time in the settings.
	stopMargin = 600 * time.Millisecond
	// serveDivisor divides the stop time: new requests are accepted during the first
	// 1/serveDivisor of it, and the rest is left to finish them.
	serveDivisor = 2
	// lastResponseMargin is the time between the latest deadline of a request that is
	// accepted during a stop and the end of the connections.
	lastResponseMargin = 100 * time.Millisecond
	// quietPeriod is the time without a request after which the callers count as
	// connected to other nodes.
	quietPeriod = 500 * time.Millisecond
)

// Kind is the cause of an Error.
type Kind string

// The kinds of proxier errors.
const (
	KindListen Kind = "listen" // KindListen means that an address could not be listened on.
)

// Error is the only error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind
	Err  error // Err is the cause.
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("proxier: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Proxier runs one node. Exported fields are set before Open.
type Proxier struct {
	Settings    configurer.Settings
	Hosts       *locator.Locator // Hosts holds the addresses of the control hosts.
	Log         *log.Logger
	AsyncLogger *logger.AsyncLogger // AsyncLogger may be nil.
	Tracer      *tracer.Tracer
	Translator  translator.Translator   // Translator reads and writes the headers of requests and responses.
	WrapConn    func(net.Conn) net.Conn // WrapConn, when set, wraps each connection to control hosts, to count bytes.

	tables      compiler.TableStore
	registrar   *registrar.Registrar
	executor    *executor.Executor
	observer    *observer.Observer
	quarantiner *quarantiner.Quarantiner
	receiver    *receiver.Receiver
	subscriber  *subscriber.Subscriber
	pool        *messenger.Pool
	entry, peer *acceptor.Server
	origin      atomic.Pointer[string]
	listeners   [3]net.Listener // listeners is indexed by entryListener, peerListener and announceListener.
	draining    atomic.Bool
}

// The indexes of Proxier.listeners.
const (
	entryListener = iota
	peerListener
	announceListener
)

// Open creates the parts of the node and listens on its addresses. It returns an
// Error of KindListen when an address cannot be listened on.
func (p *Proxier) Open() error {
	n := p.Settings.Node
	for i, address := range []string{n.EntryAddress, n.PeerAddress, n.AnnounceAddress} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return &Error{"open", KindListen, err}
		}
		p.listeners[i] = l
	}
	p.pool = &messenger.Pool{Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes, WrapConn: p.WrapConn}
	client := &messenger.Client{Hosts: p.Hosts, Pool: p.pool, NodeName: p.Settings.Name}
	p.registrar = &registrar.Registrar{QueueLimit: n.QueueLimit, Log: p.Log}
	p.observer = &observer.Observer{Tables: &p.tables}
	p.quarantiner = &quarantiner.Quarantiner{Tables: &p.tables, Reports: crashReporter{p.Settings.Name, client}, Logger: p.AsyncLogger}
	p.executor = &executor.Executor{
		Targets: p.registrar, Claims: messenger.ClaimsClient{Client: client}, Observer: p.observer, Runs: p.quarantiner,
		Tracer: p.Tracer, Translator: p.Translator, ClaimLifetime: n.ClaimLifetime.AsDuration(),
		Link: &meter.Link{BytesPerSecond: n.LinkMbps * bytesPerMegabit}, Logger: p.AsyncLogger,
	}
	p.receiver = &receiver.Receiver{
		Node: p.Settings.Name, Tables: &p.tables, Owner: p.executor, Tracer: p.Tracer, Translator: p.Translator,
		Breaker: p.observer, Poison: p.quarantiner, Logger: p.AsyncLogger,
		Budget: budgeter.Budgeter{Ratio: p.Settings.Retries.Ratio, Slack: p.Settings.Retries.Slack},
	}
	p.SetOrigin(p.Settings.Edge.Service)
	p.subscriber = &subscriber.Subscriber{
		Node: p.Settings.Name, DataCentre: p.Settings.DataCentre, Address: n.PeerAddress, Hosts: p.Hosts,
		Tables: &p.tables, Registrar: p.registrar, Evidence: p.observer, Client: client, Log: p.Log, AsyncLogger: p.AsyncLogger, WrapConn: p.WrapConn,
		MaxConfirmationAge: n.MaxConfirmationAge.AsDuration(),
	}
	bodies := acceptor.NewBodyMemory(p.bodyMemory())
	p.entry = &acceptor.Server{Handler: p.receiver.Handle, Limits: p.callerLimits, Bodies: bodies}
	p.peer = &acceptor.Server{Handler: p.executor.Handle, Limits: p.peerLimits, Bodies: bodies}
	return nil
}

// bodyMemory returns the memory for the bodies of open requests, in bytes: a part of the
// memory at which the host kills this process, if that is known.
func (p *Proxier) bodyMemory() int {
	if p.Settings.HardLimitMB == 0 {
		return acceptor.DefaultBodyMemory
	}
	return p.Settings.HardLimitMB << 20 / bodyMemoryDivisor
}

// SetOrigin sets the service of the targets on this host, empty for any. It may be
// called while the node runs.
func (p *Proxier) SetOrigin(service string) {
	p.origin.Store(&service)
	p.receiver.SetOrigin(service)
}

// Origin returns the service of the targets on this host, empty for any.
func (p *Proxier) Origin() string { return *p.origin.Load() }

// Announce registers a target of this host or renews its lease. It returns the
// registrar's error when the announcement is not valid or not allowed, or when a leave
// is in force but may not be acknowledged yet.
func (p *Proxier) Announce(a registrar.Announcement) error {
	if err := p.registrar.Announce(a); err != nil || !a.Leaving {
		return err
	}
	return p.awaitDeparture(a.Target)
}

// MarkLeaving stops new requests to a target of this host; startedAt is 0 for any
// incarnation of it. It returns an error when the target is not registered, or when the
// leave is in force but may not be acknowledged yet.
func (p *Proxier) MarkLeaving(target string, startedAt int64) error {
	err := p.registrar.MarkLeaving(target, startedAt)
	if unrecorded := p.awaitDeparture(target); unrecorded != nil {
		return unrecorded
	}
	return err
}

// awaitDeparture waits until control hosts have recorded that a target leaves. An
// acknowledged leave thus outlives this process.
func (p *Proxier) awaitDeparture(target string) error {
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	return p.registrar.AwaitDeparture(ctx, target)
}

// callerLimits returns the limits on callers' requests in the configuration in force.
func (p *Proxier) callerLimits() acceptor.Limits {
	t := p.tables.Table()
	if t == nil {
		return acceptor.Limits{}
	}
	l := t.Limits
	return acceptor.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes,
		HeaderTimeout: l.HeaderTimeout.AsDuration(), IdleTimeout: l.IdleTimeout.AsDuration()}
}

// peerLimits returns limits that every request accepted by an entry node meets, with
// the headers that the entry node adds. The entry node may have a newer configuration.
func (p *Proxier) peerLimits() acceptor.Limits {
	header := max(minPeerHeaderBytes, p.callerLimits().HeaderBytes+addedHeaderBytes)
	return acceptor.Limits{HeaderBytes: header, BodyBytes: maxPeerBodyBytes, IdleTimeout: peerIdleTimeout}
}

// crashReporter sends reports of crashes and of served requests to the control hosts.
type crashReporter struct {
	node   string
	client *messenger.Client
}

// ReportCrash implements quarantiner.ReportProvider.
func (r crashReporter) ReportCrash(ctx context.Context, report applier.ReportCrash) error {
	report.Node, report.At = r.node, time.Now()
	return r.send(ctx, report)
}

// ReportServed implements quarantiner.ReportProvider.
func (r crashReporter) ReportServed(ctx context.Context, served []applier.ServedRequest) error {
	return r.send(ctx, applier.Announce{Served: served, At: time.Now()})
}

// send sends a command to the leader of the configuration group until it is accepted.
func (r crashReporter) send(ctx context.Context, c applier.Command) error {
	b, err := applier.Encode(c)
	if err != nil {
		return err
	}
	_, err = r.client.SendCommand(ctx, messenger.GroupConfig, b)
	return err
}

// Ready reports whether the node is not stopping and has a configuration to serve by, as
// Subscriber.Ready reports.
func (p *Proxier) Ready() bool { return !p.draining.Load() && p.subscriber.Ready() }

// Run serves until ctx ends, then stops without ending requests early, as far as the
// stop time in the settings allows. It always returns nil.
func (p *Proxier) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var servers, tasks conc.WaitGroup
	servers.Go(func() { p.serve(p.entry, p.listeners[entryListener]) })
	servers.Go(func() { p.serve(p.peer, p.listeners[peerListener]) })
	announceApp := p.announceApp()
	if l := p.listeners[announceListener]; l != nil {
		servers.Go(func() { _ = announceApp.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) })
	}
	tasks.Go(func() { _ = p.subscriber.Run(workCtx) })
	<-ctx.Done()
	deadline := time.Now().Add(p.Settings.StopTime.AsDuration() - stopMargin)
	p.drain(deadline)
	stopCtx, cancelStop := context.WithDeadline(context.Background(), deadline)
	defer cancelStop()
	for _, s := range []*acceptor.Server{p.entry, p.peer} {
		if err := s.Shutdown(stopCtx); err != nil {
			p.Log.Warn("planned stop: requests still in flight at the deadline were cut off", "err", err)
		}
	}
	for _, l := range p.listeners[:announceListener] {
		_ = l.Close()
	}
	p.executor.Wait()
	p.quarantiner.Wait(stopCtx)
	_ = announceApp.ShutdownWithContext(stopCtx)
	servers.Wait()
	cancel()
	tasks.Wait()
	p.pool.Close()
	return nil
}

// serve accepts connections of l until the listener is closed.
func (p *Proxier) serve(s *acceptor.Server, l net.Listener) {
	if err := s.Serve(l); err != nil {
		p.Log.Error("listener stopped", "address", l.Addr(), "err", err)
	}
}

// drain first waits until the callers have changed to other nodes, while the node's
// targets still serve all nodes; then it removes the targets from the tables of all
// nodes, and waits until no request is in flight or deadline has passed. So the
// targets are out of service for little longer than the node.
func (p *Proxier) drain(deadline time.Time) {
	start := time.Now()
	p.draining.Store(true)
	p.Log.Info("planned stop started", "limit", deadline.Format(time.RFC3339Nano), "open", p.entry.OpenRequests(), "inFlight", p.executor.InFlight())
	p.entry.Drain()
	p.receiver.Drain()
	p.receiver.FinishBy(deadline.Add(-lastResponseMargin))
	lastEntry := start.Add(p.Settings.StopTime.AsDuration() / serveDivisor)
	// The steps below may take longer, since control hosts may not reply.
	stopReceiving := time.AfterFunc(time.Until(lastEntry), p.receiver.Stop)
	defer stopReceiving.Stop()
	p.awaitCallers(start, min(maxCallerWait, lastEntry.Sub(start)))
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.subscriber.Leave(leaveCtx); err != nil {
		p.Log.Warn("planned stop could not be announced to a control host; other nodes will detect it", "err", err)
	}
	// Requests that other nodes send until their tables are updated are still served.
	time.Sleep(p.Settings.Node.DrainTime.AsDuration())
	p.registrar.MarkAllLeaving()
	busy := func() bool { return p.executor.InFlight() > 0 || p.entry.OpenRequests() > 0 }
	for time.Now().Before(deadline) && (busy() || time.Now().Before(lastEntry) && !p.quiet()) {
		time.Sleep(drainPollInterval)
	}
	p.receiver.Stop()
	p.Log.Info("planned stop: drain ended", "open", p.entry.OpenRequests(), "inFlight", p.executor.InFlight(), "late", !time.Now().Before(deadline))
}

// awaitCallers waits until no caller has sent a request for quietPeriod, but at least
// minCallerWait and at most maxWait after start.
func (p *Proxier) awaitCallers(start time.Time, maxWait time.Duration) {
	for elapsed := time.Duration(0); elapsed < maxWait; elapsed = time.Since(start) {
		if elapsed >= minCallerWait && p.quiet() {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// quiet reports whether no caller has sent a request for quietPeriod.
func (p *Proxier) quiet() bool { return time.Since(p.entry.LastRequestAt()) >= quietPeriod }

// announceApp returns the HTTP server for the targets of this host.
func (p *Proxier) announceApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxAnnounceBodyBytes, ReadTimeout: announceTimeout, IdleTimeout: time.Minute})
	app.Use(requireSameHost)
	app.Post("/v1/announce", p.handleAnnounce)
	app.Post("/v1/leave", p.handleLeave)
	return app
}

// requireSameHost rejects requests that do not come from this host with status 403.
func requireSameHost(ctx fiber.Ctx) error {
	remote := ctx.RequestCtx().RemoteIP()
	local, ok := ctx.RequestCtx().LocalAddr().(*net.TCPAddr)
	if remote.IsLoopback() || (ok && remote.Equal(local.IP)) {
		return ctx.Next()
	}
	return fiber.NewError(fiber.StatusForbidden, "announcements are accepted only from targets on this host")
}

// handleAnnounce registers a target or renews its lease. The response holds the time
// by which the target must renew its lease.
func (p *Proxier) handleAnnounce(ctx fiber.Ctx) error {
	var a registrar.Announcement
	if err := json.Unmarshal(ctx.Body(), &a); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "request body: "+err.Error())
	}
	if err := p.Announce(a); err != nil {
		return announceError(err)
	}
	return ctx.JSON(struct {
		RenewBy time.Time `json:"renewBy"`
	}{time.Now().Add(registrar.LeaseDuration / 3)})
}

// handleLeave stops new requests to a target. The response holds the number of its
// requests in flight.
func (p *Proxier) handleLeave(ctx fiber.Ctx) error {
	var a struct {
		Target string `json:"target"`
	}
	if err := json.Unmarshal(ctx.Body(), &a); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "request body: "+err.Error())
	}
	if err := p.MarkLeaving(a.Target, 0); err != nil {
		return announceError(err)
	}
	inFlight := 0
	if t, ok := p.registrar.Find(a.Target); ok {
		inFlight = t.Limiter.Used()
	}
	return ctx.JSON(struct {
		InFlight int `json:"inFlight"`
	}{inFlight})
}

// announceError returns err with the HTTP status that fits its kind.
func announceError(err error) error {
	var registrarErr *registrar.Error
	if !errors.As(err, &registrarErr) {
		return err
	}
	status := fiber.StatusBadRequest
	switch registrarErr.Kind {
	case registrar.KindUnknownTarget:
		status = fiber.StatusNotFound
	case registrar.KindFull:
		status = fiber.StatusTooManyRequests
	case registrar.KindUnconfirmed:
		status = fiber.StatusServiceUnavailable
	}
	return fiber.NewError(status, err.Error())
}
