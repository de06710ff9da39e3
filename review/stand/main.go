// Stand plays the scripts of the review's cases: it is the platform, the operator, the
// servers and the clients, and starts the project's programs as processes.
//
// # Usage
//
//	review/bin/stand --case NAME --trouble=true --root ROOT --record FILE
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With --trouble=false it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds the time of a case.
const maxDuration = 110 * time.Second

// scenario plays a case. It returns whether the rule was broken, or an error when the
// case could not run.
type scenario func(rec *record, root string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"late-heartbeat":   playLateHeartbeat,
	"kept-connections": playKeptConnections,
	"lost-disks":       playLostDisks,
	"endless-bodies":   playEndlessBodies,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	root := flag.String("root", ".", "folder of the project")
	path := flag.String("record", "record.txt", "file that gets the record")
	flag.Parse()
	os.Exit(play(*name, *root, *path, *trouble))
}

// play plays a case and returns the exit code.
func play(name, root, path string, trouble bool) int {
	scene, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	// Processes that were started end with this one.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		if m := started.Load(); m != nil {
			m.stopAll()
		}
		os.Exit(exitNotRun)
	}()
	rec.line("case", "%s, trouble: %v", name, trouble)
	broken, err := scene(rec, root, trouble)
	switch {
	case err != nil:
		rec.line("result", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.line("result", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.line("result", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
