// Package recorder keeps the durable state of one replicated group: the term
// and vote, the log entries, and snapshots.
//
// The log is a row of segment files. One Save makes one record: a header with
// its own checksum, then a body with another, then one sync. So a record is
// written only after the one before it was synced, and a crash can damage only
// the last record. Open uses this to tell the two cases of damage apart:
//
//   - The last record is incomplete, or ends in blocks of zeros: a crash came
//     before its sync returned, nobody was told that it is safe, it is cut off.
//   - Anything else: synced bytes have changed. Open fails with KindDamaged and
//     names file and offset. Acknowledged entries are never cut off.
//
// A snapshot replaces the entries that it covers. It is written beside the
// log, synced, renamed, and only then are old segments removed.
//
// # Usage
//
//	r := &recorder.Recorder{Disk: recorder.Folder{Path: "data/config"}}
//	state, err := r.Open()
//	err = r.Save(recorder.Batch{Hard: &hard, Entries: entries})
//
// After a failed Save a Recorder refuses further work with KindFailed, because
// after a failed sync nothing is known about the file's content.
package recorder

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"strings"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"
)

const (
	// MaxRecordBytes bounds the body of one record, in bytes.
	MaxRecordBytes = 64 << 20

	headerBytes    = 12 // body length, body checksum, header checksum; four bytes each
	zeroBlockBytes = 512
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	identityFile   = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind tells what went wrong on the disk.
type Kind string

// The kinds of recorder errors.
const (
	KindIO      Kind = "io"
	KindDamaged Kind = "damaged" // KindDamaged means that synced bytes have changed.
	KindFailed  Kind = "failed"  // KindFailed means that an earlier write failed.
	KindTooBig  Kind = "tooBig"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("recorder: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// EntryKind tells who reads an entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand    EntryKind = iota // EntryCommand is for the state machine.
	EntryNoop                        // EntryNoop opens a leader's term.
	EntryMembership                  // EntryMembership changes the voters or learners.
)

// Entry is one place in the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a member must not forget between two elections.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state of the group after the entry at Index.
type Snapshot struct {
	Index      uint64 `cbor:"1,keyasint"`
	Term       uint64 `cbor:"2,keyasint"`
	Membership []byte `cbor:"3,keyasint"`
	Data       []byte `cbor:"4,keyasint"`
}

// Batch is what one Save makes durable. Entries replace whatever the log held
// from their first index on.
type Batch struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
}

// State is what Open found.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// TruncatedBytes is the number of bytes of an unfinished record that were cut off.
	TruncatedBytes int
}

// Recorder owns the files of one group. Its methods are not safe for
// concurrent use: one goroutine, the group's, calls them.
type Recorder struct {
	Disk Disk

	file          File
	hardState     HardState
	segmentNumber uint64
	failure       error
}

// Open reads everything that is durable and makes the log ready to grow.
func (r *Recorder) Open() (State, error) {
	names, err := r.Disk.List()
	if err != nil {
		return State{}, &Error{"list", KindIO, err}
	}
	var state State
	if err := r.readSnapshot(names, &state); err != nil {
		return State{}, err
	}
	segments := withPrefix(names, segmentPrefix)
	for i, name := range segments {
		if err := r.replaySegment(name, i == len(segments)-1, &state); err != nil {
			return State{}, err
		}
	}
	if err := checkContiguous(state); err != nil {
		return State{}, err
	}
	r.hardState = state.HardState
	if len(segments) > 0 {
		if _, err := fmt.Sscanf(segments[len(segments)-1], segmentPrefix+"%d", &r.segmentNumber); err != nil {
			return State{}, &Error{"open", KindDamaged, errors.Wrap(err, "name of the last segment")}
		}
	}
	r.file, err = r.Disk.Append(segmentName(r.segmentNumber))
	if err != nil {
		return State{}, &Error{"open", KindIO, err}
	}
	return state, nil
}

// Save makes a batch durable before it returns.
func (r *Recorder) Save(b Batch) error {
	if r.failure != nil {
		return &Error{"save", KindFailed, r.failure}
	}
	record, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if err := r.writeRecord(record); err != nil {
		r.failure = err
		return &Error{"save", KindIO, err}
	}
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	return nil
}

func (r *Recorder) writeRecord(record []byte) error {
	if _, err := r.file.Write(record); err != nil {
		return err
	}
	return r.file.Sync()
}

// Compact makes a snapshot durable, begins a segment with the entries that
// follow it, and removes what the two replace.
func (r *Recorder) Compact(s Snapshot, rest []Entry) error {
	if r.failure != nil {
		return &Error{"compact", KindFailed, r.failure}
	}
	if err := r.compact(s, rest); err != nil {
		r.failure = err
		return &Error{"compact", KindIO, err}
	}
	return nil
}

func (r *Recorder) compact(s Snapshot, rest []Entry) error {
	body, err := encoder.Marshal(s)
	if err != nil {
		return err
	}
	if err := r.Disk.Replace(snapshotName(s.Index), frameRecord(body)); err != nil {
		return err
	}
	if err := r.startSegment(rest); err != nil {
		return err
	}
	names, err := r.Disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !r.isObsolete(name, s.Index) {
			continue
		}
		if err := r.Disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// startSegment begins a new segment whose first record repeats the hard state
// and the entries that are still needed.
func (r *Recorder) startSegment(rest []Entry) error {
	hard := r.hardState
	record, err := encodeRecord(Batch{HardState: &hard, Entries: rest})
	if err != nil {
		return err
	}
	if err := r.Disk.Replace(segmentName(r.segmentNumber+1), record); err != nil {
		return err
	}
	file, err := r.Disk.Append(segmentName(r.segmentNumber + 1))
	if err != nil {
		return err
	}
	_ = r.file.Close()
	r.file = file
	r.segmentNumber++
	return nil
}

func (r *Recorder) isObsolete(name string, snapshot uint64) bool {
	if strings.HasSuffix(name, ".tmp") {
		return true
	}
	if strings.HasPrefix(name, segmentPrefix) {
		return name < segmentName(r.segmentNumber)
	}
	return strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(snapshot)
}

// Close ends the use of the files.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// readSnapshot takes the newest snapshot. A snapshot gets its name only after
// it was synced, so a bad checksum in it is damage.
func (r *Recorder) readSnapshot(names []string, state *State) error {
	snaps := withPrefix(names, snapshotPrefix)
	if len(snaps) == 0 {
		return nil
	}
	name := snaps[len(snaps)-1]
	raw, err := r.Disk.Read(name)
	if err != nil {
		return &Error{"read", KindIO, err}
	}
	body, rest, ok := splitRecord(raw)
	if !ok || len(rest) > 0 {
		return &Error{"read", KindDamaged, errors.Errorf("%s: checksum does not match; replace this control host", name)}
	}
	if err := encoder.Unmarshal(body, &state.Snapshot); err != nil {
		return &Error{"read", KindDamaged, errors.Wrap(err, name)}
	}
	return nil
}

// replaySegment reads one segment into state. Only the last segment may end torn.
func (r *Recorder) replaySegment(name string, last bool, state *State) error {
	raw, err := r.Disk.Read(name)
	if err != nil {
		return &Error{"replay", KindIO, err}
	}
	rest := raw
	for len(rest) > 0 {
		body, next, ok := splitRecord(rest)
		if !ok {
			offset := len(raw) - len(rest)
			if !last || !isTornWrite(rest) {
				return &Error{"replay", KindDamaged, errors.Errorf("%s at byte %d: checksum does not match; replace this control host", name, offset)}
			}
			state.TruncatedBytes = len(rest)
			if err := r.Disk.Truncate(name, int64(offset)); err != nil {
				return &Error{"replay", KindIO, err}
			}
			return nil
		}
		var b Batch
		if err := encoder.Unmarshal(body, &b); err != nil {
			return &Error{"replay", KindDamaged, errors.Wrapf(err, "%s at byte %d", name, len(raw)-len(rest))}
		}
		mergeBatch(state, b)
		rest = next
	}
	return nil
}

// mergeBatch applies one batch to the state that was read so far.
func mergeBatch(state *State, b Batch) {
	if b.HardState != nil {
		state.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		// An entry older than the snapshot's term cannot follow the snapshot: a
		// crash came between installing the snapshot and beginning its segment.
		if e.Index <= state.Snapshot.Index || e.Term < state.Snapshot.Term {
			continue
		}
		for len(state.Entries) > 0 && state.Entries[len(state.Entries)-1].Index >= e.Index {
			state.Entries = state.Entries[:len(state.Entries)-1]
		}
		state.Entries = append(state.Entries, e)
	}
}

// checkContiguous makes sure that the entries follow the snapshot without a gap.
func checkContiguous(state State) error {
	want := state.Snapshot.Index + 1
	for _, e := range state.Entries {
		if e.Index != want {
			return &Error{"open", KindDamaged, errors.Errorf("entry %d is missing, found %d; replace this control host", want, e.Index)}
		}
		want++
	}
	return nil
}

func encodeRecord(b Batch) ([]byte, error) {
	body, err := encoder.Marshal(b)
	if err != nil {
		return nil, &Error{"encode", KindIO, err}
	}
	if len(body) > MaxRecordBytes {
		return nil, &Error{"encode", KindTooBig, errors.Errorf("%d bytes, limit %d", len(body), MaxRecordBytes)}
	}
	return frameRecord(body), nil
}

func frameRecord(body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out[0:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoli))
	binary.BigEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoli))
	return append(out, body...)
}

// splitRecord splits the first record off raw; ok is false when it is not whole.
func splitRecord(raw []byte) (body, rest []byte, ok bool) {
	if len(raw) < headerBytes || crc32.Checksum(raw[:8], castagnoli) != binary.BigEndian.Uint32(raw[8:]) {
		return nil, nil, false
	}
	n := int(binary.BigEndian.Uint32(raw))
	if n > MaxRecordBytes || len(raw)-headerBytes < n {
		return nil, nil, false
	}
	body = raw[headerBytes : headerBytes+n]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[4:]) {
		return nil, nil, false
	}
	return body, raw[headerBytes+n:], true
}

// isTornWrite reports whether bad bytes at the end of the last segment can be a
// record whose sync never returned: it is shorter than its header says, or
// holds a block that never reached the disk.
func isTornWrite(rest []byte) bool {
	if len(rest) < headerBytes {
		return true
	}
	if crc32.Checksum(rest[:8], castagnoli) == binary.BigEndian.Uint32(rest[8:]) {
		n := int(binary.BigEndian.Uint32(rest))
		if len(rest)-headerBytes < n {
			return true
		}
		return len(rest)-headerBytes == n && endsInZeros(rest)
	}
	return endsInZeros(rest)
}

func endsInZeros(b []byte) bool {
	if len(b) > zeroBlockBytes {
		b = b[len(b)-zeroBlockBytes:]
	}
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// ReadIdentity returns the identity that was minted on this disk; empty means
// that the disk is new. The content is opaque to this package.
func ReadIdentity(d Disk) ([]byte, error) {
	raw, err := d.Read(identityFile)
	if os.IsNotExist(errors.Cause(err)) {
		return nil, nil
	}
	if err != nil {
		return nil, &Error{"identity", KindIO, err}
	}
	body, rest, ok := splitRecord(raw)
	if !ok || len(rest) > 0 {
		return nil, &Error{"identity", KindDamaged, errors.New("checksum does not match; replace this control host")}
	}
	return body, nil
}

// WriteIdentity replaces the identity file as one step.
func WriteIdentity(d Disk, body []byte) error {
	if err := d.Replace(identityFile, frameRecord(body)); err != nil {
		return &Error{"identity", KindIO, err}
	}
	return nil
}

func segmentName(n uint64) string      { return fmt.Sprintf("%s%016d", segmentPrefix, n) }
func snapshotName(index uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

func withPrefix(names []string, prefix string) []string {
	var out []string
	for _, n := range names {
		if strings.HasPrefix(n, prefix) && !strings.HasSuffix(n, ".tmp") {
			out = append(out, n)
		}
	}
	return out
}
