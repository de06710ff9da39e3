package controller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// TestManyNodesGetOneUpdate guards against encoding an update once per node when all
// nodes request the same one: the whole state and the next difference are each
// encoded once, and nodes end with the position of the state.
func TestManyNodesGetOneUpdate(t *testing.T) {
	is := is.New(t)
	var p packer
	first, _ := edit(t, applier.State{}, 1, document(300, 0))
	second, _ := edit(t, first, 2, document(300, 1))
	var snapshot differ.Snapshot
	position := differ.Have{}
	before := packedTotal.Get()
	for i, s := range []applier.State{first, second} {
		newest := differ.SnapshotOf(s).Position()
		var packed []byte
		for range 281 {
			b, err := p.pack(differ.NewUpdate(s, newest, position))
			is.NoErr(err)
			packed = b
		}
		is.Equal(packedTotal.Get()-before, uint64(i+1))
		u, err := differ.Unpack(packed)
		is.NoErr(err)
		snapshot, err = differ.Apply(snapshot, u)
		is.NoErr(err)
		position = snapshot.Position()
		is.Equal(position, newest)
	}
	// A node with a different digest gets the whole state, not the difference.
	mismatched := differ.SnapshotOf(first).Position()
	mismatched.Version, mismatched.Digest = second.Version, mismatched.Digest+1
	b, err := p.pack(differ.NewUpdate(second, position, mismatched))
	is.NoErr(err)
	u, err := differ.Unpack(b)
	is.NoErr(err)
	is.Equal(u.FromVersion, uint64(0))
	is.True(len(u.Sections) > 1)
}

// TestCorruptUpdateIsRejected guards against truncated or forged bytes that are
// accepted as an update.
func TestCorruptUpdateIsRejected(t *testing.T) {
	is := is.New(t)
	s, _ := edit(t, applier.State{}, 1, document(30, 0))
	whole, err := differ.Pack(differ.NewUpdate(s, differ.SnapshotOf(s).Position(), differ.Have{}))
	is.NoErr(err)
	for n := range whole {
		if _, err := differ.Unpack(whole[:n]); err == nil {
			t.Fatalf("%d of %d bytes were accepted as an update", n, len(whole))
		}
	}
	_, err = differ.Unpack([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	is.True(err != nil) // the length prefix declares gigabytes
}
