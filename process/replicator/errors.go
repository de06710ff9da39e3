package replicator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind tells why a group did not do what it was asked.
type Kind string

// The kinds of replication errors.
const (
	KindNotLeader Kind = "notLeader" // KindNotLeader means that nothing was proposed here.
	KindUncertain Kind = "uncertain" // KindUncertain means that the proposal may still be accepted.
	KindReplaced  Kind = "lost"      // KindLost means that the proposal was replaced and will never be accepted.
	KindBusy      Kind = "busy"      // KindBusy means that nothing was done and a later try may succeed.
	KindRefused   Kind = "refused"
	KindDamaged   Kind = "damaged"
	KindStopped   Kind = "stopped"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("replicator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
