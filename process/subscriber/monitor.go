package subscriber

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// The messages of log lines that are limited in number.
const (
	lineApplied  = "update applied"
	lineFailures = "control hosts did not confirm the configuration"
)

// monitorInterval is the time between two checks of the confirmation.
const monitorInterval = 250 * time.Millisecond

// The metrics of a node's configuration. hornbeam_config_apply_seconds is the time from
// when the control host applied a version until it was in force at the node, without
// the time on the network.
var (
	updatesTotal   = metrics.NewCounter("hornbeam_updates_total")
	resyncsTotal   = metrics.NewCounter("hornbeam_resyncs_total")
	conflictsTotal = metrics.NewCounter("hornbeam_name_conflicts_total")
	rejectedTotal  = metrics.NewCounter("hornbeam_updates_rejected_total")
	hedgesTotal    = metrics.NewCounter("hornbeam_sync_hedges_total")
	stallsTotal    = metrics.NewCounter("hornbeam_process_stalls_total")
	versionGauge   = metrics.NewGauge("hornbeam_config_version", nil)
	applySeconds   = metrics.NewHistogram("hornbeam_config_apply_seconds")
)

// failuresTotal returns the counter of calls that failed at a step.
func failuresTotal(step syncStep) *metrics.Counter {
	return metrics.GetOrCreateCounter(`hornbeam_sync_failures_total{step="` + string(step) + `"}`)
}

// registerMetrics registers the gauge of the confirmation's age, of the first Subscriber
// of the process.
func (s *Subscriber) registerMetrics() {
	metrics.GetOrCreateGauge("hornbeam_config_confirmation_age_seconds", func() float64 { return s.confirmationAge().Seconds() })
}

// confirmationAge returns the age of the table's confirmation, zero before the first.
func (s *Subscriber) confirmationAge() time.Duration {
	at := s.Tables.ConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return s.Now().Sub(at)
}

// tableVersion returns the version of the table in force, zero when there is none.
func (s *Subscriber) tableVersion() uint64 {
	if t := s.Tables.Table(); t != nil {
		return t.Version
	}
	return 0
}

// monitorLoop logs when the table becomes stale, and when the process got no processor
// time.
func (s *Subscriber) monitorLoop(ctx context.Context) {
	last := compiler.FreshnessCurrent
	for ctx.Err() == nil {
		dueAt := s.Now().Add(monitorInterval)
		sleeper.Sleep(ctx, monitorInterval)
		now := s.Now()
		if late := now.Sub(dueAt); late > stallTolerance {
			stallsTotal.Inc()
			s.Log.Warn("process stalled", "lateMs", late.Milliseconds(), "configVersion", s.tableVersion(), "confirmationAgeMs", s.confirmationAge().Milliseconds())
		}
		f := s.Tables.Freshness(now)
		if f != last && f != compiler.FreshnessCurrent {
			s.Log.Warn("configuration not confirmed in time", "freshness", f, "configVersion", s.tableVersion(),
				"confirmationAgeMs", s.confirmationAge().Milliseconds(), "ready", s.Ready())
		}
		last = f
	}
}
