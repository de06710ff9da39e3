// Stand3 runs the cases of the third review: each starts the project's programs as
// processes on loopback addresses, with stand-ins for clients, servers and the platform.
//
//	review-stand3 CASE FOLDER
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is less than the time that a script may take.
const maxTime = 115 * time.Second

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(r *recorder, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand3 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endOnSignal(r)
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		r.sayf("the case could not run: %v", err)
		status = 2
	case broken:
		r.sayf("the rule was broken")
		status = 1
	default:
		r.sayf("the rule held")
	}
	r.close()
	os.Exit(status)
}

// endOnSignal ends all processes that the case has started and the case itself, when it is
// told to end or has taken too long.
func endOnSignal(r *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	r.sayf("the case was ended before its time, or took too long")
	closeAll()
	r.close()
	os.Exit(2)
}
