package registrar

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/request/tracker"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

const (
	// averageWeight is the number of responses over which moving averages are smoothed.
	averageWeight = 8
	maxRoutes     = 4096

	// A target that does not report ColdUntil is cold for coldRequests responses and for
	// coldDuration after its start.
	coldRequests = 20
	coldDuration = 10 * time.Second
	// probeTimeout bounds the connection that shows whether a target still runs.
	probeTimeout = 200 * time.Millisecond
	// socketCloseTime is how long a process may take to close its sockets when it ends.
	socketCloseTime = 30 * time.Millisecond
)

// Target is one incarnation of a target.
type Target struct {
	Announcement
	Limiter   *limiter.Limiter
	Forwarder *forwarder.Forwarder

	expiresAt time.Time
	leaving   bool
	responses atomic.Int64
	coldUntil atomic.Pointer[time.Time]
	// statesLeaving means that a response of the target stated that it leaves.
	statesLeaving atomic.Bool

	mu       sync.Mutex
	averages map[string]routeAverages // averages is keyed by route.
	inFlight tracker.InFlight
	limit    statedLimit
	// crashDetectedAt is when the newest crash of this incarnation was detected, the zero
	// time before the first.
	crashDetectedAt time.Time
	arrivals        Arrivals // arrivals counts the requests since its start for the log.
}

// routeAverages holds the moving averages of a route's responses.
type routeAverages struct {
	processingTime time.Duration
	size           int // size is that of the response body in bytes.
}

// BeginRequest records that a request of a route is forwarded to the target. The
// caller must call the returned function at the end of the request.
func (t *Target) BeginRequest(route string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.inFlight.Begin(time.Now(), t.averages[route].processingTime)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.inFlight.End(id)
	}
}

// RecordResponse updates the averages of a route with the target's processing time
// for a request and the size of its response in bytes.
func (t *Target) RecordResponse(route string, processingTime time.Duration, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.averages == nil || len(t.averages) > maxRoutes {
		t.averages = map[string]routeAverages{}
	}
	u, ok := t.averages[route]
	if !ok {
		u = routeAverages{processingTime, size}
	}
	u.processingTime += (processingTime - u.processingTime) / averageWeight
	u.size += (size - u.size) / averageWeight
	t.averages[route] = u
}

// ResponseSize returns the average size of the responses of a route in bytes, or 0
// before the first response.
func (t *Target) ResponseSize(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.averages[route].size
}

// ProcessingTime returns the expected processing time of a request of a route: the
// average of its responses, or a larger lower bound that follows from requests still
// in flight. It returns 0 while there is neither.
func (t *Target) ProcessingTime(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	average := t.averages[route].processingTime
	return max(average, t.inFlight.MinProcessingTime(time.Now(), average))
}

// LoadReport returns the load report for a further request like r: the number of
// requests, the expected wait in the queue and the processing time.
func (t *Target) LoadReport(r limiter.Request) translator.LoadReport {
	return translator.LoadReport{
		Valid: true, RequestCount: t.Limiter.RequestCount(), ExpectedWait: t.Limiter.ExpectedWait(r), ProcessingTime: r.ProcessingTime,
		RateLimited: t.RateLimit().Named,
	}
}

// AliveAfterDisconnect reports whether the target still runs after a connection to it
// broke. A process that ends closes its sockets one after the other, so it may accept
// connections for a short time; AliveAfterDisconnect waits for socketCloseTime before
// it tries to connect.
func (t *Target) AliveAfterDisconnect() bool {
	time.Sleep(socketCloseTime)
	return t.acceptsConnections()
}

// acceptsConnections reports whether a connection to the target can be established
// within probeTimeout.
func (t *Target) acceptsConnections() bool {
	conn, err := net.DialTimeout("tcp", t.Address, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// RecordCrash records that the target was found crashed by a request that was sent to it
// at sentAt. It returns when that crash was detected, and whether this call detected it.
//
// The first call closes the idle connections, so that a request that is sent later uses a
// new one: if that breaks, the target has run again meanwhile, maybe before it has announced
// its new incarnation, and this is a further crash.
func (t *Target) RecordCrash(sentAt time.Time) (detectedAt time.Time, first bool) {
	if at, ok := t.detectedCrash(sentAt); ok {
		return at, false
	}
	t.Forwarder.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.After(t.crashDetectedAt) {
		t.crashDetectedAt, first = time.Now(), true
	}
	return t.crashDetectedAt, first
}

// detectedCrash returns when the crash that broke a request sent at sentAt was detected,
// false if it was not detected yet.
func (t *Target) detectedCrash(sentAt time.Time) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashDetectedAt, !sentAt.After(t.crashDetectedAt)
}

// SetColdUntil sets the time until which the target is slow after its start.
func (t *Target) SetColdUntil(until time.Time) { t.coldUntil.Store(&until) }

// CountResponse counts one response and reports whether the target is cold, as IsCold
// does.
func (t *Target) CountResponse() bool {
	t.responses.Add(1)
	return t.IsCold()
}

// IsCold reports whether the target has started so recently that its latency is not
// representative: by its cold time if that is set, or else by its age and the number of
// its responses.
func (t *Target) IsCold() bool {
	if until := t.coldUntil.Load(); until != nil {
		return time.Now().Before(*until)
	}
	return t.responses.Load() <= coldRequests || time.Since(time.UnixMilli(t.StartedAt)) < coldDuration
}
