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
	"path/filepath"
)

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
