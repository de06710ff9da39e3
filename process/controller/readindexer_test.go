package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestReadIndexCallsShareRounds guards against one round per call, and against stale
// reads: 28 nodes call five times a second, as during a move. The rate of rounds is
// bounded, and every call gets a round that began after it.
func TestReadIndexCallsShareRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		rounds := 0
		var startedAt time.Time
		interval := readIndexInterval(10)
		f := &readIndexer{interval: func() time.Duration { return interval }, round: func(context.Context) error {
			mu.Lock()
			rounds++
			startedAt = time.Now()
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			return nil
		}}
		var nodes sync.WaitGroup
		for n := range 28 {
			nodes.Go(func() {
				time.Sleep(time.Duration(n) * 7 * time.Millisecond)
				for range 5 {
					calledAt := time.Now()
					if f.wait(t.Context(), time.Now()) != nil {
						t.Error("the read-index round failed")
					}
					mu.Lock()
					late := startedAt.Before(calledAt)
					mu.Unlock()
					if late {
						t.Error("the round began before the call")
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		begun := time.Now()
		nodes.Wait()
		is.True(rounds <= int(time.Since(begun)/interval)+1)
	})
}

// TestWaitingCallsShareRetries guards against retries by every waiting call during an
// election: the calls of 94 nodes wait without a leader and share a bounded number
// of rounds. Calls whose deadline is after the election succeed; the others fail.
func TestWaitingCallsShareRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const election = 300 * time.Millisecond
		electedAt := time.Now().Add(election)
		var rounds atomic.Int64
		interval := readIndexInterval(5)
		f := &readIndexer{interval: func() time.Duration { return interval }, round: func(context.Context) error {
			rounds.Add(1)
			if time.Now().Before(electedAt) {
				return &Error{"confirm", KindNoLeader, nil}
			}
			return nil
		}}
		var served, refused atomic.Int64
		var nodes sync.WaitGroup
		for n := range 94 {
			nodes.Go(func() {
				limit := 2 * election
				if n%2 > 0 {
					limit = election / 2
				}
				if f.wait(t.Context(), time.Now().Add(limit)) == nil {
					served.Add(1)
				} else {
					refused.Add(1)
				}
			})
		}
		nodes.Wait()
		is.Equal(served.Load(), int64(47))
		is.Equal(refused.Load(), int64(47))
		is.True(rounds.Load() <= int64(election/interval)+2)
	})
}
