// Package faker is a disk in memory for tests of the recorder and of what is
// built on it. Only tests import it.
//
// # Usage
//
//	d := &faker.Disk{}
//	r := &recorder.Recorder{Disk: d}
//	d.Crash(0) // everything that was not synced is gone
package faker

import (
	"os"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// Disk implements recorder.Disk.
type Disk struct {
	Limited bool // Limited makes writes fail once Budget is used up.
	Budget  int  // Budget is the number of writes and syncs that still succeed.

	files map[string]*fakeFile
}

type fakeFile struct {
	disk        *Disk
	content     []byte
	syncedBytes int
}

var errFull = errors.New("no space left on the fake disk")

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

// Crash drops what was not synced, but for the first keep bytes of it.
func (d *Disk) Crash(keep int) {
	for _, f := range d.files {
		f.content = f.content[:min(f.syncedBytes+keep, len(f.content))]
		f.syncedBytes = len(f.content)
	}
}

// Corrupt flips one bit.
func (d *Disk) Corrupt(name string, at int) {
	f := d.files[name]
	f.content = slices.Clone(f.content)
	f.content[at] ^= 1
}

// Append implements recorder.Disk.
func (d *Disk) Append(name string) (recorder.File, error) { return d.open(name), nil }

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

// Write implements recorder.File.
func (f *fakeFile) Write(b []byte) (int, error) {
	if err := f.disk.consumeBudget(); err != nil {
		return 0, err
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
