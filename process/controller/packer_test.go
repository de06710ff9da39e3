package controller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// TestHerdGetsOneUpdate lets many nodes ask for everything, then for the next
// difference: each is written once, and nodes end with what the state holds.
func TestHerdGetsOneUpdate(t *testing.T) {
	is := is.New(t)
	var p packer
	first, _ := edit(t, applier.State{}, 1, document(300, 0))
	second, _ := edit(t, first, 2, document(300, 1))
	var holding differ.Snapshot
	have := differ.Position{}
	before := packedTotal.Get()
	for i, s := range []applier.State{first, second} {
		target := differ.SnapshotOf(s).Position()
		var packed []byte
		for range 281 {
			b, err := p.pack(differ.NewUpdate(s, target, have))
			is.NoErr(err)
			packed = b
		}
		is.Equal(packedTotal.Get()-before, uint64(i+1))
		u, err := differ.Unpack(packed)
		is.NoErr(err)
		holding, err = differ.Apply(holding, u)
		is.NoErr(err)
		have = holding.Position()
		is.Equal(have, target)
	}
	// A node whose digest does not fit gets everything, not the difference.
	odd := differ.SnapshotOf(first).Position()
	odd.Version, odd.Digest = second.Version, odd.Digest+1
	b, err := p.pack(differ.NewUpdate(second, have, odd))
	is.NoErr(err)
	u, err := differ.Unpack(b)
	is.NoErr(err)
	is.Equal(u.FromVersion, uint64(0))
	is.True(len(u.Sections) > 1)
}

// TestSpoiledUpdateIsRefused shows that bytes which are no update change nothing.
func TestSpoiledUpdateIsRefused(t *testing.T) {
	is := is.New(t)
	s, _ := edit(t, applier.State{}, 1, document(30, 0))
	whole, err := differ.Pack(differ.NewUpdate(s, differ.SnapshotOf(s).Position(), differ.Position{}))
	is.NoErr(err)
	for n := range whole {
		if _, err := differ.Unpack(whole[:n]); err == nil {
			t.Fatalf("%d of %d bytes were taken for an update", n, len(whole))
		}
	}
	_, err = differ.Unpack([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	is.True(err != nil) // it claims to be gigabytes long
}
