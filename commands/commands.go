// Package commands holds the command lines of both programs, one file for each
// command.
//
// # Usage
//
//	os.Exit(commands.Daemon(os.Args[1:]))
//	os.Exit(commands.Client(os.Args[1:]))
//
// Every command ends with one of the exit codes below, so that scripts can
// distinguish results without parsing the output.
package commands

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of hornbeamd and hornbeamctl.
const (
	ExitOK          = 0 // ExitOK means that the command succeeded.
	ExitFailure     = 1 // ExitFailure means that the command failed for a reason without a code of its own.
	ExitUsage       = 2 // ExitUsage means that the command line or the input file is wrong.
	ExitConflict    = 3 // ExitConflict means that another edit of the same revision was accepted first.
	ExitRejected    = 4 // ExitRejected means that the request is not valid or not allowed.
	ExitUnreachable = 5 // ExitUnreachable means that no control host could serve the request; an edit may be sent again with the same edit id.
	ExitRolledBack  = 6 // ExitRolledBack means that a watched move was rolled back or cancelled.
)

// Kind is the class of a command's failure; each kind has one exit code.
type Kind string

// The kinds of command errors, one for each exit code above except ExitOK.
const (
	KindUsage       Kind = "usage"
	KindConflict    Kind = "conflict"
	KindRejected    Kind = "refused"
	KindUnreachable Kind = "unreachable"
	KindRolledBack  Kind = "takenBack"
	KindFailure     Kind = "failure"
)

// Error is the only error type of this package. Op is the command, request path or
// step that failed, Kind decides the exit code, and Err is the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error; it returns the text of the cause alone, without Op and
// Kind.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// exitCode returns the exit code of err's kind, or ExitFailure for an error that is
// not an *Error.
func exitCode(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return ExitFailure
	}
	switch e.Kind {
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

// runParser parses args, runs the command that they name, prints help, usage or
// error texts, and returns the exit code.
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

// mustAdd adds a command to parent and returns it. It panics on an error, which can
// only be a mistake in this program's fixed command line.
func mustAdd(parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short, long string, data any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return c
}
