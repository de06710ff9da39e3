package controller

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

// appliedGauge is the configuration version that this host has applied.
var appliedGauge = metrics.NewGauge("hornbeam_control_config_version", nil)

// versionTimes stores since when this host has had the newest configuration version. It
// is safe for concurrent use.
type versionTimes struct {
	mu        sync.Mutex
	version   uint64
	appliedAt time.Time
}

// record stores a version that was applied at a time. It returns false unless the version
// is newer than the stored one.
func (t *versionTimes) record(version uint64, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.version {
		return false
	}
	t.version, t.appliedAt = version, at
	return true
}

// age returns how long this host has had a version, zero when that is not known.
func (t *versionTimes) age(version uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version != t.version {
		return 0
	}
	return now.Sub(t.appliedAt)
}

// watchVersions logs each configuration version that this host applies, until ctx ends.
// On the leader this is the moment of the acknowledgement.
func (c *Controller) watchVersions(ctx context.Context) {
	for {
		state, changed := c.state.Watch()
		if c.versions.record(state.Version, time.Now()) {
			s := c.replicas[configIndex].group.Status()
			appliedGauge.Set(float64(state.Version))
			c.Log.Info("configuration version applied", "configVersion", state.Version, "document", state.Document.Number, "revision", state.Revision,
				"leads", s.Role == replicator.RoleLeader, "term", s.Term, "applied", s.Applied)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// readConfirmation logs when reads of a group can no longer be confirmed and when they
// can be again. It is used by one goroutine.
type readConfirmation struct {
	failingSince time.Time // failingSince is when the first of the failed rounds began, zero after a confirmed one.
}

// logRound logs a change of the outcome of read-index rounds.
func (c *Controller) logRound(r *readConfirmation, group string, startedAt time.Time, err error) {
	result := "confirmed"
	if err != nil {
		result = "unconfirmed"
	}
	metrics.GetOrCreateCounter(`hornbeam_read_index_rounds_total{group="` + group + `",result="` + result + `"}`).Inc()
	metrics.GetOrCreateHistogram(`hornbeam_read_index_seconds{group="` + group + `"}`).UpdateDuration(startedAt)
	switch {
	case err != nil && r.failingSince.IsZero():
		r.failingSince = startedAt
		c.Log.Warn("reads of the group are not confirmed", "group", group, "tookMs", time.Since(startedAt).Milliseconds(), "err", err)
	case err == nil && !r.failingSince.IsZero():
		c.Log.Info("reads of the group are confirmed again", "group", group, "afterMs", time.Since(r.failingSince).Milliseconds())
		r.failingSince = time.Time{}
	}
}
