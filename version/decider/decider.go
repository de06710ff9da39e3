// Package decider shifts a service's traffic from an old target version to a
// new one by a deadline, and rolls the move back when the new version is worse.
//
// A move runs through stages of growing shares. Requests that are not
// idempotent get their first share only after the others have delivered
// evidence, and the smallest share. The stages are spread over the time up to
// the deadline; a stage ends when its time is over and its evidence shows no
// regression.
//
// The rules for the cases in which evidence, slots or time are short:
//
//   - Too little evidence at the end of a stage: with the preference deadline
//     the move continues while no regression is suspected. With the preference
//     caution it waits, from the last stage with small shares on, and is
//     reported as late once the deadline cannot be met any more.
//
//   - A suspected regression, half of the score of a detected one, holds the
//     stage with both preferences.
//
//   - Too few slots at the new version: its share stays at what they can serve. A
//     move is never done while the new version has no targets, or nothing is heard
//     of their hosts.
//
//   - Deadline passed: a move without targets of the new version is rolled back.
//     One with targets may still finish, for as long again as it had and at least
//     for MinGracePeriod; if it is held by then, it is rolled back too.
//
//   - A detected regression: the move is rolled back at once, also within
//     WatchDuration after it is done, as long as targets of the old version
//     remain.
//
//   - Control hosts unreachable: shares stay as they are; the circuit breaker
//     of each node trips on the node's own evidence. The next leader continues
//     from the stage that is stored in the log.
//
//   - A move of less than a minute: fewer stages, a lower threshold, and no
//     rollback after it is done, since the old version's targets end with it.
//
// # Usage
//
//	p := &decider.Plan{}
//	p.AddEvidence(evidence)
//	step, ok := p.Next(now, move, capacity)
//
// A Plan is the state of one move at the leader; it is rebuilt from evidence
// after a change of leaders.
package decider

import (
	"fmt"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// MinStageDuration is the shortest duration of a stage: nodes must receive
	// the share, and their evidence must reach the leader.
	MinStageDuration = 2 * time.Second
	// DecisionInterval is the interval between two decisions on a move.
	DecisionInterval = 250 * time.Millisecond
	// WatchDuration is the minimum time after a move is done during which a
	// regression still rolls it back.
	WatchDuration = 10 * time.Minute

	// shortMoveDuration is the duration below which a move uses shortSchedule.
	shortMoveDuration = time.Minute
	// minShortStageDuration is the shortest duration of a stage of shortSchedule.
	minShortStageDuration = 800 * time.Millisecond

	// usableFraction is the fraction of the time up to the deadline that the
	// stages use.
	usableFraction = 0.85
	// minRequests is the number of idempotent requests to the new version that
	// a stage needs on each route.
	minRequests = 10
	// minUnsafeRequests is the number of non-idempotent requests to the new
	// version that a stage needs on each route, from the last stage with small
	// shares on.
	minUnsafeRequests = 3
	// maxSlotUtilisation is the fraction of the new version's slots that a move
	// may fill.
	maxSlotUtilisation = 0.7
)

// stage is one step of a schedule. Shares are in basis points; endFraction is
// the fraction of the move's usable time at which the stage ends.
type stage struct {
	share, unsafeShare int
	endFraction        float64
}

// schedule lists the stages of a move and the rules for its evidence.
type schedule struct {
	stages            []stage
	smallStages       int // smallStages is the number of stages with small shares, which come first.
	minStageDuration  time.Duration
	threshold         float64 // threshold is the score at which the new version counts as worse.
	rollsBackWhenDone bool    // rollsBackWhenDone is whether a finished move can still be rolled back.
}

// longSchedule is for moves of a minute or more. In its small stages, shares
// stay below 5% of all requests and 1% of those that are not idempotent, so that
// a version that is faulty from the beginning never gets more.
var longSchedule = schedule{
	stages: evenlySpaced([]stage{
		{share: 50}, {share: 100, unsafeShare: 10}, {share: 200, unsafeShare: 25}, {share: 300, unsafeShare: 50}, {share: 450, unsafeShare: 90},
		{share: 1000, unsafeShare: 150}, {share: 2500, unsafeShare: 300}, {share: 5000, unsafeShare: 1500}, {share: 7500, unsafeShare: 4000},
		{share: applier.FullShare, unsafeShare: 7000}, {share: applier.FullShare, unsafeShare: applier.FullShare},
	}),
	smallStages: 5, minStageDuration: MinStageDuration, threshold: LongMoveThreshold, rollsBackWhenDone: true,
}

// shortSchedule is for moves of less than a minute. A version that fails from
// some share on is detected before it has received a tenth of the requests of
// the whole move. The last stage lets the old version finish its requests in
// flight, since its targets may end with the move.
var shortSchedule = schedule{
	stages: []stage{
		{share: 400, unsafeShare: 300, endFraction: 0.36}, {share: 1000, unsafeShare: 900, endFraction: 0.5}, {share: 2000, unsafeShare: 2000, endFraction: 0.62},
		{share: 4000, unsafeShare: 4000, endFraction: 0.76}, {share: applier.FullShare, unsafeShare: applier.FullShare, endFraction: 1},
	},
	smallStages: 1, minStageDuration: minShortStageDuration, threshold: ShortMoveThreshold,
}

// evenlySpaced sets the end fractions so that all stages take the same time.
func evenlySpaced(list []stage) []stage {
	for i := range list {
		list[i].endFraction = float64(i+1) / float64(len(list))
	}
	return list
}

// scheduleOf returns the schedule for the duration of a move.
func scheduleOf(m applier.Move) schedule {
	if m.Deadline.Sub(m.BegunAt) < shortMoveDuration {
		return shortSchedule
	}
	return longSchedule
}

// ThresholdOf returns the score, a log likelihood ratio, at which the new
// version of a move counts as worse than the old one.
func ThresholdOf(m applier.Move) float64 { return scheduleOf(m).threshold }

// Capacity holds the slots and targets that are available to a move.
type Capacity struct {
	NewSlots   int // NewSlots is the number of slots of the new version's targets.
	OldTargets int // OldTargets is the number of targets of the old version that remain.
	// NewSilent is whether nothing has been heard lately of any host of the new version's
	// targets, so that they may be lost.
	NewSilent bool
}

// Step is the next state of a move. Shares are in basis points.
type Step struct {
	Share, UnsafeShare int
	Phase              applier.Phase
	Reason             string
	Late               bool // Late is whether the deadline cannot be met any more.
}

// Plan is the state of one move at the leader. It is not safe for concurrent
// use.
type Plan struct {
	MoveID string
	// Uptime is a monotonic clock, so that a step of the wall clock ends no move early; the
	// time that Next gets is used when it is nil.
	Uptime func() time.Time

	detector       RegressionDetector
	stageStartedAt time.Time
	shareSum       int     // shareSum is the sum of the two shares of the current stage.
	inFlight       float64 // inFlight is the average number of requests in flight.
	windowClosedAt time.Time

	// uptime is the time of the last decision, and deadline and graceEnd are the ends of
	// the move, all by Uptime.
	uptime, deadline, graceEnd time.Time
	newAbsence, oldAbsence     absence
}

// AddEvidence adds evidence to the open window.
func (p *Plan) AddEvidence(e Evidence) { p.detector.Add(e) }

// Next closes the open window and returns the next step of the move. It
// returns false when the move stays as it is.
func (p *Plan) Next(now time.Time, m applier.Move, c Capacity) (Step, bool) {
	p.detector.Threshold = ThresholdOf(m)
	p.track(now, m, c)
	p.trackStage(now, m)
	p.measureInFlight(now)
	if regression := p.detector.CloseWindow(); regression != nil {
		return p.rollBack(m, c, regression)
	}
	if !m.Running() {
		return Step{}, false
	}
	current := stageOf(m)
	if current < 0 {
		if c.NewSlots == 0 {
			return p.hold(now, m, "no target of the new version has announced itself")
		}
		return scheduleStep(m, 0), true
	}
	if now.Before(p.stageEnd(m, current)) {
		return Step{}, false
	}
	if reason := p.holdReason(m, c, current); reason != "" {
		return p.hold(now, m, reason)
	}
	if current == len(scheduleOf(m).stages)-1 {
		return Step{Phase: applier.PhaseDone, Reason: doneReason(now, m)}, true
	}
	next := scheduleStep(m, current+1)
	if limit := p.maxShare(c); next.Share > limit {
		return p.hold(now, m, fmt.Sprintf("the new version's %d slots carry only %.1f%% of the requests", c.NewSlots, float64(limit)/100))
	}
	return next, true
}

// trackStage starts a new stage when the shares of the move have changed.
func (p *Plan) trackStage(now time.Time, m applier.Move) {
	if p.stageStartedAt.IsZero() {
		p.stageStartedAt, p.windowClosedAt = now, now
		p.shareSum = m.Share + m.UnsafeShare
	}
	if p.shareSum != m.Share+m.UnsafeShare {
		p.shareSum = m.Share + m.UnsafeShare
		p.stageStartedAt = now
		p.detector.BeginStage()
	}
}

// measureInFlight computes the average number of requests in flight in the
// open window from the sum of their latencies.
func (p *Plan) measureInFlight(now time.Time) {
	if window := now.Sub(p.windowClosedAt).Seconds(); window > 0 {
		p.inFlight = p.detector.openSeconds() / window
	}
	p.windowClosedAt = now
}

// rollBack returns the step that rolls the move back. It returns false when the
// move has ended otherwise or the old version has no targets left.
func (p *Plan) rollBack(m applier.Move, c Capacity, regression *Regression) (Step, bool) {
	if !m.Running() && !scheduleOf(m).rollsBackWhenDone {
		return Step{}, false // The old version's targets ended with the move.
	}
	if !m.Running() && (m.Phase != applier.PhaseDone || c.OldTargets == 0) {
		return Step{}, false
	}
	return Step{Phase: applier.PhaseRolledBack, Reason: regression.Detail}, true
}

// holdReason returns why the stage cannot end yet, or an empty string.
func (p *Plan) holdReason(m applier.Move, c Capacity, current int) string {
	switch {
	case p.detector.SuspectsRegression():
		return "the new version is under suspicion"
	case !p.hasEvidence(m, current):
		return fmt.Sprintf("too little evidence: the new version got %d requests in this stage", p.detector.StageRequests())
	case c.NewSlots == 0:
		return "the new version has no targets left"
	case c.NewSilent && current == len(scheduleOf(m).stages)-1:
		return "the hosts of the new version's targets are silent"
	}
	return ""
}

// hasEvidence reports whether the evidence of the stage suffices to end it.
func (p *Plan) hasEvidence(m applier.Move, current int) bool {
	// The small shares deliver the first evidence, so they grow without any;
	// beyond them, the preference caution requires it.
	if m.Preference == applier.PreferDeadline || current < scheduleOf(m).smallStages-1 {
		return true
	}
	wholeMove := current == scheduleOf(m).smallStages-1
	return p.detector.HasEnoughRequests(false, minRequests, wholeMove) && p.detector.HasEnoughRequests(true, minUnsafeRequests, wholeMove)
}

// reportLate returns a step that marks the move as late when the remaining
// stages do not fit before the deadline. It returns false when they fit or the
// move is marked already.
func (p *Plan) reportLate(now time.Time, m applier.Move, reason string) (Step, bool) {
	plan := scheduleOf(m)
	left := len(plan.stages) - 1 - stageOf(m)
	late := now.Add(time.Duration(left) * plan.minStageDuration).After(m.Deadline)
	if !late || m.Late {
		return Step{}, false
	}
	return Step{Share: m.Share, UnsafeShare: m.UnsafeShare, Phase: applier.PhaseRunning, Late: true, Reason: "late: " + reason}, true
}

// maxShare returns the largest share, in basis points, that the new version's
// slots can serve.
func (p *Plan) maxShare(c Capacity) int {
	if p.inFlight <= 0 {
		return applier.FullShare
	}
	return min(applier.FullShare, int(float64(applier.FullShare)*maxSlotUtilisation*float64(c.NewSlots)/p.inFlight))
}

// InfeasibleReason returns why a move that starts now cannot meet the deadline,
// or an empty string when it can.
func InfeasibleReason(now, deadline time.Time) string {
	plan := scheduleOf(applier.Move{BegunAt: now, Deadline: deadline})
	minimum := time.Duration(float64(time.Duration(len(plan.stages))*(plan.minStageDuration+DecisionInterval)) / usableFraction)
	if deadline.Sub(now) >= minimum {
		return ""
	}
	return fmt.Sprintf("a move takes at least %s; name a later deadline", minimum.Round(time.Second))
}

// stageEnd returns the earliest end of the current stage. The ends of the
// stages are fixed in the time up to the deadline, so a move that was held
// catches up in later stages, down to the minimum duration of each.
func (p *Plan) stageEnd(m applier.Move, current int) time.Time {
	plan := scheduleOf(m)
	usable := float64(m.Deadline.Sub(m.BegunAt)) * usableFraction
	planned := m.BegunAt.Add(time.Duration(usable * plan.stages[current].endFraction))
	if earliest := p.stageStartedAt.Add(plan.minStageDuration); planned.Before(earliest) {
		return earliest
	}
	return planned
}

// stageOf returns the index of the stage that a move is in, -1 before the first.
func stageOf(m applier.Move) int {
	at := -1
	for i, s := range scheduleOf(m).stages {
		if m.Share >= s.share && m.UnsafeShare >= s.unsafeShare {
			at = i
		}
	}
	return at
}

// scheduleStep returns the step that starts stage i.
func scheduleStep(m applier.Move, i int) Step {
	s := scheduleOf(m).stages[i]
	return Step{Share: s.share, UnsafeShare: s.unsafeShare, Phase: applier.PhaseRunning}
}

// doneReason describes the end of a move relative to its deadline.
func doneReason(now time.Time, m applier.Move) string {
	if now.After(m.Deadline) {
		return fmt.Sprintf("done %s after the deadline", now.Sub(m.Deadline).Round(time.Second))
	}
	return fmt.Sprintf("done %s before the deadline", m.Deadline.Sub(now).Round(time.Second))
}
