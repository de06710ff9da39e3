package replicator

import "time"

// Cause tells why a member changed its role.
type Cause string

// The causes of changed roles.
const (
	CauseLeaderTimeout Cause = "silence"     // CauseSilence means that no leader was heard from for too long.
	CauseNoQuorum      Cause = "noQuorum"    // CauseNoQuorum means that a leader was not heard by a quorum for too long.
	CauseTransfer      Cause = "handOver"    // CauseHandOver means that a leader gives the lead away, or was given it.
	CauseElected       Cause = "elected"     // CauseElected means that a quorum voted for this member.
	CauseNewerTerm     Cause = "newerTerm"   // CauseNewerTerm means that another member is in a later term.
	CauseOtherLeader   Cause = "otherLeader" // CauseOtherLeader means that another member leads this term.
)

// Event is what a group tells its Watch, for logs: a Turn, a Compaction or a
// Restoration.
type Event interface{ isEvent() }

func (RoleChange) isEvent()  {}
func (Compaction) isEvent()  {}
func (Restoration) isEvent() {}

// Compaction tells that a snapshot took the place of the log up to an index.
type Compaction struct {
	Index uint64
	Bytes int // Bytes is the length of the state.
}

// Restoration tells that a leader's snapshot took the place of this member's
// whole state.
type Restoration struct {
	Index uint64
	Bytes int // Bytes is the length of the state.
}

// RoleChange is a change of this member's role.
type RoleChange struct {
	Role   Role
	Term   uint64
	Leader string // Leader is empty while none is known.
	Cause  Cause
	// SinceContact is how long this member has heard of no leader, or as the leader of no quorum.
	SinceContact time.Duration
}

// setRole takes a role and notes it if it is another one.
func (c *Core) setRole(role Role, cause Cause, silence time.Duration) {
	if c.role == role {
		return
	}
	c.role = role
	c.effects.RoleChanges = append(c.effects.RoleChanges, RoleChange{Role: role, Term: c.hardState.Term, Leader: c.leader, Cause: cause, SinceContact: silence})
}

// sinceContact returns how long this member has heard of no leader, or as the leader
// of no quorum.
func (c *Core) sinceContact() time.Duration {
	if c.role == RoleLeader {
		return c.now.Sub(c.quorumContactAt())
	}
	return max(0, c.now.Sub(c.noVoteUntil.Add(-c.ElectionTimeout)))
}
