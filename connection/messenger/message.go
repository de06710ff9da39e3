package messenger

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// The replication groups of the control hosts: GroupConfig holds the configuration,
// GroupClaims the register of claims.
const (
	GroupConfig = "config"
	GroupClaims = "claims"
)

// The RPC methods of a control host. Peer methods serve other control hosts, Node
// methods serve nodes.
const (
	MethodIdentify = "Peer.Identify"
	MethodDeliver  = "Peer.Deliver"
	MethodConfirm  = "Peer.Confirm"
	MethodSeen     = "Peer.Seen"
	MethodNodes    = "Peer.Nodes"
	MethodMember   = "Peer.Member"
	MethodJoin     = "Peer.Join"
	MethodSync     = "Node.Sync"
	MethodCommand  = "Node.Command"
	MethodAnnounce = "Node.Announce"
	MethodForward  = "Peer.Forward"
)

// Empty is a reply without content.
type Empty struct{}

// Redirect is part of the reply of a control host that does not lead the group.
type Redirect struct {
	NotLeader bool
	Leader    string // Leader is the leader's address, or empty when no leader is known.
}

// IdentifyReply describes a control host. Initial is the initial membership of its
// groups; it is empty on a host that does not belong to a group yet. Leaders holds
// the addresses of the leaders that it follows, by group.
type IdentifyReply struct {
	ID, Name, Address string
	Initial           replicator.Membership
	Members           []string
	Leaders           map[string]string
}

// JoinArgs requests that the leader of a group make a control host a voter. Each
// call makes one step; the caller repeats it until the host is a voter.
type JoinArgs struct {
	Group  string
	Member replicator.Member
}

// DeliverArgs holds replication messages of one group.
type DeliverArgs struct {
	Group     string
	Envelopes []replicator.Envelope
	Sender    string // Sender is the address at which the sending host receives replies; empty when it was stated shortly before.
}

// ConfirmArgs requests a read index from the leader of a group.
type ConfirmArgs struct{ Group string }

// ConfirmReply holds the read index: every entry that was committed before the call
// has this index or a lower one.
type ConfirmReply struct {
	Redirect
	Index uint64
}

// NodeReport is the state that a node reports with each Sync.
type NodeReport struct {
	Node        string             `json:"node"`
	Incarnation uint64             `json:"incarnation"`
	DataCentre  string             `json:"dataCentre"`
	Version     uint64             `json:"version"`
	Revision    uint64             `json:"revision"`
	Targets     int                `json:"targets"`
	Leaving     bool               `json:"leaving"`
	Evidence    []decider.Evidence `json:"-"` // Evidence is what the node has observed since its last report.
}

// Sighting is a node's report with its age. It holds an age rather than a time, since
// clocks differ between hosts. gob sends the name of the type, which therefore is part
// of the encoding and must not change.
type Sighting struct {
	Report NodeReport    `json:"report"`
	Age    time.Duration `json:"age"`
	Lags   time.Duration `json:"lags"` // Lags is how long the node has not had the newest version.
}

// SeenArgs holds the reports and evidence that a follower has received from nodes and
// forwards to the leader.
type SeenArgs struct {
	Sightings []Sighting
	Evidence  []decider.Evidence
}

// SyncArgs requests the changes since Have. The control host waits up to Wait for a
// change.
type SyncArgs struct {
	Report NodeReport
	Have   differ.Have
	Wait   time.Duration
	Known  int // Known is the number of control hosts in the node's list.
}

// SyncReply updates the node to the newest state. If Confirmed is false, the reply
// holds no update: either the control host could not confirm that its state is
// current, or the node's list of control hosts is incomplete and the node must pick
// a host again.
type SyncReply struct {
	Confirmed bool
	Update    []byte   // Update is the output of differ.Pack.
	Hosts     []string // Hosts are the addresses of all control hosts.
	// VersionAge is how long the control host has had the configuration version of the
	// update, zero when it does not know. It is an age, since clocks differ between hosts.
	VersionAge time.Duration
	// Departures are the targets of the node that have left. They are set for a node that
	// requests the whole state, since it may have restarted.
	Departures []applier.Departure
}

// CommandArgs proposes a command to a group.
type CommandArgs struct {
	Group   string
	Command []byte
}

// CommandReply holds the encoded result of a command. Failure is set when it is not
// known whether the command was accepted.
type CommandReply struct {
	Redirect
	Result  []byte
	Failure string
}

// AnnounceArgs holds announcements of one or more nodes, each with the node's whole
// list of targets.
type AnnounceArgs struct{ Announcements []applier.Announcement }

// AnnounceReply holds the result of AnnounceArgs. Failure is empty when the lists were
// accepted.
type AnnounceReply struct{ Failure string }

// MemberAction is a kind of membership change of a group.
type MemberAction string

// The kinds of membership change.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberArgs requests a membership change of one group.
type MemberArgs struct {
	Group  string
	Action MemberAction
	Member replicator.Member
}

// NodesReply holds the status of each node that has reported to the leader.
type NodesReply struct {
	Redirect
	Sightings []Sighting
}
