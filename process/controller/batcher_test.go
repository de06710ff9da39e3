package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// TestAnnounceIntervalGrowsWithMesh guards against announcement commands that follow
// each other faster than small control hosts send updates to all nodes, and against
// an interval so long that waiting announcements time out.
func TestAnnounceIntervalGrowsWithMesh(t *testing.T) {
	is := is.New(t)
	is.Equal(announceInterval(9), minAnnounceInterval)
	is.True(announceInterval(281) > 2*minAnnounceInterval)
	is.True(announceInterval(100_000)+gatherInterval < announceTimeout)
}

// TestManyAnnouncementsTakeFewCommands guards against one command per node when 68
// nodes announce their targets within a second, as after a power loss: a lone
// announcement is submitted at once, and all 68 take at most ten commands.
func TestManyAnnouncementsTakeFewCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 68
		var mu sync.Mutex
		commands, announced := 0, 0
		b := &batcher{submit: func(_ context.Context, list []applier.Announcement) error {
			mu.Lock()
			defer mu.Unlock()
			commands++
			announced += len(list)
			return nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.loop(ctx)
		begun := time.Now()
		is.NoErr(b.addAndWait(announceTimeout, applier.Announcement{Node: "first"}))
		is.True(time.Since(begun) <= 2*gatherInterval) // a lone announcement is submitted without waiting
		var all sync.WaitGroup
		for i := range nodes - 1 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / nodes)
				if err := b.addAndWait(announceTimeout, applier.Announcement{Node: fmt.Sprint(i)}); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		t.Logf("%d commands for %d announcements", commands, announced)
		is.Equal(announced, nodes)
		is.True(commands <= 10)
	})
}

// TestListsOfHostAreBatched guards against one call per node, and against batches
// that wait for each other: a control host collects the lists of 28 nodes while
// earlier calls to the leader are still open. It makes few calls, and each node
// receives the outcome of its own list.
func TestListsOfHostAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		calls := 0
		b := &batcher{interval: func() time.Duration { return gatherInterval }, submit: func(_ context.Context, list []applier.Announcement) error {
			mu.Lock()
			calls++
			mu.Unlock()
			time.Sleep(maxAnnounceInterval) // the interval of the leader
			if list[0].Node == "0" {
				return context.DeadlineExceeded
			}
			return nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.loop(ctx)
		begun := time.Now()
		var all sync.WaitGroup
		for i := range 28 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				err := b.addAndWait(gatherTimeout, applier.Announcement{Node: fmt.Sprint(i)})
				if i == 0 && err == nil || i > 4 && err != nil {
					t.Error(i, err)
				}
			})
		}
		all.Wait()
		is.True(calls <= 8)
		is.True(time.Since(begun) < 2*maxAnnounceInterval) // no batch waited for an earlier one
	})
}
