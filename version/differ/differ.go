// Package differ makes and applies the updates that carry the configuration
// and the endpoints from control hosts to nodes.
//
// An update names the version and revision that it starts from and holds only
// what changed since, by section: a node that is 500 versions behind gets each
// changed section once. Digests cover the result, so a node that ends up with
// anything else throws the update away and asks for everything.
//
// # Usage
//
//	u := differ.Make(state, have)          // on a control host
//	b, err := differ.Pack(u)               // once for all nodes that need the same
//	u, err := differ.Unpack(b)             // on a node
//	next, err := differ.Apply(holding, u)
package differ

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// Kind tells why an update cannot be applied.
type Kind string

// The kinds of update errors.
const (
	KindBaseMismatch   Kind = "base"   // KindBase means that the update starts from another version.
	KindDigestMismatch Kind = "digest" // KindDigest means that the result is not what the sender has.
	KindOlder          Kind = "older"  // KindOlder means that the update leads to an older version.
	// KindEncoding means that an update cannot be written or read.
	KindEncoding Kind = "encoding"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("differ: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Position tells what a node holds.
type Position struct {
	Version, Digest         uint64
	Revision, EndpointsHash uint64
}

// Section is one section on its way to a node.
type Section struct {
	Name    string
	Body    []byte
	Removed bool
}

// Update leads from one version and revision to another. From 0 replaces
// everything.
type Update struct {
	FromVersion, Version, Digest          uint64
	Sections                              []Section
	Traffics                              []applier.Traffic
	FromRevision, Revision, EndpointsHash uint64
	Endpoints                             []applier.Endpoint
	Gone                                  []applier.EndpointKey
	Suspects                              []applier.PoisonRequest // Suspects is the whole list whenever the revision changes.
}

// EmptyFor reports whether the update changes nothing for a node that has h.
func (u Update) EmptyFor(h Position) bool { return u.Version == h.Version && u.Revision == h.Revision }

// Snapshot is what a node has of the state. It never changes.
type Snapshot struct {
	Version        uint64
	Sections       []Section
	Traffics       []applier.Traffic
	Revision       uint64
	Endpoints      []applier.Endpoint
	PoisonRequests []applier.PoisonRequest
}

// Position describes the holding to a control host.
func (h Snapshot) Position() Position {
	return Position{Version: h.Version, Digest: h.digest(), Revision: h.Revision, EndpointsHash: hashEndpoints(h.Endpoints, h.PoisonRequests)}
}

func (h Snapshot) digest() uint64 { return hashConfig(h.Version, h.Sections, h.Traffics) }

// SnapshotOf returns what a node holds that has all of the state.
func SnapshotOf(s applier.State) Snapshot {
	h := Snapshot{Version: s.Version, Traffics: s.Traffics, Revision: s.Revision, Endpoints: s.Endpoints, PoisonRequests: s.PoisonRequests}
	for _, source := range s.Sources() {
		h.Sections = append(h.Sections, Section{Name: source.Name, Body: source.Body})
	}
	return h
}

// NewUpdate returns the update from what a node has to the state. A node whose
// digests do not fit gets everything.
func NewUpdate(s applier.State, target Position, have Position) Update {
	u := Update{Version: s.Version, Digest: target.Digest, Revision: s.Revision, EndpointsHash: target.EndpointsHash}
	u.makeConfig(s, target, have)
	u.makeEndpoints(s, target, have)
	return u
}

func (u *Update) makeConfig(s applier.State, target, have Position) {
	u.FromVersion = have.Version
	switch {
	case have.Version == s.Version && have.Digest == target.Digest:
		return
	case have.Version >= s.Version:
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

func (u *Update) makeEndpoints(s applier.State, target, have Position) {
	u.FromRevision = have.Revision
	switch {
	case have.Revision == s.Revision && have.EndpointsHash == target.EndpointsHash:
		return
	case have.Revision >= s.Revision || have.Revision < s.RemovalsTruncatedAt:
		u.FromRevision = 0
	}
	u.Suspects = s.PoisonRequests
	for _, e := range s.Endpoints {
		if e.Modified > u.FromRevision {
			u.Endpoints = append(u.Endpoints, e)
		}
	}
	if u.FromRevision == 0 {
		return
	}
	for _, g := range s.RemovedEndpoints {
		if g.Revision > u.FromRevision {
			u.Gone = append(u.Gone, g.EndpointKey)
		}
	}
}

// Apply returns what a node holds after an update. On an error the node keeps
// what it has and asks for everything.
func Apply(h Snapshot, u Update) (Snapshot, error) {
	if u.Version < h.Version || u.Revision < h.Revision {
		return h, &Error{"apply", KindOlder, errors.Errorf("%d/%d after %d/%d", u.Version, u.Revision, h.Version, h.Revision)}
	}
	if (u.FromVersion != 0 && u.FromVersion != h.Version) || (u.FromRevision != 0 && u.FromRevision != h.Revision) {
		return h, &Error{"apply", KindBaseMismatch, errors.Errorf("update starts from %d/%d, node has %d/%d",
			u.FromVersion, u.FromRevision, h.Version, h.Revision)}
	}
	next := h.withConfig(u).withEndpoints(u)
	if have := next.Position(); have.Digest != u.Digest || have.EndpointsHash != u.EndpointsHash {
		return h, &Error{"apply", KindDigestMismatch, errors.Errorf("version %d, revision %d", u.Version, u.Revision)}
	}
	return next, nil
}

func (h Snapshot) withConfig(u Update) Snapshot {
	sections, traffics := h.Sections, h.Traffics
	if u.FromVersion == 0 {
		sections, traffics = nil, nil
	}
	h.Version = u.Version
	h.Sections = merge(sections, u.Sections, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	h.Sections = slices.DeleteFunc(h.Sections, func(s Section) bool { return s.Removed })
	h.Traffics = merge(traffics, u.Traffics, func(a, b applier.Traffic) int { return strings.Compare(a.Service, b.Service) })
	return h
}

func (h Snapshot) withEndpoints(u Update) Snapshot {
	list := h.Endpoints
	if u.FromRevision == 0 {
		list = nil
	}
	if u.FromRevision != u.Revision {
		h.PoisonRequests = u.Suspects
	}
	h.Revision = u.Revision
	list = merge(list, u.Endpoints, func(a, b applier.Endpoint) int { return a.Compare(b.EndpointKey) })
	h.Endpoints = slices.DeleteFunc(list, func(e applier.Endpoint) bool { return slices.Contains(u.Gone, e.EndpointKey) })
	return h
}

// merge returns a sorted copy of old with each change added or replaced.
func merge[T any](old, changes []T, compare func(a, b T) int) []T {
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

// hashConfig covers the version and every section and traffic in order.
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

// hashEndpoints covers every endpoint and suspect in order.
func hashEndpoints(endpoints []applier.Endpoint, suspects []applier.PoisonRequest) uint64 {
	d := xxhash.New()
	sorted := slices.IsSortedFunc(endpoints, func(a, b applier.Endpoint) int { return cmp.Or(a.Compare(b.EndpointKey)) })
	if !sorted {
		return 0
	}
	b, err := encoder.Marshal(endpoints)
	if err == nil && len(endpoints) > 0 {
		_, _ = d.Write(b)
	}
	if b, err = encoder.Marshal(suspects); err == nil && len(suspects) > 0 {
		_, _ = d.Write(b)
	}
	return d.Sum64()
}
