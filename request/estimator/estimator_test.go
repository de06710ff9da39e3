package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	aim  = 600 * time.Millisecond
	full = 2500 * time.Millisecond // full is the longest time that a caller gives.
)

// TestCallersThatComeBackAreOld lets most requests be second tries, which come
// with what is left of their time.
func TestCallersThatComeBackAreOld(t *testing.T) {
	is := is.New(t)
	g := rand.New(rand.NewPCG(1, 2))
	m := &SoftDeadlines{}
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		first := full - time.Duration(g.Int64N(int64(full)/6)) // callers differ a little
		is.Equal(m.SoftDeadline("a", now, now.Add(first), aim), now.Add(aim))
		for range 2 {
			age := time.Second + time.Duration(g.Int64N(int64(time.Second/2)))
			back := m.SoftDeadline("a", now, now.Add(first-age), aim)
			is.True(back.Before(now)) // its aim is lost
		}
	}
}

// TestAimsWithoutDeadlines shows that callers that do not say how long they wait
// are taken for new, and that routes are apart.
func TestAimsWithoutDeadlines(t *testing.T) {
	is := is.New(t)
	m := &SoftDeadlines{}
	now := time.Unix(100, 0)
	is.Equal(m.SoftDeadline("a", now, now.Add(full), aim), now.Add(aim))
	is.Equal(m.SoftDeadline("a", now, time.Time{}, aim), now.Add(aim))
	is.Equal(m.SoftDeadline("b", now, now.Add(full/4), aim), now.Add(aim))
}

// TestUsualTimeFollowsCallers shows that callers which give less time from some
// moment on are taken for new again after a while.
func TestUsualTimeFollowsCallers(t *testing.T) {
	is := is.New(t)
	m := &SoftDeadlines{}
	now := time.Unix(100, 0)
	for range 100 {
		m.SoftDeadline("a", now, now.Add(full), aim)
	}
	is.True(m.SoftDeadline("a", now, now.Add(full/2), aim).Before(now))
	for range 3 * fallWeight {
		m.SoftDeadline("a", now, now.Add(full/2), aim)
	}
	is.Equal(m.SoftDeadline("a", now, now.Add(full/2), aim), now.Add(aim))
}
