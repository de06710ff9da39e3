package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	latencyObjective = 600 * time.Millisecond
	callerTimeout    = 2500 * time.Millisecond // callerTimeout is the longest timeout of a caller.
)

// TestRetriesArePastSoftDeadline guards against retries that are taken for new requests:
// two of three requests are retries, which arrive with the rest of their timeout.
func TestRetriesArePastSoftDeadline(t *testing.T) {
	is := is.New(t)
	g := rand.New(rand.NewPCG(1, 2))
	s := &SoftDeadlines{}
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		first := callerTimeout - time.Duration(g.Int64N(int64(callerTimeout)/6)) // the timeouts of callers differ a little
		is.Equal(s.SoftDeadline("a", now, now.Add(first), latencyObjective), now.Add(latencyObjective))
		for range 2 {
			age := time.Second + time.Duration(g.Int64N(int64(time.Second/2)))
			softDeadline := s.SoftDeadline("a", now, now.Add(first-age), latencyObjective)
			is.True(softDeadline.Before(now)) // a retry is past its soft deadline
		}
	}
}

// TestSoftDeadlineWithoutDeadline guards against requests without a deadline, or of
// another route with a shorter timeout, that are taken for retries.
func TestSoftDeadlineWithoutDeadline(t *testing.T) {
	is := is.New(t)
	s := &SoftDeadlines{}
	now := time.Unix(100, 0)
	is.Equal(s.SoftDeadline("a", now, now.Add(callerTimeout), latencyObjective), now.Add(latencyObjective))
	is.Equal(s.SoftDeadline("a", now, time.Time{}, latencyObjective), now.Add(latencyObjective))
	is.Equal(s.SoftDeadline("b", now, now.Add(callerTimeout/4), latencyObjective), now.Add(latencyObjective))
}

// TestUsualTimeoutFollowsCallers guards against callers that are taken for retries
// forever after they have reduced their timeout.
func TestUsualTimeoutFollowsCallers(t *testing.T) {
	is := is.New(t)
	s := &SoftDeadlines{}
	now := time.Unix(100, 0)
	for range 100 {
		s.SoftDeadline("a", now, now.Add(callerTimeout), latencyObjective)
	}
	is.True(s.SoftDeadline("a", now, now.Add(callerTimeout/2), latencyObjective).Before(now))
	for range 3 * decreaseSamples {
		s.SoftDeadline("a", now, now.Add(callerTimeout/2), latencyObjective)
	}
	is.Equal(s.SoftDeadline("a", now, now.Add(callerTimeout/2), latencyObjective), now.Add(latencyObjective))
}

// TestFarDeadlineMakesNoRequestLate guards against requests that count as late because one
// caller, the first of its route or a later one, stated a deadline a day ahead.
func TestFarDeadlineMakesNoRequestLate(t *testing.T) {
	for _, before := range []int{0, 1, 100} {
		is := is.New(t)
		s := &SoftDeadlines{}
		now := time.Unix(100, 0)
		for range before {
			s.SoftDeadline("a", now, now.Add(callerTimeout), latencyObjective)
		}
		s.SoftDeadline("a", now, now.Add(24*time.Hour), latencyObjective)
		late := 0
		for range 3000 {
			if s.SoftDeadline("a", now, now.Add(callerTimeout), latencyObjective).Before(now.Add(latencyObjective)) {
				late++
			}
		}
		is.Equal(late, 0) // requests with the usual timeout
	}
}

// TestUsualTimeoutStaysBounded guards against a usual timeout of days after many callers
// stated deadlines that far ahead.
func TestUsualTimeoutStaysBounded(t *testing.T) {
	is := is.New(t)
	s := &SoftDeadlines{}
	now := time.Unix(100, 0)
	for range 1000 {
		s.SoftDeadline("a", now, now.Add(24*time.Hour), latencyObjective)
	}
	is.True(!s.SoftDeadline("a", now, now.Add(callerTimeout), latencyObjective).Before(now.Add(-time.Minute)))
}
