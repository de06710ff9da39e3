// Package recorder stores the durable state of one replicated group: the term
// and vote, the log entries, and snapshots.
//
// The log is a sequence of segment files. Each Save writes one record, or several for
// a large batch: a header with its own checksum and a body with another, followed by one
// sync. A record is therefore written only after the one before it was synced, and a crash can damage
// only the last record. Open uses this to distinguish two cases of damage:
//
//   - The last record is incomplete, or ends in blocks of zeros: the host crashed
//     before the sync returned and the record was never acknowledged. It is
//     truncated.
//   - Anything else: synced bytes have changed. Open fails with KindCorrupt and
//     names file and offset. Acknowledged entries are never truncated.
//
// A snapshot replaces the entries that it covers. It is written next to the log,
// synced and renamed, and only then are old segments removed.
//
// # Usage
//
//	r := &recorder.Recorder{Disk: recorder.Folder{Path: "data/config"}}
//	state, err := r.Open()
//	err = r.Save(recorder.Batch{HardState: &hardState, Entries: entries})
//
// After a failed Save or Compact a Recorder rejects further writes with KindFailed,
// because the content of a file is undefined after a failed sync. Recover makes it
// usable again once the disk works; the caller then repeats the call that failed.
package recorder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"strings"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"
)

const (
	// MaxRecordBytes bounds the body of one record of the log.
	MaxRecordBytes = 64 << 20

	// maxBodyBytes bounds the body of a file that holds one record: the identity, and
	// snapshots, whose size is that of the state.
	maxBodyBytes = math.MaxInt32

	// recordOverheadBytes and entryOverheadBytes bound the bytes of a record without its
	// entries, and of an entry without its data.
	recordOverheadBytes = 1 << 10
	entryOverheadBytes  = 64

	headerBytes    = 12  // body length, body checksum, header checksum; four bytes each
	zeroBlockBytes = 512 // zeroBlockBytes is the size of a disk block; one that was never written reads as zeros.
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	identityFile   = "identity"
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Kind is the reason why an operation of this package failed.
type Kind string

// The kinds of recorder errors.
const (
	KindIO      Kind = "io"      // KindIO means that the disk returned an error.
	KindCorrupt Kind = "damaged" // KindCorrupt means that synced bytes have changed.
	KindFailed  Kind = "failed"  // KindFailed means that an earlier write failed and Recover was not called since.
	KindTooBig  Kind = "tooBig"  // KindTooBig means that a record exceeds MaxRecordBytes.
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

// EntryKind is the purpose of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand    EntryKind = iota // EntryCommand carries a command for the state machine.
	EntryNoop                        // EntryNoop is the first entry of a leader's term.
	EntryMembership                  // EntryMembership carries the new list of voters and learners.
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the term and vote of a member. Both must survive a restart, so that
// the member does not vote twice in one term.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state and the encoded membership of the group after the entry at
// Index, which is of Term.
type Snapshot struct {
	Index      uint64 `cbor:"1,keyasint"`
	Term       uint64 `cbor:"2,keyasint"`
	Membership []byte `cbor:"3,keyasint"`
	Data       []byte `cbor:"4,keyasint"`
}

// Batch is what one Save writes, and the content of a record. HardState is nil when it is unchanged.
// Entries replace everything in the log from their first index on.
type Batch struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
}

// State is the durable state that Open has read.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// TruncatedBytes is the length of an unfinished last record that Open removed.
	TruncatedBytes int
}

// Recorder reads and writes the files of one group. Its methods are not safe for
// concurrent use: only the goroutine of the group calls them.
type Recorder struct {
	Disk Disk // Disk is set before Open.

	file          File
	hardState     HardState // hardState is the last one that was saved.
	segmentNumber uint64    // segmentNumber is the number of the current segment.
	syncedBytes   int64     // syncedBytes is the length of the synced records of the current segment.
	failure       error     // failure is the first error of a write since Open or Recover.
}

// Open reads the durable state and opens the log for appending. It returns
// KindCorrupt when synced bytes have changed or entries are missing, and KindIO when
// the disk fails.
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
	r.syncedBytes = 0
	for i, name := range segments {
		if r.syncedBytes, err = r.replaySegment(name, i == len(segments)-1, &state); err != nil {
			return State{}, err
		}
	}
	if err := checkContiguous(state); err != nil {
		return State{}, err
	}
	r.hardState = state.HardState
	r.failure = nil
	if len(segments) > 0 {
		if _, err := fmt.Sscanf(segments[len(segments)-1], segmentPrefix+"%d", &r.segmentNumber); err != nil {
			return State{}, &Error{"open", KindCorrupt, errors.Wrap(err, "parse the number in the name of the last segment")}
		}
	}
	r.file, err = r.Disk.Append(segmentName(r.segmentNumber))
	if err != nil {
		return State{}, &Error{"open", KindIO, err}
	}
	return state, nil
}

// Recover makes the Recorder usable again after a failed Save or Compact. It cuts the
// current segment behind its last synced record, since whatever a failed write left there
// was never acknowledged, and opens it anew. The caller then repeats the failed call with
// the same arguments before it makes any other one. Recover returns KindIO while the disk
// still fails.
func (r *Recorder) Recover() error {
	if r.failure == nil {
		return nil
	}
	_ = r.Close()
	name := segmentName(r.segmentNumber)
	if err := r.Disk.Truncate(name, r.syncedBytes); err != nil {
		return &Error{"recover", KindIO, err}
	}
	file, err := r.Disk.Append(name)
	if err != nil {
		return &Error{"recover", KindIO, err}
	}
	r.file, r.failure = file, nil
	return nil
}

// Save appends a batch to the log and syncs it, in several records if it exceeds
// MaxRecordBytes. It returns KindTooBig, with nothing written, for an entry over
// MaxRecordBytes; KindIO when the write or sync fails; and KindFailed after an earlier
// failure.
func (r *Recorder) Save(b Batch) error {
	if r.failure != nil {
		return &Error{"save", KindFailed, r.failure}
	}
	records, err := encodeRecords(b)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := r.writeRecord(record); err != nil {
			r.failure = err
			return &Error{"save", KindIO, err}
		}
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
	if err := r.file.Sync(); err != nil {
		return err
	}
	r.syncedBytes += int64(len(record))
	return nil
}

// Compact makes a snapshot durable, starts a segment with rest, the entries that
// follow the snapshot, and removes the files that the two replace. It returns KindTooBig,
// with nothing written, for a snapshot or an entry that is too large, KindIO when the
// disk fails, and KindFailed after an earlier failure.
func (r *Recorder) Compact(s Snapshot, rest []Entry) error {
	if r.failure != nil {
		return &Error{"compact", KindFailed, r.failure}
	}
	body, err := encoder.Marshal(s)
	if err == nil && len(body) > maxBodyBytes {
		err = errors.Errorf("snapshot of %d bytes exceeds the limit of %d bytes", len(body), maxBodyBytes)
	}
	if err != nil {
		return &Error{"compact", KindTooBig, err}
	}
	hard := r.hardState
	records, err := encodeRecords(Batch{HardState: &hard, Entries: rest})
	if err != nil {
		return err
	}
	if err := r.replaceFiles(s.Index, frameRecord(body), bytes.Join(records, nil)); err != nil {
		r.failure = err
		return &Error{"compact", KindIO, err}
	}
	return nil
}

// replaceFiles stores a snapshot, starts a segment with the given content and removes
// the files that the two replace.
func (r *Recorder) replaceFiles(snapshot uint64, content, segment []byte) error {
	if err := r.Disk.Replace(snapshotName(snapshot), content); err != nil {
		return err
	}
	if err := r.startSegment(segment); err != nil {
		return err
	}
	names, err := r.Disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !r.isObsolete(name, snapshot) {
			continue
		}
		if err := r.Disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// startSegment creates a new segment with the given content: records that repeat the
// hard state and the entries that are still needed.
func (r *Recorder) startSegment(content []byte) error {
	if err := r.Disk.Replace(segmentName(r.segmentNumber+1), content); err != nil {
		return err
	}
	file, err := r.Disk.Append(segmentName(r.segmentNumber + 1))
	if err != nil {
		return err
	}
	_ = r.file.Close()
	r.file, r.syncedBytes = file, int64(len(content))
	r.segmentNumber++
	return nil
}

// isObsolete reports whether a file is not needed beside the current segment and
// the snapshot at the given index.
func (r *Recorder) isObsolete(name string, snapshot uint64) bool {
	if strings.HasSuffix(name, ".tmp") {
		return true
	}
	if strings.HasPrefix(name, segmentPrefix) {
		return name < segmentName(r.segmentNumber)
	}
	return strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(snapshot)
}

// Close closes the current segment.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return file.Close()
}

// encodeRecords returns the records of a batch. The first holds the hard state, and each
// as many of the entries as MaxRecordBytes allows.
func encodeRecords(b Batch) ([][]byte, error) {
	var records [][]byte
	for rest := b.Entries; ; {
		n := entriesPerRecord(rest)
		body, err := encoder.Marshal(Batch{HardState: b.HardState, Entries: rest[:n]})
		if err != nil {
			return nil, &Error{"encode", KindIO, err}
		}
		if len(body) > MaxRecordBytes {
			return nil, &Error{"encode", KindTooBig, errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(body), MaxRecordBytes)}
		}
		records = append(records, frameRecord(body))
		if rest = rest[n:]; len(rest) == 0 {
			return records, nil
		}
		b.HardState = nil
	}
}

// entriesPerRecord returns how many of the first entries one record holds: at least
// one, if there is any.
func entriesPerRecord(entries []Entry) int {
	size := recordOverheadBytes
	for i, e := range entries {
		size += entryOverheadBytes + len(e.Data)
		if size > MaxRecordBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// frameRecord returns a record: body with its header before it.
func frameRecord(body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out[0:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoliTable))
	binary.BigEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoliTable))
	return append(out, body...)
}

// splitRecord returns the body of the first record in raw and the bytes after it;
// ok is false when the record is incomplete, a checksum does not match, or the body has
// more than maxBytes.
func splitRecord(raw []byte, maxBytes int) (body, rest []byte, ok bool) {
	if len(raw) < headerBytes || crc32.Checksum(raw[:8], castagnoliTable) != binary.BigEndian.Uint32(raw[8:]) {
		return nil, nil, false
	}
	n := int(binary.BigEndian.Uint32(raw))
	if n > maxBytes || len(raw)-headerBytes < n {
		return nil, nil, false
	}
	body = raw[headerBytes : headerBytes+n]
	if crc32.Checksum(body, castagnoliTable) != binary.BigEndian.Uint32(raw[4:]) {
		return nil, nil, false
	}
	return body, raw[headerBytes+n:], true
}

// ReadIdentity returns the identity that WriteIdentity stored on this disk; nil
// means that there is none yet. The content is opaque to this package. It returns
// KindCorrupt when the checksum does not match, and KindIO when the disk fails.
func ReadIdentity(d Disk) ([]byte, error) {
	raw, err := d.Read(identityFile)
	if os.IsNotExist(errors.Cause(err)) {
		return nil, nil
	}
	if err != nil {
		return nil, &Error{"identity", KindIO, err}
	}
	body, rest, ok := splitRecord(raw, maxBodyBytes)
	if !ok || len(rest) > 0 {
		return nil, &Error{"identity", KindCorrupt, errors.New("checksum of the identity file does not match; replace this control host")}
	}
	return body, nil
}

// WriteIdentity replaces the identity file atomically. It returns KindIO when the
// disk fails.
func WriteIdentity(d Disk, body []byte) error {
	if err := d.Replace(identityFile, frameRecord(body)); err != nil {
		return &Error{"identity", KindIO, err}
	}
	return nil
}

// segmentName and snapshotName pad the number with zeros, so that names sort by it.
func segmentName(n uint64) string      { return fmt.Sprintf("%s%016d", segmentPrefix, n) }
func snapshotName(index uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

// withPrefix returns the names with the prefix, without temporary files.
func withPrefix(names []string, prefix string) []string {
	var out []string
	for _, n := range names {
		if strings.HasPrefix(n, prefix) && !strings.HasSuffix(n, ".tmp") {
			out = append(out, n)
		}
	}
	return out
}
