package replicator

import (
	"encoding/gob"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// Message is a Raft request or reply between members of a group.
type Message interface{ isMessage() }

// Envelope is a message with the identities of its sender and receiver. Term is
// the sender's term.
type Envelope struct {
	From, To string
	Term     uint64
	Message  Message
}

// VoteRequest requests a vote. Pre requests a pre-vote: whether the receiver would
// grant a vote, before the sender increments its term. Transfer means that the
// leader itself requested the election and has given up its lease. AllFresh means
// that every voter has replied to a pre-vote, so that no lease is in force. Round
// identifies the campaign, also across restarts of the sender.
type VoteRequest struct {
	LastIndex, LastTerm     uint64
	Pre, Transfer, AllFresh bool
	Round                   uint64
}

// VoteReply is the reply to a VoteRequest. A member that follows a leader does not
// reply to a pre-vote. Fresh means that the sender has started within the last
// election timeout and may follow a leader that it has no record of; Granted then
// counts only once all voters have replied.
type VoteReply struct {
	Pre, Granted, Fresh bool
	Round               uint64 // Round is the round of the request.
}

// AppendRequest carries log entries that follow the entry at PrevIndex; without
// entries it is a heartbeat. SentAt is the leader's send time in nanoseconds since
// its start; the receiver copies it into the reply.
type AppendRequest struct {
	PrevIndex, PrevTerm uint64
	Entries             []recorder.Entry
	Commit              uint64
	SentAt              int64
}

// AppendReply acknowledges the entries up to Match: the sender has synced them and
// they match the leader's log. When Rejected is set, Match is only a hint: the
// leader continues with the entry after it.
type AppendReply struct {
	Match    uint64
	Rejected bool
	SentAt   int64
}

// SnapshotRequest replaces the receiver's whole state. SentAt is used as in
// AppendRequest.
type SnapshotRequest struct {
	Snapshot recorder.Snapshot
	SentAt   int64
}

// TransferRequest requests that the receiver start an election at once.
type TransferRequest struct{}

func (VoteRequest) isMessage()     {}
func (VoteReply) isMessage()       {}
func (AppendRequest) isMessage()   {}
func (AppendReply) isMessage()     {}
func (SnapshotRequest) isMessage() {}
func (TransferRequest) isMessage() {}

func init() {
	gob.RegisterName("vr", VoteRequest{})
	gob.RegisterName("vp", VoteReply{})
	gob.RegisterName("ar", AppendRequest{})
	gob.RegisterName("ap", AppendReply{})
	gob.RegisterName("sr", SnapshotRequest{})
	gob.RegisterName("tr", TransferRequest{})
}
