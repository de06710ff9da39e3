package replicator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind is the reason why an operation on a group failed.
type Kind string

// The kinds of replication errors.
const (
	KindNotLeader Kind = "notLeader" // KindNotLeader means that this member does not lead and has proposed nothing.
	KindUncertain Kind = "uncertain" // KindUncertain means that the proposal may still be committed.
	KindReplaced  Kind = "lost"      // KindReplaced means that another leader's entry replaced the proposal, which will never be committed.
	KindBusy      Kind = "busy"      // KindBusy means that nothing was done and a retry may succeed.
	KindRefused   Kind = "refused"   // KindRefused means that the membership change is not allowed.
	KindCorrupt   Kind = "damaged"   // KindCorrupt means that state cannot be decoded, restored or encoded.
	KindStopped   Kind = "stopped"   // KindStopped means that the group has stopped.
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
