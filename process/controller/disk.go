package controller

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

// diskRetryInterval is the pause between two attempts to open files on a disk that fails.
const diskRetryInterval = 200 * time.Millisecond

// diskFailures counts the outages of this host's disk, as each group saw them.
var diskFailures = metrics.NewCounter("hornbeam_disk_failures_total")

// openReplica opens this host's replica of a group. It tries again while the disk fails,
// until ctx ends, since this process may also run a node. It returns other errors at once.
func (c *Controller) openReplica(ctx context.Context, m *groupReplica) error {
	failed := false
	for {
		err := m.open(c.identity.InitialMembership)
		if !isDiskError(err) {
			return err
		}
		if !failed {
			c.Log.Error("replica of the group cannot be opened, since its disk fails; free disk space", "group", m.group.Name, "err", err)
		}
		failed = true
		sleeper.Sleep(ctx, diskRetryInterval)
		if ctx.Err() != nil {
			return err
		}
	}
}

// isDiskError reports whether an error comes from a disk that may work again later.
func isDiskError(err error) bool {
	var e *Error
	return recorder.IsKind(err, recorder.KindIO) || errors.As(err, &e) && e.Kind == KindDisk
}

// open creates the folder of the group and opens it.
func (m *groupReplica) open(initial replicator.Membership) error {
	folder, ok := m.group.Recorder.Disk.(recorder.Folder)
	if ok {
		if err := folder.Create(); err != nil {
			return &Error{"open", KindDisk, err}
		}
	}
	return m.group.Open(initial)
}
