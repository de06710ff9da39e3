// Stand2 plays the cases of the second review that are scripts: it starts the project's
// programs as the deploy file says, with stand-ins for servers, clients, the platform and
// the operator, and writes what it sees to a record.
//
// # Usage
//
//	stand2 -case again -root REPOSITORY -record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// timeLimit bounds a run.
	timeLimit = 115 * time.Second
)

// record writes lines with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.2f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository")
	file := flag.String("record", "record.txt", "the record")
	flag.Parse()
	f, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &record{file: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", *name, trouble)
	m, err := newMesh(*root, 3)
	if err != nil {
		r.line("could not run: %v", err)
		os.Exit(exitFailed)
	}
	time.AfterFunc(timeLimit, func() {
		r.line("could not run: the time limit has passed")
		m.close()
		os.Exit(exitFailed)
	})
	code := exitFailed
	switch *name {
	case "again":
		code, err = playAgain(m, r, trouble)
	case "quiet-route":
		code, err = playQuietRoute(m, r, trouble)
	case "crash":
		code, err = playCrash(m, r, trouble)
	default:
		err = fmt.Errorf("unknown case %q", *name)
	}
	if err != nil {
		r.line("could not run: %v", err)
		code = exitFailed
	}
	m.close()
	r.line("exit %d", code)
	_ = f.Close()
	os.Exit(code)
}
