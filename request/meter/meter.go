// Package meter measures the backlog of a host's network link.
//
// Load pattern: a fast target attracts many requests for large responses, and the
// bandwidth of its host's link limits how many of them can be sent. Nothing fails, but
// every response of the host waits for the link, small ones too, until callers time
// out. So an owner node measures how long its link is busy, includes that in its load
// reports, and rejects requests for large responses that the link cannot send soon
// while other hosts can.
//
// # Usage
//
//	l := &meter.Link{BytesPerSecond: 1e6}
//	done := l.AddPending(size)          // a response of about this size is being generated
//	done()
//	l.RecordSent(time.Now(), len(body)) // the response was written to the link
//	wait := l.Delay(time.Now())
package meter

import (
	"sync"
	"time"
)

// Link estimates the backlog of one host's link in the sending direction. A nil Link,
// or one without a rate, has no backlog. It is safe for concurrent use; the exported
// field is set before use.
type Link struct {
	BytesPerSecond float64 // BytesPerSecond is the bandwidth; 0 means that it is unknown.

	mu           sync.Mutex
	idleAt       time.Time // idleAt is when the link has transferred everything that was sent.
	pendingBytes int       // pendingBytes is the number of bytes that are expected to be sent soon.
}

// TransferTime returns how long the link takes to transfer a number of bytes, 0 when
// the bandwidth is unknown.
func (l *Link) TransferTime(bytes int) time.Duration {
	if l == nil || l.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second))
}

// AddPending adds bytes that are expected to be sent soon. The returned function
// subtracts them again; it is called once, when they have been sent or will not be sent.
func (l *Link) AddPending(bytes int) (done func()) {
	if l == nil {
		return func() {}
	}
	l.adjustPending(bytes)
	return func() { l.adjustPending(-bytes) }
}

// adjustPending adds bytes, which may be negative, to the pending ones.
func (l *Link) adjustPending(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes += bytes
}

// RecordSent adds bytes that are written to the link now.
func (l *Link) RecordSent(now time.Time, bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(l.TransferTime(bytes))
}

// Delay returns how long the link takes to transfer the sent and the pending bytes.
func (l *Link) Delay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.idleAt.Sub(now), 0) + l.TransferTime(l.pendingBytes)
}
