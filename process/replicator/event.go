package replicator

import "time"

// Cause is the reason for a change of role.
type Cause string

// The causes of changed roles.
const (
	CauseLeaderTimeout Cause = "silence"     // CauseLeaderTimeout means that the election timeout passed without contact to a leader.
	CauseNoQuorum      Cause = "noQuorum"    // CauseNoQuorum means that a leader received no reply from a quorum for longer than the election timeout.
	CauseTransfer      Cause = "handOver"    // CauseTransfer means that leadership is transferred to this member, or that its own transfer came too late.
	CauseElected       Cause = "elected"     // CauseElected means that a quorum voted for this member.
	CauseNewerTerm     Cause = "newerTerm"   // CauseNewerTerm means that another member is in a later term.
	CauseDiskFailure   Cause = "diskFailure" // CauseDiskFailure means that the disk of this member refused a write.
	CauseOtherLeader   Cause = "otherLeader" // CauseOtherLeader means that another member leads this term.
)

// Event is what a group passes to OnEvent, for logs: a RoleChange, a Compaction, a
// Restoration, a DiskFailure or a DiskRecovery.
type Event interface{ isEvent() }

func (RoleChange) isEvent()   {}
func (Compaction) isEvent()   {}
func (Restoration) isEvent()  {}
func (DiskFailure) isEvent()  {}
func (DiskRecovery) isEvent() {}

// DiskFailure reports that the disk of this member has refused a write. The member takes
// no part in the group until the write succeeds.
type DiskFailure struct{ Err error }

// DiskRecovery reports that the write that failed has succeeded.
type DiskRecovery struct {
	Attempts int           // Attempts is the number of failed attempts.
	Outage   time.Duration // Outage is the time since the first of them.
}

// Compaction reports that a snapshot replaced the log up to an index.
type Compaction struct {
	Index uint64 // Index is the last index that the snapshot covers.
	Bytes int    // Bytes is the length of the state.
}

// Restoration reports that a snapshot from the leader replaced this member's
// whole state.
type Restoration struct {
	Index uint64 // Index is the last index that the snapshot covers.
	Bytes int    // Bytes is the length of the state.
}

// RoleChange reports that this member has changed its role.
type RoleChange struct {
	Role   Role   // Role is the new role.
	Term   uint64 // Term is the current term.
	Leader string // Leader is the identity of the leader; empty while none is known.
	Cause  Cause
	// SinceContact is the time since a message from a leader, since the start if there
	// was none, or, on a leader, since a quorum replied.
	SinceContact time.Duration
}

// setRole sets the role and, if it differs from the current one, adds a
// RoleChange to the effects.
func (c *Core) setRole(role Role, cause Cause, sinceContact time.Duration) {
	if c.role == role {
		return
	}
	c.role = role
	c.effects.RoleChanges = append(c.effects.RoleChanges, RoleChange{Role: role, Term: c.hardState.Term, Leader: c.leader, Cause: cause, SinceContact: sinceContact})
}

// sinceContact returns the time since a message from a leader, since the start if
// there was none, or, on a leader, since a quorum replied.
func (c *Core) sinceContact() time.Duration {
	if c.role == RoleLeader {
		return c.now.Sub(c.quorumContactAt())
	}
	return max(0, c.now.Sub(c.noVoteUntil.Add(-c.ElectionTimeout)))
}
