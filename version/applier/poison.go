package applier

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxPoisonRequests is the number of requests whose crashes are counted.
	MaxPoisonRequests = 64
	// MaxCountedCrashes is the number of pairs of a crash and a request that are kept to
	// recognise resent reports.
	MaxCountedCrashes = 512
	// PoisonRequestTTL is the time after its last crash at which a request is
	// deleted from the list.
	PoisonRequestTTL = time.Hour
	// CrashThreshold is the number of crashes from which on a request is rejected.
	CrashThreshold = 2
	// anonymousCrashSpan is the time within which reports without a crash, of one node on
	// one request, are taken for reports of one crash.
	anonymousCrashSpan = 5 * time.Second
)

// The kinds of the events on poison requests.
const (
	EventQuarantined = "requestQuarantined" // EventQuarantined means that a request is rejected from now on.
	EventReleased    = "requestReleased"    // EventReleased means that a rejected request was served after all.
)

// CrashID identifies one crash of one incarnation of a target.
type CrashID struct {
	Target     string `cbor:"1,keyasint" json:"target"`
	StartedAt  int64  `cbor:"2,keyasint" json:"startedAt"`  // StartedAt is the start time of the target in Unix milliseconds, 0 if it states none.
	DetectedAt int64  `cbor:"3,keyasint" json:"detectedAt"` // DetectedAt is when its node detected the crash, in Unix milliseconds.
}

// PoisonRequest is a request that was in flight when targets crashed, and that no target
// has served since.
type PoisonRequest struct {
	Service   string    `cbor:"1,keyasint" json:"service"`
	Signature uint64    `cbor:"2,keyasint" json:"signature"`
	Crashes   int       `cbor:"3,keyasint" json:"crashes"`
	ExpiresAt time.Time `cbor:"4,keyasint" json:"expiresAt"`
	// Index is the log index of the newest crash, 0 if a host of an earlier build counted it.
	Index uint64 `cbor:"5,keyasint,omitempty" json:"index,omitempty"`
	// FirstIndex is the log index of the oldest crash.
	FirstIndex uint64 `cbor:"6,keyasint,omitempty" json:"firstIndex,omitempty"`
	// Served means that a target served the request not long before a crash.
	Served bool `cbor:"7,keyasint,omitempty" json:"served,omitempty"`
	// Repeated is the number of crashes with a run in flight that began after an
	// earlier crash was known at its node.
	Repeated int `cbor:"8,keyasint,omitempty" json:"repeated,omitempty"`
}

// Rejected reports whether the request is rejected: after CrashThreshold crashes. For a
// request that was served before, only crashes of runs count that began after an earlier
// crash was known: it may have been in flight at any number of crashes by chance, but
// each run that began later is a trial, and a success removes the request from the list.
func (p PoisonRequest) Rejected() bool {
	return p.Crashes >= CrashThreshold && (!p.Served || p.Repeated >= CrashThreshold)
}

// String describes the request and its counts for events and logs.
func (p PoisonRequest) String() string {
	return fmt.Sprintf("request %016x: crashes=%d repeated=%d served=%t", p.Signature, p.Crashes, p.Repeated, p.Served)
}

// isFor reports whether p is the record of the given request.
func (p PoisonRequest) isFor(service string, signature uint64) bool {
	return p.Service == service && p.Signature == signature
}

// CountedCrash is one crash with one request in flight that is counted. It outlives the
// PoisonRequest, so that a late copy of the report counts nothing.
type CountedCrash struct {
	Service   string    `cbor:"1,keyasint"`
	Signature uint64    `cbor:"2,keyasint"`
	Node      string    `cbor:"3,keyasint"`
	Crash     CrashID   `cbor:"4,keyasint"`
	Index     uint64    `cbor:"5,keyasint"`
	At        time.Time `cbor:"6,keyasint"`
}

// covers reports whether the counted crash is the one that a report is about.
func (k CountedCrash) covers(c ReportCrash) bool {
	if k.Service != c.Service || k.Signature != c.Signature || k.Node != c.Node || k.Crash != c.Crash {
		return false
	}
	return c.Crash.Target != "" || c.At.Sub(k.At).Abs() < anonymousCrashSpan
}

// PoisonRequest returns the record of a request, false if there is none.
func (s State) PoisonRequest(service string, signature uint64) (PoisonRequest, bool) {
	i := slices.IndexFunc(s.PoisonRequests, func(p PoisonRequest) bool { return p.isFor(service, signature) })
	if i < 0 {
		return PoisonRequest{}, false
	}
	return s.PoisonRequests[i], true
}

// reportCrash counts a crash for a request unless it is counted already, and drops
// expired requests. The list is short, so nodes receive it as a whole with their
// endpoints. Revision increases in any case, as it does at hosts of earlier builds, which
// apply the same command.
func (s State) reportCrash(index uint64, c ReportCrash) State {
	s.Revision++
	if slices.ContainsFunc(s.CountedCrashes, func(k CountedCrash) bool { return k.covers(c) }) {
		return s
	}
	recent := slices.DeleteFunc(slices.Clone(s.CountedCrashes), func(k CountedCrash) bool { return !c.At.Before(k.At.Add(PoisonRequestTTL)) })
	s.CountedCrashes = appendBounded(recent, CountedCrash{c.Service, c.Signature, c.Node, c.Crash, index, c.At}, MaxCountedCrashes)
	old, _ := s.PoisonRequest(c.Service, c.Signature)
	if !c.At.Before(old.ExpiresAt) {
		old = PoisonRequest{}
	}
	next := old.withCrash(index, c)
	kept := slices.DeleteFunc(slices.Clone(s.PoisonRequests), func(p PoisonRequest) bool {
		return p.isFor(c.Service, c.Signature) || !c.At.Before(p.ExpiresAt)
	})
	s.PoisonRequests = append(withoutLeastSuspect(kept), next)
	if next.Rejected() && !old.Rejected() {
		s = s.WithEvent(Event{Index: index, At: c.At, Kind: EventQuarantined, Subject: c.Service,
			Detail: fmt.Sprintf("%s; last crash: target %s of node %s, started at %d; refused until %s", next, c.Crash.Target, c.Node, c.Crash.StartedAt, next.ExpiresAt.UTC().Format(time.RFC3339))})
	}
	return s
}

// withCrash returns the record with one more crash. A record of a host of an earlier
// build counts as one crash, since that build counted each run in flight.
func (p PoisonRequest) withCrash(index uint64, c ReportCrash) PoisonRequest {
	if p.Index == 0 {
		p.Crashes, p.FirstIndex = min(p.Crashes, 1), index
	}
	if p.isTrial(c.KnownIndex) {
		p.Repeated++
	}
	p.Service, p.Signature, p.Index, p.ExpiresAt = c.Service, c.Signature, index, c.At.Add(PoisonRequestTTL)
	p.Served = p.Served || c.Served
	p.Crashes++
	return p
}

// withoutRunCounts returns the state with one crash in each record of a host of an earlier
// build, which counted each run in flight: one crash could reach CrashThreshold there.
func (s State) withoutRunCounts() State {
	s.PoisonRequests = slices.Clone(s.PoisonRequests)
	for i, p := range s.PoisonRequests {
		if p.Index == 0 {
			s.PoisonRequests[i].Crashes = min(p.Crashes, 1)
		}
	}
	return s
}

// withoutLeastSuspect makes room for one more record in a list in the order of age: at
// MaxPoisonRequests it deletes the oldest of the records with the fewest crashes, so that
// crashes with many requests in flight do not release one that is rejected.
func withoutLeastSuspect(list []PoisonRequest) []PoisonRequest {
	if len(list) < MaxPoisonRequests {
		return list
	}
	least := 0
	for i, p := range list {
		if p.lessSuspect(list[least]) {
			least = i
		}
	}
	return slices.Delete(list, least, least+1)
}

// lessSuspect orders records by whether they are rejected, then by their crashes.
func (p PoisonRequest) lessSuspect(o PoisonRequest) bool {
	if p.Rejected() != o.Rejected() {
		return o.Rejected()
	}
	return p.Crashes < o.Crashes
}

// IsNews reports whether a served request changes the record of its crashes.
func (s State) IsNews(r ServedRequest) bool {
	p, ok := s.PoisonRequest(r.Service, r.Signature)
	return ok && (!p.Served || p.isTrial(r.KnownIndex))
}

// isTrial reports whether a run that began with the given KnownIndex began after a crash
// of the record was known.
func (p PoisonRequest) isTrial(known uint64) bool { return known > 0 && known >= p.FirstIndex }

// requestServed takes back the crashes that were known when a run began that was then
// served: a poison request crashes every target that runs it. A run that began before
// any crash was known shows only that the request was served before.
func (s State) requestServed(index uint64, r ServedRequest, at time.Time) State {
	if !s.IsNews(r) {
		return s
	}
	s.PoisonChanges++
	old, _ := s.PoisonRequest(r.Service, r.Signature)
	next := old
	next.Served = true
	if old.isTrial(r.KnownIndex) {
		next = s.withoutCrashes(next, r.KnownIndex)
	}
	s.PoisonRequests = slices.Clone(s.PoisonRequests)
	i := slices.Index(s.PoisonRequests, old)
	s.PoisonRequests[i] = next
	if next.Crashes == 0 {
		s.PoisonRequests = slices.Delete(s.PoisonRequests, i, i+1)
	}
	if old.Rejected() && !next.Rejected() {
		s = s.WithEvent(Event{Index: index, At: at, Kind: EventReleased, Subject: r.Service,
			Detail: fmt.Sprintf("%s; a target served a run that began %s", old, r.beginning())})
	}
	return s
}

// beginning describes when the run began, for events.
func (r ServedRequest) beginning() string {
	if r.KnownIndex == 0 {
		return "before any crash was known"
	}
	return fmt.Sprintf("after the crash at log index %d was known", r.KnownIndex)
}

// withoutCrashes returns the record p without the crashes up to the given log index. Of
// newer ones it has at least the newest.
func (s State) withoutCrashes(p PoisonRequest, known uint64) PoisonRequest {
	p.Crashes, p.Repeated = 0, 0
	if known >= p.Index {
		return p
	}
	p.FirstIndex = p.Index
	for _, k := range s.CountedCrashes {
		if p.isFor(k.Service, k.Signature) && k.Index > known {
			p.Crashes++
			p.FirstIndex = min(p.FirstIndex, k.Index)
		}
	}
	p.Crashes = max(p.Crashes, 1)
	return p
}
