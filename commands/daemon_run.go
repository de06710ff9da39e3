package commands

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/hornbeamrack/hornbeamrack/common/logger"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/platform"
	"github.com/hornbeamrack/hornbeamrack/process/configurer"
	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/process/proxier"
	"github.com/hornbeamrack/hornbeamrack/process/reporter"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

const (
	traceFlushTimeout = 3 * time.Second
)

// runCommand runs the daemon.
type runCommand struct{ options *daemonOptions }

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	// Signals may come while the settings are still being read; until they are taken
	// in, either ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := configurer.Load(c.options.Settings)
	if err != nil {
		return &Error{"run", KindUsage, err}
	}
	return runDaemon(ctx, hup, c.options.Settings, s)
}

// parts are what the daemon is made of; they are built once.
type parts struct {
	settings configurer.Settings
	journal  *logger.AsyncLogger
	log      *log.Logger
	hosts    *locator.Locator
	tracer   *tracer.Tracer
	control  *controller.Controller // control is nil without the role.
	node     *proxier.Proxier       // node is nil without the role.
}

func runDaemon(ctx context.Context, hup <-chan os.Signal, file string, s configurer.Settings) error {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimitMB) << 20)
		debug.SetGCPercent(s.HeapGrowthPercent)
	}
	p, err := build(s)
	if err != nil {
		return &Error{"run", KindFailure, err}
	}
	defer p.journal.Close()
	p.log.Info("started", "roles", s.Roles, "dataCentre", s.DataCentre, "seeds", s.Discovery.Seeds, "found", s.Discovery.AllowBootstrap, "adapter", s.Edge.Adapter)
	// The reloader outlives ctx: a SIGHUP during a planned stop must not end it.
	watch, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go (&reloader{file: file, hup: hup, parts: p}).run(watch)
	err = p.run(ctx)
	flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if closeErr := p.tracer.Close(flush); err == nil {
		err = closeErr
	}
	p.log.Info("stopped", "err", err)
	if err != nil {
		return &Error{"run", KindFailure, err}
	}
	return nil
}

func build(s configurer.Settings) (*parts, error) {
	p := &parts{settings: s, journal: newJournal(s), hosts: locator.New(s.Discovery.SeedAddresses()...)}
	p.log = p.journal.Logger
	var err error
	p.tracer, err = tracer.Open(tracer.Options{ProcessName: s.Name, File: s.Traces.File, Endpoint: s.Traces.Endpoint, SamplingRatio: s.Traces.SamplingRatio})
	if err != nil {
		return nil, err
	}
	if s.HasRole(configurer.RoleControl) {
		p.control = newController(s, p.log)
		if len(s.Control.Peers) == 0 {
			p.control.Hosts, p.control.Seeds, p.control.AllowBootstrap = p.hosts, s.Discovery.SeedAddresses(), s.Discovery.AllowBootstrap
		}
		if err := p.control.Open(); err != nil {
			return nil, err
		}
	}
	if s.HasRole(configurer.RoleNode) {
		p.node = &proxier.Proxier{
			Settings: s, Hosts: p.hosts, Log: p.log, AsyncLogger: p.journal, Tracer: p.tracer,
			Translator: translatorOf(s), WrapConn: countBytes,
		}
		if len(s.Discovery.Seeds) == 0 {
			p.hosts.SetSeeds(s.Node.ControlAddresses)
		}
		if err := p.node.Open(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func translatorOf(s configurer.Settings) translator.Translator {
	if s.Edge.Adapter == platform.AdapterName {
		return platform.Translator{}
	}
	return translator.Own{}
}

func newJournal(s configurer.Settings) *logger.AsyncLogger {
	level := log.InfoLevel
	if parsed, err := log.ParseLevel(s.LogLevel); err == nil {
		level = parsed
	}
	return logger.New(os.Stdout, s.Name, level)
}

func newController(s configurer.Settings, l *log.Logger) *controller.Controller {
	c := &controller.Controller{
		Name: s.Name, DataFolder: s.DataFolder, RPCAddress: s.Control.RPCAddress,
		OperatorAddress: s.Control.OperatorAddress, Log: l, ElectionTimeout: s.Control.ElectionTimeout.AsDuration(),
		VoterCount: s.Control.VoterCount(),
	}
	for _, peer := range s.Control.Peers {
		c.Peers = append(c.Peers, controller.Peer{Name: peer.Name, Address: peer.Address})
	}
	for _, t := range s.Control.Teams {
		c.Teams = append(c.Teams, controller.Team{Name: t.Name, TokenHash: t.TokenHash})
	}
	return c
}

// run runs all parts until ctx ends or one fails. The node stops first, while
// the control role in the same process still serves it.
func (p *parts) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	tasks := pool.New().WithErrors()
	if p.control != nil {
		tasks.Go(func() error { defer cancel(); return p.control.Run(controlCtx) })
	}
	if p.node != nil {
		tasks.Go(func() error { defer stopControl(); defer cancel(); return p.node.Run(ctx) })
	} else {
		context.AfterFunc(ctx, stopControl)
	}
	if p.settings.AdminAddress != "" {
		r := &reporter.Reporter{Address: p.settings.AdminAddress, Checks: p.checks()}
		tasks.Go(func() error { defer cancel(); return r.Run(ctx) })
	}
	if p.settings.Edge.Adapter == platform.AdapterName {
		// The edge serves until the parts behind it have stopped.
		tasks.Go(func() error { defer cancel(); return p.runEdge(controlCtx) })
	}
	return errors.WithStack(tasks.Wait())
}

// runEdge serves the platform's calls for the roles of this process.
func (p *parts) runEdge(ctx context.Context) error {
	e := p.settings.Edge
	if p.control != nil {
		return (&platform.OperatorServer{Control: p.control, Address: e.Address, Log: p.log}).Run(ctx)
	}
	return (&platform.TargetServer{Node: p.node, Address: e.Address, ReadyAddress: e.ReadyAddress, Log: p.log}).Run(ctx)
}

func (p *parts) checks() []reporter.Check {
	var checks []reporter.Check
	if p.control != nil {
		checks = append(checks, reporter.Check{Name: "control", Ready: p.control.Ready})
	}
	if p.node != nil {
		checks = append(checks, reporter.Check{Name: "node", Ready: p.node.Ready})
	}
	return checks
}

var (
	controlRead    = metrics.NewCounter(`hornbeam_control_bytes_total{direction="in"}`)
	controlWritten = metrics.NewCounter(`hornbeam_control_bytes_total{direction="out"}`)
)

// countBytes counts what a connection carries.
func countBytes(conn net.Conn) net.Conn { return countedConn{conn} }

type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	controlRead.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	controlWritten.Add(n)
	return n, err
}
