package compiler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Freshness states whether the table in force may lack a configuration version that
// was acknowledged some time ago.
type Freshness string

// The freshness of a table.
const (
	// FreshnessCurrent means that a control host has confirmed the table recently enough.
	FreshnessCurrent Freshness = "current"
	// FreshnessStale means that the last confirmation is too old, and the next one is
	// expected.
	FreshnessStale Freshness = "stale"
	// FreshnessOutage means that the last confirmation is too old, and no control host
	// confirms the table at present.
	FreshnessOutage Freshness = "outage"
)

// TableStore holds the table in force and its last confirmation. Its methods are safe
// for concurrent use.
type TableStore struct {
	table atomic.Pointer[Table]

	mu          sync.Mutex
	changed     chan struct{} // changed is closed when the next table is in force.
	confirmedAt time.Time     // confirmedAt is the time up to which every acknowledged version is in force.
	staleAt     time.Time     // staleAt is when the confirmation expires; zero when it never does.
	outage      bool
	reported    chan struct{} // reported is closed at the next call of Confirm, ReportOutage or EndOutage.
}

// Newer returns a channel that is closed once another table than t is in force.
func (s *TableStore) Newer(t *Table) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Load() != t {
		return closedChannel
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// closedChannel is returned when a newer table is in force already.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Table returns the table in force, nil before the first.
func (s *TableStore) Table() *Table { return s.table.Load() }

// Store puts a table in force. Neither the configuration version nor the endpoint
// revision ever decreases: Store returns an error of KindOlder for an older
// version and keeps the table in force, differ.Apply rejects older revisions. Only
// one goroutine calls Store.
func (s *TableStore) Store(t *Table) error {
	old := s.table.Load()
	if old != nil && t.Version < old.Version {
		return &Error{"put", KindOlder, errors.Errorf("table of version %d is older than version %d in force", t.Version, old.Version)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(t)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return nil
}

// Confirm records that the table in force contains every version that was acknowledged
// before the time at, and that it counts as current until staleAt. Both are readings of
// the clock that the callers of Freshness use.
func (s *TableStore) Confirm(at, staleAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt, s.staleAt, s.outage = at, staleAt, false
	s.signalReport()
}

// ReportOutage records that no control host confirms the table at present. It holds
// until the next Confirm or EndOutage.
func (s *TableStore) ReportOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = true
	s.signalReport()
}

// EndOutage records that a control host has confirmed a state that is not in force, so
// that the table may lack a version and counts as stale once its confirmation is too old.
func (s *TableStore) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = false
	s.signalReport()
}

// signalReport closes the channel that NextReport returned. s.mu is held.
func (s *TableStore) signalReport() {
	if s.reported != nil {
		close(s.reported)
		s.reported = nil
	}
}

// Freshness returns the freshness at the time now. A table that was read after the call
// is as fresh at least. A store without a confirmation is current.
func (s *TableStore) Freshness(now time.Time) Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.staleAt.IsZero() || now.Before(s.staleAt):
		return FreshnessCurrent
	case s.outage:
		return FreshnessOutage
	}
	return FreshnessStale
}

// NextReport returns a channel that is closed at the next call of Confirm,
// ReportOutage or EndOutage.
func (s *TableStore) NextReport() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported == nil {
		s.reported = make(chan struct{})
	}
	return s.reported
}

// ConfirmedAt returns the time of the last confirmation, zero before the first.
func (s *TableStore) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}
