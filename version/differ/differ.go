// Package differ makes and applies the updates that transfer the configuration
// and the endpoints from control hosts to nodes.
//
// An update names the version and revision that it is based on and holds only
// the sections and endpoints that have changed since: a node that is 500 versions
// behind receives each changed section once. Digests cover the result, so a node
// whose result differs drops the update and requests the whole state.
//
// # Usage
//
//	target := differ.SnapshotOf(state).Position()   // on a control host
//	u := differ.NewUpdate(state, target, current)
//	b, err := differ.Pack(u)                        // once for all nodes at the same position
//	u, err := differ.Unpack(b)                      // on a node
//	next, err := differ.Apply(snapshot, u)
package differ

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// Kind is the reason why an update cannot be packed, unpacked or applied.
type Kind string

// The kinds of update errors.
const (
	KindBaseMismatch   Kind = "base"   // KindBaseMismatch means that the update is based on another version or revision.
	KindDigestMismatch Kind = "digest" // KindDigestMismatch means that the result differs from the sender's state.
	KindOlder          Kind = "older"  // KindOlder means that the update results in an older version or revision.
	// KindEncoding means that an update cannot be encoded or decoded.
	KindEncoding Kind = "encoding"
)

// Error is the only error type of this package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("differ: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Have is the position of a node. It identifies the content of the node's snapshot:
// configuration version and endpoint revision, each with a digest of the content. gob
// sends the name of the type, which therefore is part of the encoding and must not
// change.
type Have struct {
	Version, Digest         uint64
	Revision, EndpointsHash uint64 // EndpointsHash is the digest of the endpoints and poison requests.
	// ListHash is the digest of the endpoints alone, SuspectsHash that of all that is known
	// of the poison requests. Both are 0 from processes of an earlier build.
	ListHash, SuspectsHash uint64
}

// Section is one section in an update or a snapshot. Removed is set in updates
// only; the section then has no body.
type Section struct {
	Name    string
	Body    []byte
	Removed bool
}

// Update is the difference between two versions and two revisions. FromVersion 0
// replaces the whole configuration, FromRevision 0 all endpoints.
type Update struct {
	FromVersion, Version, Digest          uint64
	Sections                              []Section
	Traffics                              []applier.Traffic
	FromRevision, Revision, EndpointsHash uint64
	Endpoints                             []applier.Endpoint
	Gone                                  []applier.EndpointKey
	Suspects                              []applier.PoisonRequest // Suspects is the complete list of poison requests whenever it may have changed.
	// SuspectsChanged means that Suspects replaces the list at an unchanged revision.
	SuspectsChanged        bool
	ListHash, SuspectsHash uint64 // ListHash and SuspectsHash are those of the target position.
}

// EmptyFor reports whether the update changes neither version nor revision of a
// node at the given position.
func (u Update) EmptyFor(p Have) bool { return u.Version == p.Version && u.Revision == p.Revision }

// Target returns the position of a node after the update.
func (u Update) Target() Have {
	return Have{Version: u.Version, Digest: u.Digest, Revision: u.Revision, EndpointsHash: u.EndpointsHash, ListHash: u.ListHash, SuspectsHash: u.SuspectsHash}
}

// LeadsTo reports whether the update leads to the position p that the node already has.
func (u Update) LeadsTo(p Have) bool {
	return u.EmptyFor(p) && u.Digest == p.Digest && u.EndpointsHash == p.EndpointsHash && !u.SuspectsChanged
}

// Snapshot is the part of the state that a node stores. It is immutable.
type Snapshot struct {
	Version        uint64
	Sections       []Section
	Traffics       []applier.Traffic
	Revision       uint64
	Endpoints      []applier.Endpoint
	PoisonRequests []applier.PoisonRequest
}

// Position returns the position that a node sends to a control host.
func (s Snapshot) Position() Have {
	list, all := hashEndpoints(s.Endpoints, s.PoisonRequests)
	return Have{Version: s.Version, Digest: s.digest(), Revision: s.Revision, EndpointsHash: all, ListHash: list, SuspectsHash: hashSuspects(s.PoisonRequests)}
}

// digest returns the digest of the configuration.
func (s Snapshot) digest() uint64 { return hashConfig(s.Version, s.Sections, s.Traffics) }

// SnapshotOf returns the snapshot of a node that is up to date with the state.
func SnapshotOf(s applier.State) Snapshot {
	snapshot := Snapshot{Version: s.Version, Traffics: s.Traffics, Revision: s.Revision, Endpoints: uniqueEndpoints(s.Endpoints), PoisonRequests: s.PoisonRequests}
	for _, source := range s.Sources() {
		snapshot.Sections = append(snapshot.Sections, Section{Name: source.Name, Body: source.Body})
	}
	return snapshot
}

// NewUpdate returns the update from the position of a node to the state, whose own
// position is target. A node whose digest does not match at the same version or
// revision, or that is ahead of the state, gets a complete replacement.
func NewUpdate(s applier.State, target Have, current Have) Update {
	u := Update{Version: s.Version, Digest: target.Digest, Revision: s.Revision, EndpointsHash: target.EndpointsHash, ListHash: target.ListHash, SuspectsHash: target.SuspectsHash}
	u.addConfigChanges(s, target, current)
	u.addEndpointChanges(s, target, current)
	return u
}

// addConfigChanges adds the sections and traffics that have changed.
func (u *Update) addConfigChanges(s applier.State, target, current Have) {
	u.FromVersion = current.Version
	switch {
	case current.Version == s.Version && current.Digest == target.Digest:
		return
	case current.Version >= s.Version:
		u.FromVersion = 0
	}
	for _, sec := range s.Sections {
		if sec.Current.Version <= u.FromVersion || (u.FromVersion == 0 && sec.Current.Retired) {
			continue
		}
		u.Sections = append(u.Sections, Section{Name: sec.Name, Body: sec.Current.Body, Removed: sec.Current.Retired})
		if sec.Current.Retired {
			u.Sections[len(u.Sections)-1].Body = nil
		}
	}
	for _, t := range s.Traffics {
		if t.Modified > u.FromVersion {
			u.Traffics = append(u.Traffics, t)
		}
	}
}

// addEndpointChanges adds the endpoints that have changed or are removed. A node
// older than the recorded removals gets all endpoints.
func (u *Update) addEndpointChanges(s applier.State, target, current Have) {
	u.FromRevision = current.Revision
	switch {
	case current.Revision == s.Revision && current.ListHash == target.ListHash && target.ListHash != 0:
		if current.SuspectsHash != target.SuspectsHash {
			u.Suspects, u.SuspectsChanged = s.PoisonRequests, true
		}
		return
	case current.Revision == s.Revision && current.EndpointsHash == target.EndpointsHash:
		return
	case current.Revision >= s.Revision || current.Revision < s.RemovalsTruncatedAt:
		u.FromRevision = 0
	}
	u.Suspects = s.PoisonRequests
	for _, e := range uniqueEndpoints(s.Endpoints) {
		if e.Modified > u.FromRevision {
			u.Endpoints = append(u.Endpoints, e)
		}
	}
	if u.FromRevision == 0 {
		return
	}
	for _, r := range s.RemovedEndpoints {
		if r.Revision > u.FromRevision {
			u.Gone = append(u.Gone, r.EndpointKey)
		}
	}
}

// uniqueEndpoints returns sorted endpoints with only one of those that have the same
// key: the one that was modified last. A node stores one endpoint for each key, so the
// digest of a list with two would never match. The list itself is returned if its keys
// are unique, and is not modified otherwise.
func uniqueEndpoints(list []applier.Endpoint) []applier.Endpoint {
	sameKey := func(a, b applier.Endpoint) bool { return a.EndpointKey == b.EndpointKey }
	first := 1
	for first < len(list) && !sameKey(list[first-1], list[first]) {
		first++
	}
	if first >= len(list) {
		return list
	}
	out := slices.Clone(list[:first])
	for _, e := range list[first:] {
		last := &out[len(out)-1]
		switch {
		case !sameKey(*last, e):
			out = append(out, e)
		case e.Modified >= last.Modified:
			*last = e
		}
	}
	return out
}

// Apply returns the snapshot after an update. On an error it returns the current
// snapshot; the node then requests the whole state.
func Apply(current Snapshot, u Update) (Snapshot, error) {
	if u.Version < current.Version || u.Revision < current.Revision {
		return current, &Error{"apply", KindOlder, errors.Errorf("update to version/revision %d/%d is older than %d/%d of the node", u.Version, u.Revision, current.Version, current.Revision)}
	}
	if (u.FromVersion != 0 && u.FromVersion != current.Version) || (u.FromRevision != 0 && u.FromRevision != current.Revision) {
		return current, &Error{"apply", KindBaseMismatch, errors.Errorf("update is based on version/revision %d/%d, node has %d/%d",
			u.FromVersion, u.FromRevision, current.Version, current.Revision)}
	}
	next := current.withConfig(u).withEndpoints(u)
	if result := next.Position(); result.Digest != u.Digest || result.EndpointsHash != u.EndpointsHash {
		return current, &Error{"apply", KindDigestMismatch, errors.Errorf("result differs from the sender's state of version %d, revision %d", u.Version, u.Revision)}
	}
	return next, nil
}

// withConfig returns the snapshot with the configuration of an update.
func (s Snapshot) withConfig(u Update) Snapshot {
	sections, traffics := s.Sections, s.Traffics
	if u.FromVersion == 0 {
		sections, traffics = nil, nil
	}
	s.Version = u.Version
	s.Sections = mergeSorted(sections, u.Sections, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	s.Sections = slices.DeleteFunc(s.Sections, func(sec Section) bool { return sec.Removed })
	s.Traffics = mergeSorted(traffics, u.Traffics, func(a, b applier.Traffic) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// withEndpoints returns the snapshot with the endpoints of an update.
func (s Snapshot) withEndpoints(u Update) Snapshot {
	list := s.Endpoints
	if u.FromRevision == 0 {
		list = nil
	}
	if u.FromRevision != u.Revision || u.SuspectsChanged {
		s.PoisonRequests = u.Suspects
	}
	s.Revision = u.Revision
	list = mergeSorted(list, u.Endpoints, func(a, b applier.Endpoint) int { return a.Compare(b.EndpointKey) })
	s.Endpoints = slices.DeleteFunc(list, func(e applier.Endpoint) bool { return slices.Contains(u.Gone, e.EndpointKey) })
	return s
}

// mergeSorted returns a copy of the sorted list old in which each change is
// inserted, or replaces the element that compares equal. The changes need not be
// sorted, since the place of each is found by binary search.
func mergeSorted[T any](old, changes []T, compare func(a, b T) int) []T {
	out := slices.Clone(old)
	for _, c := range changes {
		i, ok := slices.BinarySearchFunc(out, c, compare)
		if ok {
			out[i] = c
			continue
		}
		out = slices.Insert(out, i, c)
	}
	return out
}

// hashConfig returns the digest of the version and of all sections and traffics in
// order.
func hashConfig(version uint64, sections []Section, traffics []applier.Traffic) uint64 {
	d := xxhash.New()
	var n [8]byte
	put := func(v uint64) {
		binary.BigEndian.PutUint64(n[:], v)
		_, _ = d.Write(n[:])
	}
	put(version)
	for _, s := range sections {
		put(uint64(len(s.Name)))
		_, _ = d.WriteString(s.Name)
		put(uint64(len(s.Body)))
		_, _ = d.Write(s.Body)
	}
	for _, t := range traffics {
		b, err := encoder.Marshal(t)
		if err == nil {
			put(xxhash.Sum64(b))
		}
	}
	return d.Sum64()
}

// countedRequest is the part of a poison request that the digest covers: what hosts of
// earlier builds store of it.
type countedRequest struct {
	Service   string    `cbor:"1,keyasint"`
	Signature uint64    `cbor:"2,keyasint"`
	Crashes   int       `cbor:"3,keyasint"`
	ExpiresAt time.Time `cbor:"4,keyasint"`
}

// hashEndpoints returns the digest of all endpoints in order, and that of the endpoints
// and the poison requests. Both are 0 when the endpoints are not sorted.
func hashEndpoints(endpoints []applier.Endpoint, poisonRequests []applier.PoisonRequest) (list, all uint64) {
	d := xxhash.New()
	sorted := slices.IsSortedFunc(endpoints, func(a, b applier.Endpoint) int { return cmp.Or(a.Compare(b.EndpointKey)) })
	if !sorted {
		return 0, 0
	}
	b, err := encoder.Marshal(endpoints)
	if err == nil && len(endpoints) > 0 {
		_, _ = d.Write(b)
	}
	list = d.Sum64()
	counted := make([]countedRequest, 0, len(poisonRequests))
	for _, p := range poisonRequests {
		counted = append(counted, countedRequest{p.Service, p.Signature, p.Crashes, p.ExpiresAt})
	}
	if b, err = encoder.Marshal(counted); err == nil && len(counted) > 0 {
		_, _ = d.Write(b)
	}
	return list, d.Sum64()
}

// hashSuspects returns the digest of all that is known of the poison requests.
func hashSuspects(poisonRequests []applier.PoisonRequest) uint64 {
	b, err := encoder.Marshal(poisonRequests)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
