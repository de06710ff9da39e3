package quarantiner

import "time"

const (
	// servedMemory is how long a served request is remembered at least, unless more than
	// maxServedRequests different ones are served in that time.
	servedMemory      = time.Minute
	maxServedRequests = 4096
	// reportInterval is the time between two equal reports on a served request.
	reportInterval = 2 * time.Second
	// maxReports bounds the reports on served requests that are remembered.
	maxReports = 256
)

// servedReport identifies the content of a report on a served request.
type servedReport struct {
	key        requestKey
	knownIndex uint64
}

// servedRequests remembers requests that targets of this node have served, in two
// generations, and what was reported of them. It is not safe for concurrent use.
type servedRequests struct {
	young, old map[requestKey]struct{}
	youngSince time.Time
	reports    map[servedReport]time.Time
}

// add remembers a request.
func (s *servedRequests) add(key requestKey, now time.Time) {
	s.rotate(now)
	if len(s.young) >= maxServedRequests {
		s.young, s.old, s.youngSince = nil, s.young, now
	}
	if s.young == nil {
		s.young = map[requestKey]struct{}{}
	}
	s.young[key] = struct{}{}
}

// rotate starts a new generation when the young one is as old as servedMemory, and
// forgets the one before.
func (s *servedRequests) rotate(now time.Time) {
	age := now.Sub(s.youngSince)
	if age < servedMemory {
		return
	}
	s.old = nil
	if age < 2*servedMemory {
		s.old = s.young
	}
	s.young, s.youngSince = nil, now
}

// has reports whether a request is remembered.
func (s *servedRequests) has(key requestKey, now time.Time) bool {
	s.rotate(now)
	_, young := s.young[key]
	_, old := s.old[key]
	return young || old
}

// take forgets a request and reports whether it was remembered.
func (s *servedRequests) take(key requestKey, now time.Time) bool {
	found := s.has(key, now)
	delete(s.young, key)
	delete(s.old, key)
	return found
}

// shouldReport reports whether a report was not made in the last reportInterval, and
// remembers it as made now.
func (s *servedRequests) shouldReport(r servedReport, now time.Time) bool {
	if at, ok := s.reports[r]; ok && now.Sub(at) < reportInterval {
		return false
	}
	if s.reports == nil || len(s.reports) >= maxReports {
		s.reports = map[servedReport]time.Time{}
	}
	s.reports[r] = now
	return true
}
