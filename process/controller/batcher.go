package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// maxBatchLists is the maximum number of nodes' target lists in one batch.
	maxBatchLists = 256
	// gatherInterval is the time between two checks for pending lists.
	gatherInterval = 20 * time.Millisecond
	// commitTimeout bounds one attempt of the leader to commit a command, and
	// announceTimeout the total time that a list waits at the leader.
	commitTimeout   = 450 * time.Millisecond
	announceTimeout = 900 * time.Millisecond
	// forwardTimeout bounds the attempts of another host to forward lists to a
	// leader, and gatherTimeout the total time that a list waits at that host. Each
	// timeout is longer than the one before, since a call that times out closes its
	// connection.
	forwardTimeout = 1000 * time.Millisecond
	gatherTimeout  = 1100 * time.Millisecond
	// minAnnounceInterval is the minimum time between two announcement commands,
	// and announceIntervalPerNode what each node adds to it: every command makes a
	// small control host send an update to each of its nodes, in addition to
	// replicating the command.
	minAnnounceInterval     = 120 * time.Millisecond
	announceIntervalPerNode = 2 * time.Millisecond
	// maxAnnounceInterval keeps the wait of an announcement below announceTimeout.
	maxAnnounceInterval = 400 * time.Millisecond
)

// batcher combines announcements that arrive close together into one batch. It is
// safe for concurrent use.
//
// Load pattern: after a power loss all targets announce themselves within a
// second, and every accepted command makes each control host send an update to
// each of its nodes. So each control host collects the lists of its nodes and
// forwards them to the leader in batches. The leader commits the first lists at
// once; later lists wait for the next command, so that there are few commands.
type batcher struct {
	submit   func(ctx context.Context, list []applier.Announcement) error
	interval func() time.Duration // interval returns the minimum time between two batches; minAnnounceInterval applies when nil.

	mu      sync.Mutex
	pending []pendingList
}

// pendingList is the list of one node, and the channel that receives its outcome.
type pendingList struct {
	list applier.Announcement
	done chan<- error
}

// addAndWait adds lists to the next batch and returns once all of them are
// accepted. It returns the first error of a list, or an error of KindUncertain
// when the limit passes first.
func (b *batcher) addAndWait(limit time.Duration, lists ...applier.Announcement) error {
	done := make(chan error, len(lists))
	b.mu.Lock()
	for _, l := range lists {
		b.pending = append(b.pending, pendingList{l, done})
	}
	b.mu.Unlock()
	timeout := time.After(limit)
	for range lists {
		select {
		case err := <-done:
			if err != nil {
				return err
			}
		case <-timeout:
			return &Error{"announce", KindUncertain, context.DeadlineExceeded}
		}
	}
	return nil
}

// loop submits pending lists in batches until ctx ends, with the minimum interval
// between two batches. It does not wait for the outcome of a batch.
func (b *batcher) loop(ctx context.Context) {
	sentAt := time.Time{}
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, gatherInterval)
		if time.Since(sentAt) < b.currentInterval() {
			continue
		}
		if batch := b.takeBatch(); len(batch) > 0 {
			sentAt = time.Now()
			go b.sendBatch(ctx, batch)
		}
	}
}

// takeBatch removes and returns up to maxBatchLists pending lists.
func (b *batcher) takeBatch() []pendingList {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatchLists)
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// sendBatch submits a batch and reports its outcome to every waiting caller.
func (b *batcher) sendBatch(ctx context.Context, batch []pendingList) {
	lists := make([]applier.Announcement, 0, len(batch))
	for _, p := range batch {
		lists = append(lists, p.list)
	}
	err := b.submit(ctx, lists)
	for _, p := range batch {
		p.done <- err
	}
}

// currentInterval returns the minimum time between two batches.
func (b *batcher) currentInterval() time.Duration {
	if b.interval == nil {
		return minAnnounceInterval
	}
	return b.interval()
}

// announceInterval returns the minimum time between two announcement commands in
// a mesh with a number of nodes.
func announceInterval(nodes int) time.Duration {
	return min(max(minAnnounceInterval, time.Duration(nodes)*announceIntervalPerNode), maxAnnounceInterval)
}

// batchInterval returns the minimum time between two batches of this host. It is
// longer on the leader, since only the leader's batches become commands.
func (c *Controller) batchInterval() time.Duration {
	if !c.isLeader() {
		return gatherInterval
	}
	return announceInterval(len(c.state.State().Endpoints))
}

// acceptAnnouncements waits until the lists are accepted, for up to the limit. A
// failure goes into the reply.
func (c *Controller) acceptAnnouncements(args messenger.AnnounceArgs, reply *messenger.AnnounceReply, limit time.Duration) {
	if !c.joined.Load() {
		reply.Failure = "this control host has not joined its groups yet"
		return
	}
	if err := c.batcher.addAndWait(limit, args.Announcements...); err != nil {
		reply.Failure = err.Error()
	}
}

// submitAnnouncements proposes a batch as one command when this host leads, and
// forwards it to the leader otherwise. It retries until forwardTimeout, then
// returns an error of KindUncertain with the last cause.
func (c *Controller) submitAnnouncements(ctx context.Context, lists []applier.Announcement) error {
	if c.isLeader() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := c.propose(call, applier.Announce{Announcements: lists, At: time.Now()})
		return err
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	last := errors.New("no leader of the configuration group was found")
	for call.Err() == nil {
		if leader := c.redirect(c.replicas[configIndex]).Leader; leader != "" {
			var reply messenger.AnnounceReply
			err := c.pool.Get(leader).Call(call, messenger.MethodForward, messenger.AnnounceArgs{Announcements: lists}, &reply)
			switch {
			case err != nil:
				last = err
			case reply.Failure != "":
				last = errors.New(reply.Failure)
			default:
				return nil
			}
		}
		sleeper.Sleep(call, 3*pollInterval)
	}
	return &Error{"announce", KindUncertain, last}
}
