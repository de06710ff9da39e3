// Package commands holds the command lines of both programs, one file for each
// command.
//
// # Usage
//
//	os.Exit(commands.Daemon(os.Args[1:]))
//	os.Exit(commands.Client(os.Args[1:]))
//
// Every command ends with one of the exit codes below, so that scripts can
// tell what happened without reading the text.
package commands

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of both programs.
const (
	ExitOK          = 0
	ExitFailure     = 1 // ExitFailure means that something unexpected went wrong.
	ExitUsage       = 2 // ExitUsage means that the command line or the input file is wrong.
	ExitConflict    = 3 // ExitConflict means that another edit came first.
	ExitRejected    = 4 // ExitRefused means that the edit is not valid or not allowed.
	ExitUnreachable = 5 // ExitUnreachable means that no control host answered; the edit may be sent again under its id.
	ExitRolledBack  = 6 // ExitTakenBack means that a watched move ended without its new version.
)

// Kind tells how a command failed; it decides the exit code.
type Kind string

// The kinds of command errors.
const (
	KindUsage       Kind = "usage"
	KindConflict    Kind = "conflict"
	KindRejected    Kind = "refused"
	KindUnreachable Kind = "unreachable"
	KindRolledBack  Kind = "takenBack"
	KindFailure     Kind = "failure"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func exitCode(err error) int {
	var own *Error
	if !errors.As(err, &own) {
		return ExitFailure
	}
	switch own.Kind {
	case KindUsage:
		return ExitUsage
	case KindConflict:
		return ExitConflict
	case KindRejected:
		return ExitRejected
	case KindUnreachable:
		return ExitUnreachable
	case KindRolledBack:
		return ExitRolledBack
	}
	return ExitFailure
}

// runParser runs a command line and turns its end into an exit code.
func runParser(p *flags.Parser, args []string) int {
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitCode(err)
}

// mustAdd adds a command; the command line is fixed in the program.
func mustAdd(parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short, long string, data any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return c
}
