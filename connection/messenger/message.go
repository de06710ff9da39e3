package messenger

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// The groups that control hosts replicate.
const (
	GroupConfig = "config"
	GroupClaims = "claims"
)

// The remote methods of a control host.
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

// Empty is an answer that says nothing.
type Empty struct{}

// Redirect tells a caller that asked a follower who leads.
type Redirect struct {
	NotLeader bool
	Leader    string // Leader is an address; empty when there is no leader.
}

// IdentifyReply tells who a control host is. Initial is the membership that
// its groups began with; it is empty on a host that belongs to none yet.
// Leaders are the addresses of the leaders that it follows, by group.
type IdentifyReply struct {
	ID, Name, Address string
	Initial           replicator.Membership
	Members           []string
	Leaders           map[string]string
}

// JoinArgs asks the leader of a group to make a control host a voter, step by
// step: the caller repeats it until it is one.
type JoinArgs struct {
	Group  string
	Member replicator.Member
}

// DeliverArgs carries messages of one group.
type DeliverArgs struct {
	Group     string
	Envelopes []replicator.Envelope
}

// ConfirmArgs asks the leader of a group for a confirmed index.
type ConfirmArgs struct{ Group string }

// ConfirmReply is at or past everything that was accepted before the call.
type ConfirmReply struct {
	Redirect
	Index uint64
}

// NodeReport is what a node says of itself with each Sync.
type NodeReport struct {
	Node        string             `json:"node"`
	Incarnation uint64             `json:"incarnation"`
	DataCentre  string             `json:"dataCentre"`
	Version     uint64             `json:"version"`
	Revision    uint64             `json:"revision"`
	Targets     int                `json:"targets"`
	Leaving     bool               `json:"leaving"`
	Evidence    []decider.Evidence `json:"-"` // Evidence is what the node saw since its last report.
}

// NodeStatus is a report with its age, since clocks differ between hosts.
type NodeStatus struct {
	Report NodeReport    `json:"report"`
	Age    time.Duration `json:"age"`
	Lags   time.Duration `json:"lags"` // Lags is how long the node has been behind the newest version.
}

// SeenArgs carries what nodes told a follower to the leader.
type SeenArgs struct {
	Sightings []NodeStatus
	Evidence  []decider.Evidence
}

// SyncArgs asks for what changed since Have, waiting for up to Wait.
type SyncArgs struct {
	Report NodeReport
	Have   differ.Position
	Wait   time.Duration
	Known  int // Known is the number of control hosts that the node knows.
}

// SyncReply leads the node to the newest state. Unless Confirmed is set, the
// control host could not make sure that its state is current, or the node knows
// fewer hosts than there are and is to choose again; the reply then holds no update.
type SyncReply struct {
	Confirmed bool
	Update    []byte   // Update is what differ.Pack wrote.
	Hosts     []string // Hosts are the addresses of all control hosts.
}

// CommandArgs proposes a command to a group.
type CommandArgs struct {
	Group   string
	Command []byte
}

// CommandReply holds the encoded result of a command. Failure is set when the
// command may or may not have been accepted.
type CommandReply struct {
	Redirect
	Result  []byte
	Failure string
}

// AnnounceArgs holds the whole list of targets of each of some nodes.
type AnnounceArgs struct{ Announcements []applier.Announcement }

// AnnounceReply tells whether the lists were accepted; Failure is empty then.
type AnnounceReply struct{ Failure string }

// MemberAction is a change of a group's members.
type MemberAction string

// The changes of members.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberArgs changes the members of one group.
type MemberArgs struct {
	Group  string
	Action MemberAction
	Member replicator.Member
}

// NodesReply lists the nodes that the leader knows of.
type NodesReply struct {
	Redirect
	Sightings []NodeStatus
}
