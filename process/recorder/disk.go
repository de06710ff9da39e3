package recorder

import (
	"io"
	"os"
	"path/filepath"
	"sort"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync returns once all written bytes are durable, also across a power loss.
	Sync() error
	Close() error
}

// Disk is the part of a file system that a Recorder uses. All names are relative to
// one folder.
type Disk interface {
	// Append opens a file for appending and creates it when it is missing.
	Append(name string) (File, error)
	// Read returns the content of a file. For a missing one it returns an error for
	// which os.IsNotExist reports true.
	Read(name string) ([]byte, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Replace writes a whole file atomically: a crash leaves the old or the new content.
	Replace(name string, content []byte) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of the files in the folder, sorted.
	List() ([]string, error)
}

// Folder is a Disk on the local file system.
type Folder struct {
	Path string // Path is the path of the folder, which must exist; Create creates it.
}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// Create creates the folder and missing parents, and syncs its parent.
func (f Folder) Create() error {
	if err := os.MkdirAll(f.Path, folderPerm); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(f.Path))
}

// Append implements Disk.
func (f Folder) Append(name string) (File, error) {
	path := filepath.Join(f.Path, name)
	_, statErr := os.Stat(path)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE, filePerm)
	if err != nil {
		return nil, err
	}
	if os.IsNotExist(statErr) {
		if err := syncFolder(f.Path); err != nil {
			_ = file.Close()
			return nil, err
		}
	}
	return file, nil
}

// Read implements Disk.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.Path, name)) }

// Truncate implements Disk.
func (f Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.Path, name), os.O_RDWR, filePerm)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Replace implements Disk.
func (f Folder) Replace(name string, content []byte) error {
	temp := filepath.Join(f.Path, name+".tmp")
	file, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(f.Path, name)); err != nil {
		return err
	}
	return syncFolder(f.Path)
}

// Remove implements Disk.
func (f Folder) Remove(name string) error { return os.Remove(filepath.Join(f.Path, name)) }

// List implements Disk.
func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// syncFolder makes the names of created, renamed and removed files durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}
