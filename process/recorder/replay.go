package recorder

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// readSnapshot reads the newest snapshot. A snapshot is renamed to its name only
// after it was synced, so a wrong checksum means that synced bytes have changed.
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
	body, rest, ok := splitRecord(raw, maxBodyBytes)
	if !ok || len(rest) > 0 {
		return &Error{"read", KindCorrupt, errors.Errorf("%s: checksum does not match; replace this control host", name)}
	}
	if err := encoder.Unmarshal(body, &state.Snapshot); err != nil {
		return &Error{"read", KindCorrupt, errors.Wrap(err, name)}
	}
	return nil
}

// replaySegment reads one segment into state and returns the length of its records. Only
// the last segment may end in a torn write, which is truncated.
func (r *Recorder) replaySegment(name string, last bool, state *State) (int64, error) {
	raw, err := r.Disk.Read(name)
	if err != nil {
		return 0, &Error{"replay", KindIO, err}
	}
	rest := raw
	for len(rest) > 0 {
		offset := len(raw) - len(rest)
		body, next, ok := splitRecord(rest, MaxRecordBytes)
		if !ok {
			if !last || !isTornWrite(rest) {
				return 0, &Error{"replay", KindCorrupt, errors.Errorf("%s at byte %d: checksum does not match; replace this control host", name, offset)}
			}
			state.TruncatedBytes = len(rest)
			if err := r.Disk.Truncate(name, int64(offset)); err != nil {
				return 0, &Error{"replay", KindIO, err}
			}
			return int64(offset), nil
		}
		var b Batch
		if err := encoder.Unmarshal(body, &b); err != nil {
			return 0, &Error{"replay", KindCorrupt, errors.Wrapf(err, "%s at byte %d", name, offset)}
		}
		mergeBatch(state, b)
		rest = next
	}
	return int64(len(raw)), nil
}

// mergeBatch adds one batch to the state read so far.
func mergeBatch(state *State, b Batch) {
	if b.HardState != nil {
		state.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		// An entry of an earlier term cannot follow the snapshot: the host crashed
		// after it stored the snapshot and before it started the segment for it.
		if e.Index <= state.Snapshot.Index || e.Term < state.Snapshot.Term {
			continue
		}
		for len(state.Entries) > 0 && state.Entries[len(state.Entries)-1].Index >= e.Index {
			state.Entries = state.Entries[:len(state.Entries)-1]
		}
		state.Entries = append(state.Entries, e)
	}
}

// checkContiguous returns KindCorrupt unless the entries follow the snapshot
// without a gap.
func checkContiguous(state State) error {
	want := state.Snapshot.Index + 1
	for _, e := range state.Entries {
		if e.Index != want {
			return &Error{"open", KindCorrupt, errors.Errorf("log entry %d is missing, the next one is %d; replace this control host", want, e.Index)}
		}
		want++
	}
	return nil
}

// isTornWrite reports whether the invalid bytes at the end of the last segment can
// be a record whose sync never returned: it is shorter than its header states, or
// ends in a block that never reached the disk.
func isTornWrite(rest []byte) bool {
	if len(rest) < headerBytes {
		return true
	}
	if crc32.Checksum(rest[:8], castagnoliTable) == binary.BigEndian.Uint32(rest[8:]) {
		n := int(binary.BigEndian.Uint32(rest))
		if len(rest)-headerBytes < n {
			return true
		}
		return len(rest)-headerBytes == n && endsInZeros(rest)
	}
	return endsInZeros(rest)
}

// endsInZeros reports whether the last zeroBlockBytes of b, or all of b if it is
// shorter, are zeros.
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
