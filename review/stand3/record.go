package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	begun time.Time
}

// newRecorder creates the file.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, w: bufio.NewWriter(f), begun: time.Now()}, nil
}

// logf writes one line with the time since the start.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes one line to the file and to standard output.
func (r *recorder) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close writes what is buffered.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
