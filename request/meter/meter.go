// Package meter keeps account of what a host's network link has yet to carry.
//
// Load pattern: a fast target draws many requests for large answers, and the
// link of its host carries only so many of them. Nothing fails; every answer of
// the host waits in the link, small ones too, until callers give up. So an
// owner node knows how long its link is busy, says so, and refuses large answers
// that the link cannot carry soon while other hosts can.
//
// # Usage
//
//	l := &meter.Link{BytesPerSecond: 1e6}
//	done := l.Expect(size)        // an answer of about this size is being made
//	done()
//	l.Sent(time.Now(), len(body)) // it is on its way
//	wait := l.Delay(time.Now())
package meter

import (
	"sync"
	"time"
)

// Link is one host's link, in the sending direction. A nil Link, or one without
// a rate, is never busy. It is safe for concurrent use; the exported field is
// set before use.
type Link struct {
	BytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // freeAt is when everything that was sent is out.
	due    int       // due is the number of bytes that are expected to be sent soon.
}

// TransferTime returns how long the link takes for a number of bytes.
func (l *Link) TransferTime(bytes int) time.Duration {
	if l == nil || l.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second))
}

// AddPending notes bytes that will be sent soon; the returned function takes them
// back, once they are sent or will not be.
func (l *Link) AddPending(bytes int) (done func()) {
	if l == nil {
		return func() {}
	}
	l.add(bytes)
	return func() { l.add(-bytes) }
}

func (l *Link) add(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due += bytes
}

// RecordSent notes bytes that are handed to the link now.
func (l *Link) RecordSent(now time.Time, bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.TransferTime(bytes))
}

// Delay returns how long what was sent and what is due keep the link busy.
func (l *Link) Delay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.freeAt.Sub(now), 0) + l.TransferTime(l.due)
}
