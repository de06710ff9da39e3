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
	// traceFlushTimeout bounds the export of pending spans at the end of the process.
	traceFlushTimeout = 3 * time.Second
)

// runCommand runs the roles of the settings file until SIGTERM or SIGINT.
type runCommand struct{ options *daemonOptions }

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	// Signal handlers are installed before the settings are read: without a handler,
	// either signal would end the process.
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

// daemon holds the components of one hornbeamd process. They are created once, by
// newDaemon.
type daemon struct {
	settings  configurer.Settings
	logWriter *logger.AsyncLogger
	log       *log.Logger
	hosts     *locator.Locator
	tracer    *tracer.Tracer
	control   *controller.Controller // control is nil without the control role.
	node      *proxier.Proxier       // node is nil without the node role.
}

// runDaemon creates the components, runs them until ctx ends or one fails, and flushes
// traces and logs.
func runDaemon(ctx context.Context, hup <-chan os.Signal, file string, s configurer.Settings) error {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimitMB) << 20)
		debug.SetGCPercent(s.HeapGrowthPercent)
	}
	d, err := newDaemon(s)
	if err != nil {
		return &Error{"run", KindFailure, err}
	}
	defer d.logWriter.Close()
	d.log.Info("started", "roles", s.Roles, "dataCentre", s.DataCentre, "seeds", s.Discovery.Seeds, "found", s.Discovery.AllowBootstrap, "adapter", s.Edge.Adapter)
	// The reloader runs longer than ctx, so that a SIGHUP during a planned stop is still
	// received and does not end the process.
	watch, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go (&reloader{file: file, hangUps: hup, daemon: d}).run(watch)
	err = d.run(ctx)
	flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if closeErr := d.tracer.Close(flush); err == nil {
		err = closeErr
	}
	d.log.Info("stopped", "err", err)
	if err != nil {
		return &Error{"run", KindFailure, err}
	}
	return nil
}

// newDaemon creates and opens the components of the roles that the settings name.
func newDaemon(s configurer.Settings) (*daemon, error) {
	d := &daemon{settings: s, logWriter: newLogger(s), hosts: locator.New(s.Discovery.SeedAddresses()...)}
	d.log = d.logWriter.Logger
	var err error
	d.tracer, err = tracer.Open(tracer.Options{ProcessName: s.Name, File: s.Traces.File, Endpoint: s.Traces.Endpoint, SamplingRatio: s.Traces.SamplingRatio})
	if err != nil {
		return nil, err
	}
	if s.HasRole(configurer.RoleControl) {
		d.control = newController(s, d.log)
		if len(s.Control.Peers) == 0 {
			d.control.Hosts, d.control.Seeds, d.control.AllowBootstrap = d.hosts, s.Discovery.SeedAddresses(), s.Discovery.AllowBootstrap
		}
		if err := d.control.Open(); err != nil {
			return nil, err
		}
	}
	if s.HasRole(configurer.RoleNode) {
		d.node = &proxier.Proxier{
			Settings: s, Hosts: d.hosts, Log: d.log, AsyncLogger: d.logWriter, Tracer: d.tracer,
			Translator: newTranslator(s), WrapConn: countBytes,
		}
		if len(s.Discovery.Seeds) == 0 {
			d.hosts.SetSeeds(s.Node.ControlAddresses)
		}
		if err := d.node.Open(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// newTranslator returns the translator of the adapter that the settings name.
func newTranslator(s configurer.Settings) translator.Translator {
	if s.Edge.Adapter == platform.AdapterName {
		return platform.Translator{}
	}
	return translator.Own{}
}

// newLogger returns a logger to standard output, at info level if the settings name
// no valid level.
func newLogger(s configurer.Settings) *logger.AsyncLogger {
	level := log.InfoLevel
	if parsed, err := log.ParseLevel(s.LogLevel); err == nil {
		level = parsed
	}
	return logger.New(os.Stdout, s.Name, level)
}

// newController returns a controller with the settings' addresses, peers and teams; it
// is not yet open.
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

// run runs all components until ctx ends or one fails. The node stops first, while the
// control role in the same process still serves its requests.
func (d *daemon) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	tasks := pool.New().WithErrors()
	if d.control != nil {
		tasks.Go(func() error { defer cancel(); return d.control.Run(controlCtx) })
	}
	if d.node != nil {
		tasks.Go(func() error { defer stopControl(); defer cancel(); return d.node.Run(ctx) })
	} else {
		context.AfterFunc(ctx, stopControl)
	}
	if d.settings.AdminAddress != "" {
		r := &reporter.Reporter{Address: d.settings.AdminAddress, Checks: d.checks()}
		tasks.Go(func() error { defer cancel(); return r.Run(ctx) })
	}
	if d.settings.Edge.Adapter == platform.AdapterName {
		// The edge server stops after the components that serve its calls.
		tasks.Go(func() error { defer cancel(); return d.runEdge(controlCtx) })
	}
	return errors.WithStack(tasks.Wait())
}

// runEdge serves the platform's calls: those of operators with the control role, else
// those of targets.
func (d *daemon) runEdge(ctx context.Context) error {
	e := d.settings.Edge
	if d.control != nil {
		return (&platform.OperatorServer{Control: d.control, Address: e.Address, Log: d.log}).Run(ctx)
	}
	return (&platform.TargetServer{Node: d.node, Address: e.Address, ReadyAddress: e.ReadyAddress, Log: d.log}).Run(ctx)
}

// checks returns the readiness checks of this process's roles.
func (d *daemon) checks() []reporter.Check {
	var checks []reporter.Check
	if d.control != nil {
		checks = append(checks, reporter.Check{Name: "control", Ready: d.control.Ready})
	}
	if d.node != nil {
		checks = append(checks, reporter.Check{Name: "node", Ready: d.node.Ready})
	}
	return checks
}

var (
	controlBytesIn  = metrics.NewCounter(`hornbeam_control_bytes_total{direction="in"}`)
	controlBytesOut = metrics.NewCounter(`hornbeam_control_bytes_total{direction="out"}`)
)

// countBytes wraps a connection so that its bytes are counted in the
// hornbeam_control_bytes_total metrics.
func countBytes(conn net.Conn) net.Conn { return countingConn{conn} }

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct{ net.Conn }

// Read reads from the wrapped connection and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	controlBytesIn.Add(n)
	return n, err
}

// Write writes to the wrapped connection and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	controlBytesOut.Add(n)
	return n, err
}
