// Package faker implements recorder.Disk in memory, for tests of the recorder and
// of packages that use it. It can simulate a crash, a full disk and changed bytes.
// Only tests import it.
//
// # Usage
//
//	d := &faker.Disk{}
//	r := &recorder.Recorder{Disk: d}
//	d.Crash(0) // drops all bytes that were not synced
package faker

import (
	"os"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// Disk implements recorder.Disk in memory. The zero value is an empty disk without
// a limit.
type Disk struct {
	Limited bool // Limited makes writes, syncs, truncations and replacements fail once Budget is 0.
	Budget  int  // Budget is the number of them that still succeed.

	files map[string]*fakeFile
}

type fakeFile struct {
	disk        *Disk
	content     []byte
	syncedBytes int
}

var errFull = errors.New("no space left on the fake disk")

// consumeBudget returns errFull when the budget is used up.
func (d *Disk) consumeBudget() error {
	if !d.Limited {
		return nil
	}
	if d.Budget <= 0 {
		return errFull
	}
	d.Budget--
	return nil
}

// Crash drops the bytes of each file that were not synced, except the first keep of
// them.
func (d *Disk) Crash(keep int) {
	for _, f := range d.files {
		f.content = f.content[:min(f.syncedBytes+keep, len(f.content))]
		f.syncedBytes = len(f.content)
	}
}

// Corrupt flips the lowest bit of the byte at offset at in a file. It panics when the
// file does not exist or is not longer than at.
func (d *Disk) Corrupt(name string, at int) {
	f := d.files[name]
	f.content = slices.Clone(f.content)
	f.content[at] ^= 1
}

// Append implements recorder.Disk.
func (d *Disk) Append(name string) (recorder.File, error) { return d.open(name), nil }

// open returns the file with the name, and creates an empty one when there is none.
func (d *Disk) open(name string) *fakeFile {
	if d.files == nil {
		d.files = map[string]*fakeFile{}
	}
	if d.files[name] == nil {
		d.files[name] = &fakeFile{disk: d}
	}
	return d.files[name]
}

// Read implements recorder.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

// Truncate implements recorder.Disk.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.consumeBudget(); err != nil {
		return err
	}
	f := d.open(name)
	f.content = f.content[:size]
	f.syncedBytes = len(f.content)
	return nil
}

// Replace implements recorder.Disk.
func (d *Disk) Replace(name string, content []byte) error {
	if err := d.consumeBudget(); err != nil {
		return err
	}
	delete(d.files, name)
	f := d.open(name)
	f.content = slices.Clone(content)
	f.syncedBytes = len(content)
	return nil
}

// Remove implements recorder.Disk.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// List implements recorder.Disk.
func (d *Disk) List() ([]string, error) {
	var names []string
	for n := range d.files {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

// Write implements recorder.File. A disk that becomes full takes the first half of the
// bytes.
func (f *fakeFile) Write(b []byte) (int, error) {
	if err := f.disk.consumeBudget(); err != nil {
		half := len(b) / 2
		f.content = append(f.content, b[:half]...)
		return half, err
	}
	f.content = append(f.content, b...)
	return len(b), nil
}

// Sync implements recorder.File.
func (f *fakeFile) Sync() error {
	if err := f.disk.consumeBudget(); err != nil {
		return err
	}
	f.syncedBytes = len(f.content)
	return nil
}

// Close implements recorder.File.
func (f *fakeFile) Close() error { return nil }
