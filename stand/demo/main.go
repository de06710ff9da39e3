// Demo runs the main job on one host: it starts the daemon with the example
// settings and a stand-in target, has a section accepted, sends requests, and
// moves their traffic to a new target version.
//
// # Usage
//
//	go run ./stand/demo            # ends after the move
//	go run ./stand/demo --stay     # goes on until interrupted
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
	settings  = "examples/embedded.yaml"
	section   = "examples/designs.yaml"
	token     = "example-token"
	admin     = "127.0.0.1:7100"
	entry     = "127.0.0.1:7101"
	announce  = "127.0.0.1:7103"
	operators = "127.0.0.1:7105"
	deadline  = "40s"

	startTime = 30 * time.Second
	pace      = 5 * time.Millisecond
)

// demo is the command line and what it started.
type demo struct {
	Stay bool `long:"stay" description:"Go on until interrupted"`

	bin string
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

func (d *demo) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "hornbeam-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d.bin = folder
	fmt.Println("building the programs ...")
	if err := starter.Build(folder); err != nil {
		return err
	}
	copied := filepath.Join(folder, "embedded.yaml")
	raw, err := os.ReadFile(settings)
	if err != nil {
		return errors.WithMessage(err, "run the demo from the repository's root")
	}
	if err := os.WriteFile(copied, raw, 0o600); err != nil {
		return err
	}
	m := &starter.Mesh{Folder: folder, ProgramFolder: folder}
	defer m.KillAll()
	return d.play(ctx, m, copied)
}

// play goes through the steps of the demo.
func (d *demo) play(ctx context.Context, m *starter.Mesh, settings string) error {
	n, err := m.StartDaemon("host-a", admin, announce, settings)
	if err != nil {
		return err
	}
	defer func() { _ = n.Stop() }()
	if err := n.WaitReady(ctx); err != nil {
		return errors.WithMessage(err, n.Log())
	}
	fmt.Println("daemon ready: metrics at http://" + admin + "/metrics, callers at http://" + entry)
	if _, err := m.StartTarget(n, "t1", "designs", "v1"); err != nil {
		return err
	}
	if err := d.operate("section", "edit", "designs", "--file", section); err != nil {
		return err
	}
	if err := d.show(ctx, "/designs/7"); err != nil {
		return err
	}
	if _, err := m.StartTarget(n, "t2", "designs", "v2"); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() { send(traffic) })
	defer callers.Wait()
	defer stop()
	if err := d.begin(ctx); err != nil {
		return err
	}
	if err := d.operate("move", "watch", "designs"); err != nil {
		return err
	}
	if err := d.show(ctx, "/designs/7"); err != nil {
		return err
	}
	if err := d.operate("events"); err != nil {
		return err
	}
	if d.Stay {
		fmt.Println("staying; interrupt to stop")
		<-ctx.Done()
	}
	return nil
}

// begin waits until the new version is known, then begins the move.
func (d *demo) begin(ctx context.Context) error {
	err := starter.WaitUntil(ctx, startTime, "v2 announced", func() bool {
		out, err := d.command("services").Output()
		return err == nil && strings.Contains(string(out), " v2 ")
	})
	if err != nil {
		return err
	}
	return d.operate("move", "begin", "designs", "--to", "v2", "--deadline", deadline, "--prefer", "deadline")
}

func (d *demo) command(args ...string) *exec.Cmd {
	return exec.Command(filepath.Join(d.bin, "hornbeamctl"), append([]string{"--address", operators, "--token", token}, args...)...)
}

func (d *demo) operate(args ...string) error {
	fmt.Println("$ hornbeamctl", args)
	cmd := d.command(args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// show sends one request and prints its answer.
func (d *demo) show(ctx context.Context, path string) error {
	url := "http://" + entry + path
	var body []byte
	err := starter.WaitUntil(ctx, startTime, "an answer from "+url, func() bool {
		status, answer, err := starter.Get(url)
		body = answer
		return err == nil && status == fasthttp.StatusOK
	})
	if err == nil {
		fmt.Printf("$ GET %s\n%s", url, body)
	}
	return err
}

// send keeps requests coming until ctx ends.
func send(ctx context.Context) {
	for ctx.Err() == nil {
		_, _, _ = starter.Get("http://" + entry + "/designs/1")
		time.Sleep(pace)
	}
}
