// Package proxier runs the node role: the process beside the targets of one
// host.
//
// It serves callers at the entry address, other nodes at the peer address, and
// the targets of its own host at the announce address, and keeps its table
// current through a subscriber.
//
// A planned stop cuts nothing: the node is not ready at once and asks callers
// to open new connections elsewhere; when they have left, its targets are taken
// out of every table; and only when no request is in flight do the listeners
// close.
//
// # Usage
//
//	p := &proxier.Proxier{Settings: settings, Log: logger, Tracer: tracer}
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
	maxPeerHeader   = 64 << 10  // bytes
	maxPeerBody     = 128 << 20 // bytes
	peerIdleTime    = 60 * time.Second
	announceTimeout = 5 * time.Second
	maxAnnounceBody = 16 << 10 // bytes
	bytesPerMegabit = 1e6 / 8
	drainCheck      = 20 * time.Millisecond
	leaveTimeout    = time.Second
	// callerTime and leastCallerTime bound the wait for callers, who look at
	// the node's readiness each second, to go elsewhere.
	callerTime      = 2400 * time.Millisecond
	leastCallerTime = time.Second
	// stopMargin is kept between the end of a planned stop and its limit.
	stopMargin = 600 * time.Millisecond
	// servePart is the part of a planned stop, one in so many, during which new
	// requests are still begun; the rest is for finishing them.
	servePart = 2
	// quietTime without a request shows that the callers have gone elsewhere.
	quietTime = 500 * time.Millisecond
)

// Kind tells why the node could not run.
type Kind string

// The kinds of proxier errors.
const (
	KindListen Kind = "listen"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("proxier: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Proxier is one node. Exported fields are set before Open.
type Proxier struct {
	Settings    configurer.Settings
	Hosts       *locator.Locator
	Log         *log.Logger
	AsyncLogger *logger.AsyncLogger
	Tracer      *tracer.Tracer
	Translator  translator.Translator
	WrapConn    func(net.Conn) net.Conn // Wrap, when set, sees each connection to control hosts, for counting.

	keeper      compiler.TableStore
	registrar   *registrar.Registrar
	executor    *executor.Executor
	observer    *observer.Observer
	quarantiner *quarantiner.Quarantiner
	receiver    *receiver.Receiver
	subscriber  *subscriber.Subscriber
	pool        *messenger.Pool
	entry, peer *acceptor.Server
	origin      atomic.Pointer[string]
	listeners   [3]net.Listener // listeners stand at the places below.
	draining    atomic.Bool
}

// The places of the listeners.
const (
	entryPlace = iota
	peerPlace
	announcePlace
)

// Open builds the node and starts to listen.
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
	p.observer = &observer.Observer{Tables: &p.keeper}
	p.quarantiner = &quarantiner.Quarantiner{Tables: &p.keeper, Reports: crashReports{p.Settings.Name, client}}
	p.executor = &executor.Executor{
		Targets: p.registrar, Claims: messenger.ClaimsClient{Client: client}, Observer: p.observer, Crashes: p.quarantiner,
		Tracer: p.Tracer, Translator: p.Translator, ClaimLifetime: n.ClaimLifetime.AsDuration(),
		Link: &meter.Link{BytesPerSecond: n.LinkMbps * bytesPerMegabit},
	}
	p.receiver = &receiver.Receiver{
		Node: p.Settings.Name, Tables: &p.keeper, Owner: p.executor, Tracer: p.Tracer, Translator: p.Translator,
		Breaker: p.observer, Poison: p.quarantiner, Logger: p.AsyncLogger,
		Budget: budgeter.Budgeter{Ratio: p.Settings.Retries.Ratio, Slack: p.Settings.Retries.Slack},
	}
	p.SetOrigin(p.Settings.Edge.Service)
	p.subscriber = &subscriber.Subscriber{
		Node: p.Settings.Name, DataCentre: p.Settings.DataCentre, Address: n.PeerAddress, Hosts: p.Hosts,
		Tables: &p.keeper, Registrar: p.registrar, Evidence: p.observer, Client: client, Log: p.Log, AsyncLogger: p.AsyncLogger, WrapConn: p.WrapConn,
	}
	p.entry = &acceptor.Server{Handler: p.receiver.Handle, Limits: p.callerLimits}
	p.peer = &acceptor.Server{Handler: p.executor.Handle, Limits: peerLimits}
	return nil
}

// SetOrigin names the service of the targets on this host.
func (p *Proxier) SetOrigin(service string) {
	p.origin.Store(&service)
	p.receiver.SetOrigin(service)
}

// Origin returns the service of the targets on this host, empty for any.
func (p *Proxier) Origin() string { return *p.origin.Load() }

// Announce takes in a target of this host.
func (p *Proxier) Announce(a registrar.Announcement) error { return p.registrar.Announce(a) }

// Leave stops new work at a target of this host.
func (p *Proxier) Leave(target string, startedAt int64) error {
	return p.registrar.Leave(target, startedAt)
}

// callerLimits are what the configuration in force allows callers.
func (p *Proxier) callerLimits() acceptor.Limits {
	t := p.keeper.Table()
	if t == nil {
		return acceptor.Limits{}
	}
	l := t.Limits
	return acceptor.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes,
		HeaderTimeout: l.HeaderTimeout.AsDuration(), IdleTimeout: l.IdleTimeout.AsDuration()}
}

// peerLimits let through whatever an entry node has let in, with its order.
func peerLimits() acceptor.Limits {
	return acceptor.Limits{HeaderBytes: maxPeerHeader, BodyBytes: maxPeerBody, IdleTimeout: peerIdleTime}
}

// crashReports takes reports of crashes to the control hosts.
type crashReports struct {
	node   string
	client *messenger.Client
}

// ReportCrash implements quarantiner.ReportProvider.
func (r crashReports) ReportCrash(ctx context.Context, service string, signature uint64) error {
	b, err := applier.Encode(applier.ReportCrash{Service: service, Signature: signature, Node: r.node, At: time.Now()})
	if err != nil {
		return err
	}
	_, err = r.client.SendCommand(ctx, messenger.GroupConfig, b)
	return err
}

// Ready reports whether the node serves requests.
func (p *Proxier) Ready() bool { return !p.draining.Load() && p.subscriber.Ready() }

// Run serves until ctx ends, then stops without cutting a request.
func (p *Proxier) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var servers, tasks conc.WaitGroup
	servers.Go(func() { p.serve(p.entry, p.listeners[entryPlace]) })
	servers.Go(func() { p.serve(p.peer, p.listeners[peerPlace]) })
	announce := p.announceApp()
	if l := p.listeners[announcePlace]; l != nil {
		servers.Go(func() { _ = announce.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) })
	}
	tasks.Go(func() { _ = p.subscriber.Run(work) })
	<-ctx.Done()
	limit := time.Now().Add(p.Settings.StopTime.AsDuration() - stopMargin)
	p.drain(limit)
	stop, cancelStop := context.WithDeadline(context.Background(), limit)
	defer cancelStop()
	for _, s := range []*acceptor.Server{p.entry, p.peer} {
		if err := s.Shutdown(stop); err != nil {
			p.Log.Warn("requests cut at the end of the stop", "err", err)
		}
	}
	for _, l := range p.listeners[:announcePlace] {
		_ = l.Close()
	}
	p.executor.Wait()
	p.quarantiner.Wait()
	_ = announce.ShutdownWithContext(stop)
	servers.Wait()
	cancel()
	tasks.Wait()
	p.pool.Close()
	return nil
}

func (p *Proxier) serve(s *acceptor.Server, l net.Listener) {
	if err := s.Serve(l); err != nil {
		p.Log.Error("listener stopped", "address", l.Addr(), "err", err)
	}
}

// drain lets the callers go elsewhere first, while the node's targets are
// still of use to all; then it takes the targets out of every table, and waits
// until no request is in flight. So a target is out of use for little longer
// than its node is.
func (p *Proxier) drain(limit time.Time) {
	begun := time.Now()
	p.draining.Store(true)
	p.Log.Info("planned stop begins", "limit", limit.Format(time.RFC3339Nano), "open", p.entry.OpenRequests(), "inFlight", p.executor.InFlight())
	p.entry.Drain()
	p.receiver.Drain()
	lastEntry := begun.Add(p.Settings.StopTime.AsDuration() / servePart)
	p.awaitCallers(begun, min(callerTime, lastEntry.Sub(begun)))
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.subscriber.Leave(leave); err != nil {
		p.Log.Warn("could not tell a control host of the stop; other nodes will notice", "err", err)
	}
	// Requests that other nodes send meanwhile are still served.
	time.Sleep(p.Settings.Node.DrainTime.AsDuration())
	p.registrar.LeaveAll()
	busy := func() bool { return p.executor.InFlight() > 0 || p.entry.OpenRequests() > 0 }
	refusing := false
	for time.Now().Before(limit) && (busy() || !refusing && !p.quiet()) {
		if !refusing && time.Now().After(lastEntry) {
			refusing = true
			p.receiver.Stop()
		}
		time.Sleep(drainCheck)
	}
	p.Log.Info("planned stop drained", "open", p.entry.OpenRequests(), "inFlight", p.executor.InFlight(), "late", !time.Now().Before(limit))
}

// awaitCallers waits until callers have stopped sending, or the limit.
func (p *Proxier) awaitCallers(begun time.Time, limit time.Duration) {
	for elapsed := time.Duration(0); elapsed < limit; elapsed = time.Since(begun) {
		if elapsed >= leastCallerTime && p.quiet() {
			return
		}
		time.Sleep(drainCheck)
	}
}

// quiet reports whether callers seem to have gone elsewhere.
func (p *Proxier) quiet() bool { return time.Since(p.entry.LastRequestAt()) >= quietTime }

// announceApp serves the targets of this host.
func (p *Proxier) announceApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxAnnounceBody, ReadTimeout: announceTimeout, IdleTimeout: time.Minute})
	app.Use(sameHost)
	app.Post("/v1/announce", p.announce)
	app.Post("/v1/leave", p.leave)
	return app
}

// sameHost refuses everyone but processes on this host.
func sameHost(ctx fiber.Ctx) error {
	remote := ctx.RequestCtx().RemoteIP()
	local, ok := ctx.RequestCtx().LocalAddr().(*net.TCPAddr)
	if remote.IsLoopback() || (ok && remote.Equal(local.IP)) {
		return ctx.Next()
	}
	return fiber.NewError(fiber.StatusForbidden, "targets announce themselves on their own host")
}

// announce takes in a target or renews its lease. The answer tells the target
// when to renew.
func (p *Proxier) announce(ctx fiber.Ctx) error {
	var a registrar.Announcement
	if err := json.Unmarshal(ctx.Body(), &a); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "request body: "+err.Error())
	}
	if err := p.registrar.Announce(a); err != nil {
		return announceFailure(err)
	}
	return ctx.JSON(struct {
		RenewBy time.Time `json:"renewBy"`
	}{time.Now().Add(registrar.LeaseDuration / 3)})
}

// leave stops new work at a target; the answer tells how much is in flight.
func (p *Proxier) leave(ctx fiber.Ctx) error {
	var a struct {
		Target string `json:"target"`
	}
	if err := json.Unmarshal(ctx.Body(), &a); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "request body: "+err.Error())
	}
	if err := p.registrar.Leave(a.Target, 0); err != nil {
		return announceFailure(err)
	}
	inFlight := 0
	if t, ok := p.registrar.Find(a.Target); ok {
		inFlight = t.Limiter.Used()
	}
	return ctx.JSON(struct {
		InFlight int `json:"inFlight"`
	}{inFlight})
}

func announceFailure(err error) error {
	var known *registrar.Error
	if !errors.As(err, &known) {
		return err
	}
	status := fiber.StatusBadRequest
	switch known.Kind {
	case registrar.KindUnknownTarget:
		status = fiber.StatusNotFound
	case registrar.KindFull:
		status = fiber.StatusTooManyRequests
	}
	return fiber.NewError(status, err.Error())
}
