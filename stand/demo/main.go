// Demo shows the main functions on one host: it starts the daemon with the example
// settings and a stand-in target, creates a section, sends requests, and moves their
// traffic to a new target version.
//
// # Usage
//
//	go run ./stand/demo            # ends after the move
//	go run ./stand/demo --stay     # keeps running until interrupted
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/stand/starter"
)

const (
	settingsFile    = "examples/embedded.yaml"
	sectionFile     = "examples/designs.yaml"
	token           = "example-token"
	adminAddress    = "127.0.0.1:7100"
	entryAddress    = "127.0.0.1:7101"
	announceAddress = "127.0.0.1:7103" // announceAddress receives announcements of targets; it must be the one in settingsFile.
	operatorAddress = "127.0.0.1:7105"
	moveDeadline    = "40s"

	startTimeout    = 30 * time.Second
	requestInterval = 5 * time.Millisecond
)

// demo holds the command line options and the folder of the built programs.
type demo struct {
	Stay bool `long:"stay" description:"Go on until interrupted"`

	programFolder string
}

func main() {
	var d demo
	if _, err := flags.Parse(&d); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// run builds the programs into a temporary folder, which it removes at the end, and runs
// the steps.
func (d *demo) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "hornbeam-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d.programFolder = folder
	fmt.Println("building the programs ...")
	if err := starter.Build(folder); err != nil {
		return err
	}
	copied := filepath.Join(folder, "embedded.yaml")
	raw, err := os.ReadFile(settingsFile)
	if err != nil {
		return errors.WithMessage(err, "run the demo from the repository's root")
	}
	if err := os.WriteFile(copied, raw, 0o600); err != nil {
		return err
	}
	m := &starter.Mesh{Folder: folder, ProgramFolder: folder}
	defer m.KillAll()
	return d.runSteps(ctx, m, copied)
}

// runSteps starts the daemon, runs the steps of the demo in order, and returns the first
// failure.
func (d *demo) runSteps(ctx context.Context, m *starter.Mesh, settings string) error {
	n, err := m.StartDaemon("host-a", adminAddress, announceAddress, settings)
	if err != nil {
		return err
	}
	defer func() { _ = n.Stop() }()
	if err := n.WaitReady(ctx); err != nil {
		return errors.WithMessage(err, n.Log())
	}
	fmt.Println("daemon ready: metrics at http://" + adminAddress + "/metrics, callers at http://" + entryAddress)
	if _, err := m.StartTarget(n, "t1", "designs", "v1"); err != nil {
		return err
	}
	if err := d.runClient("section", "edit", "designs", "--file", sectionFile); err != nil {
		return err
	}
	if err := d.printResponse(ctx, "/designs/7"); err != nil {
		return err
	}
	if _, err := m.StartTarget(n, "t2", "designs", "v2"); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() { sendTraffic(traffic) })
	defer callers.Wait()
	defer stop()
	if err := d.beginMove(ctx); err != nil {
		return err
	}
	if err := d.runClient("move", "watch", "designs"); err != nil {
		return err
	}
	if err := d.printResponse(ctx, "/designs/7"); err != nil {
		return err
	}
	if err := d.runClient("events"); err != nil {
		return err
	}
	if d.Stay {
		fmt.Println("running until interrupted")
		<-ctx.Done()
	}
	return nil
}

// beginMove waits until a target of the new version is announced, then begins the move.
func (d *demo) beginMove(ctx context.Context) error {
	err := starter.WaitUntil(ctx, startTimeout, "v2 announced", func() bool {
		out, err := d.command("services").Output()
		return err == nil && strings.Contains(string(out), " v2 ")
	})
	if err != nil {
		return err
	}
	return d.runClient("move", "begin", "designs", "--to", "v2", "--deadline", moveDeadline, "--prefer", "deadline")
}

// command returns a call of hornbeamctl with the demo's address and token.
func (d *demo) command(args ...string) *exec.Cmd {
	return exec.Command(filepath.Join(d.programFolder, "hornbeamctl"), append([]string{"--address", operatorAddress, "--token", token}, args...)...)
}

// runClient prints and runs a call of hornbeamctl.
func (d *demo) runClient(args ...string) error {
	fmt.Println("$ hornbeamctl", args)
	cmd := d.command(args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// printResponse sends a request until its status is 200, and prints the body.
func (d *demo) printResponse(ctx context.Context, path string) error {
	url := "http://" + entryAddress + path
	var body []byte
	err := starter.WaitUntil(ctx, startTimeout, "a response from "+url, func() bool {
		status, response, err := starter.Get(url)
		body = response
		return err == nil && status == fasthttp.StatusOK
	})
	if err == nil {
		fmt.Printf("$ GET %s\n%s", url, body)
	}
	return err
}

// sendTraffic sends requests one after another until ctx ends.
func sendTraffic(ctx context.Context) {
	for ctx.Err() == nil {
		_, _, _ = starter.Get("http://" + entryAddress + "/designs/1")
		time.Sleep(requestInterval)
	}
}
