package replicator

import (
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// diskRetryInterval is the time between two attempts to repeat a failed write.
const diskRetryInterval = 100 * time.Millisecond

// diskOutage is the time during which the disk refuses writes.
type diskOutage struct {
	since    time.Time
	retryAt  time.Time
	attempts int // attempts is the number of failed attempts to write.
}

// tick advances the time of the core, which stands still while the disk refuses writes.
func (g *Group) tick() {
	if g.outage == nil {
		g.core.Tick(g.Now())
	}
}

// rejectItem drops a message, and fails a request, while the disk refuses writes.
func rejectItem(e inboxItem) {
	var result chan outcome
	switch e := e.(type) {
	case receivedMessage:
		return
	case proposal:
		result = e.result
	case membershipChange:
		result = e.result
	case readIndexRequest:
		result = e.result
	case leadershipTransfer:
		result = e.result
	}
	result <- outcome{err: &Error{"request", KindNotLeader, errors.New("the disk of this member refuses writes")}}
}

// flush carries out the effects of the core. A write that the disk refuses begins an
// outage, in which flush repeats that write every diskRetryInterval; its other errors
// are final.
func (g *Group) flush() error {
	if g.outage != nil && g.Now().Before(g.outage.retryAt) {
		return nil
	}
	err := g.Recorder.Recover()
	if err == nil {
		err = g.flushEffects()
	}
	switch {
	case recorder.IsKind(err, recorder.KindIO):
		g.recordDiskFailure(err)
		return nil
	case err == nil && g.outage != nil:
		g.emitEvent(DiskRecovery{Attempts: g.outage.attempts, Outage: g.Now().Sub(g.outage.since)})
		g.outage = nil
	}
	return err
}

// recordDiskFailure records a write that the disk has refused. The first one begins an
// outage: this member steps down, since it cannot add to its log, and its unsent messages
// are dropped, since they may be out of date once the disk works again.
func (g *Group) recordDiskFailure(err error) {
	now := g.Now()
	if g.outage == nil {
		g.outage = &diskOutage{since: now}
		g.core.StepDown()
		if g.unsaved != nil {
			g.unsaved.Messages = nil
		}
		g.emitEvent(DiskFailure{Err: err})
		g.publishStatus()
	}
	g.outage.attempts++
	g.outage.retryAt = now.Add(diskRetryInterval)
}
