package decider

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// MinGracePeriod is the shortest time that a move gets after its deadline to finish; a
	// longer move gets as long again as it had.
	MinGracePeriod = 30 * time.Second
	// AbsenceTime is how long a version must have no targets until that ends a move: a node
	// that restarts, or changes its control host, announces its targets again within it.
	AbsenceTime = 3 * time.Second
)

// gracePeriod returns how long after its deadline a move that is held may still finish.
func gracePeriod(m applier.Move) time.Duration {
	return max(m.Deadline.Sub(m.BegunAt), MinGracePeriod)
}

// absence is how long a target version has been without targets.
type absence struct {
	since time.Time // since is zero while there are targets.
}

// update records whether there are targets now.
func (a *absence) update(now time.Time, absent bool) {
	switch {
	case !absent:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = now
	}
}

// lasting reports whether there have been no targets for AbsenceTime.
func (a *absence) lasting(now time.Time) bool {
	return !a.since.IsZero() && now.Sub(a.since) >= AbsenceTime
}

// track sets the ends of the move at the first decision, and records which versions have
// targets.
func (p *Plan) track(now time.Time, m applier.Move, c Capacity) {
	p.uptime = p.uptimeAt(now)
	if p.deadline.IsZero() {
		// A wall clock that was set back must not lengthen the move.
		left := min(m.Deadline.Sub(now), m.Deadline.Sub(m.BegunAt))
		p.deadline = p.uptime.Add(left)
		p.graceEnd = p.deadline.Add(gracePeriod(m))
	}
	p.newAbsence.update(p.uptime, c.NewSlots == 0)
	p.oldAbsence.update(p.uptime, c.OldTargets == 0)
}

// uptimeAt returns the time of the monotonic clock.
func (p *Plan) uptimeAt(now time.Time) time.Time {
	if p.Uptime == nil {
		return now
	}
	return p.Uptime()
}

// hold returns the step of a move that cannot go on for the given reason: its end, once
// that is due, or the mark that it is late. It returns false when the move stays as it is.
func (p *Plan) hold(now time.Time, m applier.Move, reason string) (Step, bool) {
	if step, ok := p.overdueStep(reason); ok {
		return step, true
	}
	return p.reportLate(now, m, reason)
}

// overdueStep returns the step that ends a move after its deadline. It returns false while
// the move may still finish. A move that is held to the end of its grace period is rolled back,
// unless only the new version still has targets.
func (p *Plan) overdueStep(reason string) (Step, bool) {
	switch {
	case p.uptime.Before(p.deadline):
		return Step{}, false
	case p.newAbsence.lasting(p.uptime):
		return Step{Phase: applier.PhaseRolledBack, Reason: "the deadline has passed and the new version has no targets"}, true
	case p.uptime.Before(p.graceEnd):
		return Step{}, false
	case p.newAbsence.since.IsZero() && p.oldAbsence.lasting(p.uptime):
		return Step{Phase: applier.PhaseDone, Reason: "the old version has no targets left, and the time after the deadline is over: " + reason}, true
	}
	return Step{Phase: applier.PhaseRolledBack, Reason: "the time after the deadline is over: " + reason}, true
}
