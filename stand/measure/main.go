// Measure measures the figures that docs/PROOFS.md lists, one group of figures with each
// command, and prints them.
//
// # Usage
//
//	go run ./stand/measure latency
//	go run ./stand/measure --json latency
//	go run ./stand/measure fleet --size 50 --size 100 --size 200 --size 400
//
// Every figure is printed with its target and whether it meets it. With --json each
// figure is one JSON object on a line: figure, value, unit, target, holds.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamrack/hornbeamrack/stand/starter"
)

// figure is one measured value, its target, and whether the value meets it.
type figure struct {
	Figure string  `json:"figure"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target"`
	Holds  bool    `json:"holds"`
}

// options are the options of every command.
type options struct {
	JSON bool `long:"json" description:"Print one JSON object a line"`
}

// print writes the figures to standard output, as JSON lines or as a table.
func (o *options) print(list []figure) error {
	if o.JSON {
		e := json.NewEncoder(os.Stdout)
		for _, f := range list {
			if err := e.Encode(f); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FIGURE\tVALUE\tUNIT\tTARGET\tHOLDS")
	for _, f := range list {
		_, _ = fmt.Fprintf(w, "%s\t%.4g\t%s\t%s\t%t\n", f.Figure, f.Value, f.Unit, f.Target, f.Holds)
	}
	return w.Flush()
}

// atMost returns a figure whose target is an upper bound.
func atMost(name string, value float64, unit string, limit float64) figure {
	return figure{name, value, unit, fmt.Sprintf("<= %g", limit), value <= limit}
}

// withoutTarget returns a figure that has no target; it always holds.
func withoutTarget(name string, value float64, unit string) figure {
	return figure{name, value, unit, "-", true}
}

// buildPrograms compiles the programs into a temporary folder. The returned function
// removes the folder; it is nil on failure.
func buildPrograms() (string, func(), error) {
	folder, err := os.MkdirTemp("", "hornbeam-measure")
	if err != nil {
		return "", nil, err
	}
	remove := func() { _ = os.RemoveAll(folder) }
	if err := starter.Build(folder); err != nil {
		remove()
		return "", nil, err
	}
	return folder, remove, nil
}

func main() {
	var o options
	p := flags.NewNamedParser("measure", flags.HelpFlag)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	add := func(name, short string, command any) {
		if _, err := p.AddCommand(name, short, "", command); err != nil {
			panic(err)
		}
	}
	add("latency", "Added latency of the request path over two nodes", &latency{options: &o})
	add("fleet", "Simultaneous start, convergence, control bytes, CPU and memory over growing numbers of nodes", &fleet{options: &o})
	add("moves", "Moves decided with seeded outcomes, by kind of fault and preference", &moves{options: &o})
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
