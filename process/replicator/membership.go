package replicator

import (
	"slices"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// Member is the entry of one control host in its group's membership. ID is
// generated on the host's disk: a host whose disk is replaced joins as another
// member.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`    // Name is the configured name of the host.
	Address string `cbor:"3,keyasint" json:"address"` // Address is the RPC address of the host.
	Learner bool   `cbor:"4,keyasint,omitempty" json:"learner"`
}

// Membership is an immutable list of members. Voters count towards a quorum;
// learners only receive the log.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Find returns the member with the given identity, and false if there is none.
func (m Membership) Find(id string) (Member, bool) {
	for _, mem := range m.Members {
		if mem.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is the identity of a voter.
func (m Membership) IsVoter(id string) bool {
	mem, ok := m.Find(id)
	return ok && !mem.Learner
}

// Voters returns the IDs of all members that are no learners; nil when there are none.
func (m Membership) Voters() []string {
	var ids []string
	for _, mem := range m.Members {
		if !mem.Learner {
			ids = append(ids, mem.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// WithMember returns a copy of the list with mem added at its end. It replaces a
// member of the same identity.
func (m Membership) WithMember(mem Member) Membership {
	out := m.Without(mem.ID)
	out.Members = append(out.Members, mem)
	return out
}

// Without returns a copy of the list without the member of the given identity.
func (m Membership) Without(id string) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(mem Member) bool { return mem.ID == id })
	return Membership{Members: members}
}

// voterChanges counts the voters that are in only one of the two lists.
func (m Membership) voterChanges(to Membership) int {
	n := 0
	for _, id := range m.Voters() {
		if !to.IsVoter(id) {
			n++
		}
	}
	for _, id := range to.Voters() {
		if !m.IsVoter(id) {
			n++
		}
	}
	return n
}

// encode returns the encoded membership, which decodeMembership reads.
func (m Membership) encode() []byte {
	b, err := encoder.Marshal(m)
	if err != nil {
		panic(err) // A list of strings always encodes.
	}
	return b
}

// decodeMembership decodes the output of Membership.encode, or returns an error.
func decodeMembership(b []byte) (Membership, error) {
	var m Membership
	err := encoder.Unmarshal(b, &m)
	return m, err
}
