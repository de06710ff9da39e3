package recorder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/recorder/faker"
)

// entry returns an entry of term 1 with data that depends on the index.
func entry(i uint64) recorder.Entry {
	return recorder.Entry{Index: i, Term: 1, Data: []byte(fmt.Sprintf("entry %d", i))}
}

func openRecorder(t *testing.T, d recorder.Disk) (*recorder.Recorder, recorder.State, error) {
	t.Helper()
	r := &recorder.Recorder{Disk: d}
	s, err := r.Open()
	return r, s, err
}

// diskWithRecords returns a disk with n synced records and the log's length after each.
func diskWithRecords(t *testing.T, n uint64) (*faker.Disk, []int) {
	is := is.New(t)
	d := &faker.Disk{}
	r, _, err := openRecorder(t, d)
	is.NoErr(err)
	var ends []int
	for i := uint64(1); i <= n; i++ {
		is.NoErr(r.Save(recorder.Batch{HardState: &recorder.HardState{Term: 1}, Entries: []recorder.Entry{entry(i)}}))
		b, err := d.Read("log-0000000000000000")
		is.NoErr(err)
		ends = append(ends, len(b))
	}
	return d, ends
}

// TestTornTailIsCut guards against an Open that fails, or returns a partial entry,
// after a crash in the middle of a write: any number of bytes of the last record may
// have reached the disk.
func TestTornTailIsCut(t *testing.T) {
	d, ends := diskWithRecords(t, 3)
	last := ends[2] - ends[1]
	for keep := range last {
		is := is.New(t)
		d, _ := diskWithRecords(t, 2)
		r, _, err := openRecorder(t, d)
		is.NoErr(err)
		d.Limited, d.Budget = true, 1 // the write succeeds, its sync never returns
		is.True(recorder.IsKind(r.Save(recorder.Batch{HardState: &recorder.HardState{Term: 1}, Entries: []recorder.Entry{entry(3)}}), recorder.KindIO))
		is.True(recorder.IsKind(r.Save(recorder.Batch{}), recorder.KindFailed)) // no write is accepted after a failed sync
		d.Crash(keep)
		d.Limited = false
		_, s, err := openRecorder(t, d)
		is.NoErr(err)
		is.Equal(len(s.Entries), 2)
		is.Equal(s.TruncatedBytes, keep)
	}
	_ = d
}

// TestDamageIsNotCut flips one bit of each byte of the log in turn. It guards against
// losing acknowledged entries without an error.
func TestDamageIsNotCut(t *testing.T) {
	_, ends := diskWithRecords(t, 3)
	for at := range ends[2] {
		is := is.New(t)
		d, _ := diskWithRecords(t, 3)
		d.Corrupt("log-0000000000000000", at)
		_, s, err := openRecorder(t, d)
		if err == nil {
			t.Fatalf("byte %d changed: Open returned %d entries of 3 and no error", at, len(s.Entries))
		}
		is.True(recorder.IsKind(err, recorder.KindCorrupt))
	}
}

// TestSnapshotReplacesLog guards against losing entries when the host crashes in the
// middle of a compaction, after any number of its writes.
func TestSnapshotReplacesLog(t *testing.T) {
	for budget := range 12 {
		is := is.New(t)
		d, _ := diskWithRecords(t, 5)
		r, _, err := openRecorder(t, d)
		is.NoErr(err)
		d.Limited, d.Budget = true, budget
		_ = r.Compact(recorder.Snapshot{Index: 3, Term: 1, Data: []byte("state")}, []recorder.Entry{entry(4), entry(5)})
		d.Crash(0)
		d.Limited = false
		_, s, err := openRecorder(t, d)
		is.NoErr(err)
		is.Equal(s.Snapshot.Index+uint64(len(s.Entries)), uint64(5))
		is.Equal(s.HardState.Term, uint64(1))
	}
}

// TestOverwrittenEntriesAreGone guards against replaced entries that reappear after
// a restart: a batch replaces all entries from its first index on.
func TestOverwrittenEntriesAreGone(t *testing.T) {
	is := is.New(t)
	d, _ := diskWithRecords(t, 4)
	r, _, err := openRecorder(t, d)
	is.NoErr(err)
	changed := recorder.Entry{Index: 2, Term: 2, Data: []byte("other")}
	is.NoErr(r.Save(recorder.Batch{Entries: []recorder.Entry{changed}}))
	_, s, err := openRecorder(t, d)
	is.NoErr(err)
	is.Equal(s.Entries, []recorder.Entry{entry(1), changed})
}

// TestIdentityIsStoredAndChecked guards against a lost identity and against one that
// is read although its bytes have changed.
func TestIdentityIsStoredAndChecked(t *testing.T) {
	is := is.New(t)
	d := &faker.Disk{}
	b, err := recorder.ReadIdentity(d)
	is.NoErr(err)
	is.Equal(b, nil)
	is.NoErr(recorder.WriteIdentity(d, []byte("me")))
	b, err = recorder.ReadIdentity(d)
	is.NoErr(err)
	is.Equal(string(b), "me")
	d.Corrupt("identity", 3)
	_, err = recorder.ReadIdentity(d)
	is.True(recorder.IsKind(err, recorder.KindCorrupt))
}

// largeEntries returns entries whose data exceeds MaxRecordBytes in total.
func largeEntries(from uint64) []recorder.Entry {
	data := make([]byte, recorder.MaxRecordBytes/4)
	var out []recorder.Entry
	for i := range uint64(6) {
		out = append(out, recorder.Entry{Index: from + i, Term: 1, Data: data})
	}
	return out
}

// TestLargeStateEndsEachStart guards against a snapshot, or entries after it, that Compact
// writes and Open rejects as damaged: the host then ends at each start.
func TestLargeStateEndsEachStart(t *testing.T) {
	for _, row := range []struct {
		name string
		size int // size is that of the state in bytes.
		rest []recorder.Entry
	}{
		{"state", recorder.MaxRecordBytes + 1, nil},
		{"entries", 1, largeEntries(4)},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := diskWithRecords(t, 3)
			r, _, err := openRecorder(t, d)
			is.NoErr(err)
			is.NoErr(r.Compact(recorder.Snapshot{Index: 3, Term: 1, Data: make([]byte, row.size)}, row.rest))
			next := uint64(4 + len(row.rest))
			is.NoErr(r.Save(recorder.Batch{Entries: []recorder.Entry{entry(next)}}))
			_, s, err := openRecorder(t, d)
			is.NoErr(err)
			is.Equal(len(s.Snapshot.Data), row.size)
			is.Equal(len(s.Entries), len(row.rest)+1)
			is.Equal(s.HardState.Term, uint64(1))
		})
	}
}

// TestManyLargeEntriesEndTheHost guards against a batch of entries, each within the
// limit, that can't be saved as a whole. The group ends when it can't save.
func TestManyLargeEntriesEndTheHost(t *testing.T) {
	is := is.New(t)
	d := &faker.Disk{}
	r, _, err := openRecorder(t, d)
	is.NoErr(err)
	is.NoErr(r.Save(recorder.Batch{HardState: &recorder.HardState{Term: 1}, Entries: largeEntries(1)}))
	tooLarge := recorder.Entry{Index: 7, Term: 1, Data: make([]byte, recorder.MaxRecordBytes+1)}
	is.True(recorder.IsKind(r.Save(recorder.Batch{Entries: []recorder.Entry{entry(7), tooLarge}}), recorder.KindTooBig))
	is.NoErr(r.Save(recorder.Batch{Entries: []recorder.Entry{entry(7)}})) // nothing was written
	_, s, err := openRecorder(t, d)
	is.NoErr(err)
	is.Equal(len(s.Entries), 7)
	is.Equal(s.HardState.Term, uint64(1))
}

// FuzzReplay opens a log of arbitrary bytes. It guards against panics and against a
// truncation beyond the length of the file.
func FuzzReplay(f *testing.F) {
	d := &faker.Disk{}
	r := &recorder.Recorder{Disk: d}
	if _, err := r.Open(); err != nil {
		f.Fatal(err)
	}
	_ = r.Save(recorder.Batch{Entries: []recorder.Entry{entry(1)}})
	seed, _ := d.Read("log-0000000000000000")
	f.Add(seed)
	f.Add([]byte{})
	f.Add(make([]byte, 600))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &faker.Disk{}
		if err := d.Replace("log-0000000000000000", raw); err != nil {
			t.Fatal(err)
		}
		r := &recorder.Recorder{Disk: d}
		s, err := r.Open()
		if err == nil && s.TruncatedBytes > len(raw) {
			t.Fatal("Open truncated more bytes than the file had")
		}
	})
}

// TestFullDiskStopsRecorder guards against a Recorder that a disk without room makes
// useless for good, and against lost or doubled entries when the failed call is repeated
// after any number of its writes.
func TestFullDiskStopsRecorder(t *testing.T) {
	batch := recorder.Batch{HardState: &recorder.HardState{Term: 2}, Entries: []recorder.Entry{entry(6)}}
	snapshot := recorder.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	calls := map[string]func(r *recorder.Recorder) error{
		"save":    func(r *recorder.Recorder) error { return r.Save(batch) },
		"compact": func(r *recorder.Recorder) error { return r.Compact(snapshot, []recorder.Entry{entry(4), entry(5)}) },
	}
	for name, call := range calls {
		for budget := range 2 {
			is := is.New(t)
			d, _ := diskWithRecords(t, 5)
			r, _, err := openRecorder(t, d)
			is.NoErr(err)
			d.Limited, d.Budget = true, budget
			is.True(recorder.IsKind(call(r), recorder.KindIO))
			is.True(recorder.IsKind(r.Recover(), recorder.KindIO)) // the disk is still full
			is.True(recorder.IsKind(call(r), recorder.KindFailed))
			d.Limited = false
			is.NoErr(r.Recover())
			is.NoErr(call(r))
			is.NoErr(r.Save(batch))
			d.Crash(0)
			_, s, err := openRecorder(t, d)
			is.NoErr(err)
			is.Equal(s.HardState.Term, uint64(2))
			is.Equal(s.Snapshot.Index+uint64(len(s.Entries)), uint64(6)) // name, budget
			is.Equal(s.Entries[len(s.Entries)-1], entry(6))
			t.Logf("%s after %d writes: %d entries", name, budget, len(s.Entries))
		}
	}
}
