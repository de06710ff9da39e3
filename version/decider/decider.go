// Package decider carries traffic from an old target version to a new one by
// a deadline, and takes it back when the new one is worse.
//
// A move goes through stages of growing shares. Requests that are not
// idempotent get their first share only after the others have given evidence,
// and the smallest one. The stages are spread over the time up to the
// deadline; a stage ends when its time is over and its evidence is clean.
//
// The rules where evidence or time is short:
//
//   - Too little evidence at the end of a stage: with the preference deadline
//     the move goes on while nothing is suspicious; with caution it waits at
//     the end of the first half and later, and is reported as late once the
//     deadline cannot be met any more.
//
//   - A suspicion, half of what a finding needs, holds the stage in both cases.
//
//   - Too few slots at the new version: its share stays at what they carry.
//
//   - A finding: the version is taken back at once, also while it is watched
//     after the move is done, as long as targets of the old version remain.
//
//   - Control hosts away: shares stay as they are; each node brakes by itself
//     when its own evidence is a finding. The next leader goes on from the
//     stage that the log holds.
//
//   - A move of seconds: fewer stages, a lower alarm, and no taking back after
//     it is done, since the old version's targets end with it.
//
// # Usage
//
//	p := &decider.Plan{}
//	p.Observe(evidence)
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
	// MinStageDuration is the shortest time of a stage: nodes must learn of the
	// share and their evidence must come back.
	MinStageDuration = 2 * time.Second
	// DecisionInterval is the time between two decisions on a move.
	DecisionInterval = 250 * time.Millisecond
	// WatchDuration is how long a finished move is watched at least.
	WatchDuration = 10 * time.Minute

	// shortMove is the length below which a move takes the short ladder.
	shortMove = time.Minute
	// leastShortStage is the shortest time of a stage of the short ladder.
	leastShortStage = 800 * time.Millisecond

	// usableTime is the part of the time up to the deadline that stages take.
	usableTime = 0.85
	// leastPerStage is the number of requests that a stage must see on each route.
	leastPerStage = 10
	// leastUnsafe is the number of non-idempotent requests that each stage
	// needs from the end of the first half on.
	leastUnsafe = 3
	// slotUse is the part of the new version's slots that a move may fill.
	slotUse = 0.7
)

// stage is one step of a ladder. Shares are in basis points; end is the part
// of the move's usable time at which the stage ends.
type stage struct {
	share, unsafeShare int
	end                float64
}

// ladder is the way of a move.
type ladder struct {
	stages    []stage
	firstHalf int // firstHalf is the number of stages with small shares.
	leastTime time.Duration
	alarm     float64
	watched   bool // watched means that a finished move is still taken back.
}

// longLadder is for moves of a minute or more. In its first half, shares stay
// below 5% of all requests and 1% of those that are not idempotent, so that a
// version whose fault is there from the beginning never gets more.
var longLadder = ladder{
	stages: evenly([]stage{
		{share: 50}, {share: 100, unsafeShare: 10}, {share: 200, unsafeShare: 25}, {share: 300, unsafeShare: 50}, {share: 450, unsafeShare: 90},
		{share: 1000, unsafeShare: 150}, {share: 2500, unsafeShare: 300}, {share: 5000, unsafeShare: 1500}, {share: 7500, unsafeShare: 4000},
		{share: applier.FullShare, unsafeShare: 7000}, {share: applier.FullShare, unsafeShare: applier.FullShare},
	}),
	firstHalf: 5, leastTime: MinStageDuration, alarm: LongMoveThreshold, watched: true,
}

// shortLadder is for moves of seconds. A version that fails from some share on
// is found before it had a tenth of the requests of the whole move. The last
// stage lets the old version finish its work, since its targets may end with
// the move.
var shortLadder = ladder{
	stages: []stage{
		{share: 400, unsafeShare: 300, end: 0.36}, {share: 1000, unsafeShare: 900, end: 0.5}, {share: 2000, unsafeShare: 2000, end: 0.62},
		{share: 4000, unsafeShare: 4000, end: 0.76}, {share: applier.FullShare, unsafeShare: applier.FullShare, end: 1},
	},
	firstHalf: 1, leastTime: leastShortStage, alarm: ShortMoveThreshold,
}

func evenly(list []stage) []stage {
	for i := range list {
		list[i].end = float64(i+1) / float64(len(list))
	}
	return list
}

// ladderOf returns the way of a move by its length.
func ladderOf(m applier.Move) ladder {
	if m.Deadline.Sub(m.BegunAt) < shortMove {
		return shortLadder
	}
	return longLadder
}

// ThresholdOf returns the score at which the new version of a move counts as bad.
func ThresholdOf(m applier.Move) float64 { return ladderOf(m).alarm }

// Capacity is what the targets can do.
type Capacity struct {
	NewSlots   int // NewSlots is the number of slots of the new version's targets.
	OldTargets int // OldLeft is the number of targets of the old version.
}

// Step is the next state of a move.
type Step struct {
	Share, UnsafeShare int
	Phase              applier.Phase
	Reason             string
	Late               bool
}

// Plan is the state of one move at the leader. It is not safe for concurrent
// use.
type Plan struct {
	MoveID string

	detector RegressionDetector
	stageAt  time.Time
	share    int
	busy     float64 // busy is the average number of requests in flight.
	closedAt time.Time
}

// AddEvidence takes in evidence of the open window.
func (p *Plan) AddEvidence(e Evidence) { p.detector.Add(e) }

// Next ends the open window and returns the next step, if there is one.
func (p *Plan) Next(now time.Time, m applier.Move, c Capacity) (Step, bool) {
	p.detector.Threshold = ThresholdOf(m)
	p.follow(now, m)
	p.measure(now)
	if f := p.detector.CloseWindow(); f != nil {
		return p.takeBack(m, c, f)
	}
	if !m.Running() {
		return Step{}, false
	}
	current := stageOf(m)
	if current < 0 {
		if c.NewSlots == 0 {
			return p.report(now, m, "no target of the new version has announced itself")
		}
		return ladderStep(m, 0), true
	}
	if now.Before(p.stageEnd(m, current)) {
		return Step{}, false
	}
	if why := p.hold(m, current); why != "" {
		return p.report(now, m, why)
	}
	if current == len(ladderOf(m).stages)-1 {
		return Step{Phase: applier.PhaseDone, Reason: doneReason(now, m)}, true
	}
	next := ladderStep(m, current+1)
	if limit := p.shareLimit(c); next.Share > limit {
		return p.report(now, m, fmt.Sprintf("the new version's %d slots carry only %.1f%% of the requests", c.NewSlots, float64(limit)/100))
	}
	return next, true
}

// follow begins a new stage when the log shows another share.
func (p *Plan) follow(now time.Time, m applier.Move) {
	if p.stageAt.IsZero() {
		p.stageAt, p.closedAt = now, now
		p.share = m.Share + m.UnsafeShare
	}
	if p.share != m.Share+m.UnsafeShare {
		p.share = m.Share + m.UnsafeShare
		p.stageAt = now
		p.detector.BeginStage()
	}
}

// measure works out how many requests are in flight on average.
func (p *Plan) measure(now time.Time) {
	if window := now.Sub(p.closedAt).Seconds(); window > 0 {
		p.busy = p.detector.openSeconds() / window
	}
	p.closedAt = now
}

func (p *Plan) takeBack(m applier.Move, c Capacity, f *Regression) (Step, bool) {
	if !m.Running() && !ladderOf(m).watched {
		return Step{}, false // The old version's targets ended with the move.
	}
	if !m.Running() && (m.Phase != applier.PhaseDone || c.OldTargets == 0) {
		return Step{}, false
	}
	return Step{Phase: applier.PhaseRolledBack, Reason: f.Detail}, true
}

// hold says why the stage cannot end yet, or nothing.
func (p *Plan) hold(m applier.Move, current int) string {
	if p.detector.SuspectsRegression() {
		return "the new version is under suspicion"
	}
	// The small shares of the first half are what brings evidence in, so they
	// grow without it; beyond them caution wants it.
	if m.Preference == applier.PreferDeadline || current < ladderOf(m).firstHalf-1 {
		return ""
	}
	whole := current == ladderOf(m).firstHalf-1
	if p.detector.HasEnoughRequests(false, leastPerStage, whole) && p.detector.HasEnoughRequests(true, leastUnsafe, whole) {
		return ""
	}
	return fmt.Sprintf("too little evidence: the new version got %d requests in this stage", p.detector.StageRequests())
}

// report tells operators once that the deadline cannot be met.
func (p *Plan) report(now time.Time, m applier.Move, why string) (Step, bool) {
	l := ladderOf(m)
	left := len(l.stages) - 1 - stageOf(m)
	late := now.Add(time.Duration(left) * l.leastTime).After(m.Deadline)
	if !late || m.Late {
		return Step{}, false
	}
	return Step{Share: m.Share, UnsafeShare: m.UnsafeShare, Phase: applier.PhaseRunning, Late: true, Reason: "late: " + why}, true
}

// shareLimit is the share that the new version's slots carry.
func (p *Plan) shareLimit(c Capacity) int {
	if p.busy <= 0 {
		return applier.FullShare
	}
	return min(applier.FullShare, int(float64(applier.FullShare)*slotUse*float64(c.NewSlots)/p.busy))
}

// InfeasibleReason says why a deadline cannot be met, or nothing.
func InfeasibleReason(now, deadline time.Time) string {
	l := ladderOf(applier.Move{BegunAt: now, Deadline: deadline})
	least := time.Duration(float64(time.Duration(len(l.stages))*(l.leastTime+DecisionInterval)) / usableTime)
	if deadline.Sub(now) >= least {
		return ""
	}
	return fmt.Sprintf("a move takes at least %s; name a later deadline", least.Round(time.Second))
}

// stageEnd is the earliest end of the current stage. The stages have their
// places in the time up to the deadline, so a move that was held up makes up
// for it in later stages, down to the shortest time of each.
func (p *Plan) stageEnd(m applier.Move, current int) time.Time {
	l := ladderOf(m)
	usable := float64(m.Deadline.Sub(m.BegunAt)) * usableTime
	planned := m.BegunAt.Add(time.Duration(usable * l.stages[current].end))
	if least := p.stageAt.Add(l.leastTime); planned.Before(least) {
		return least
	}
	return planned
}

// stageOf returns the stage that a move is in, -1 before the first.
func stageOf(m applier.Move) int {
	at := -1
	for i, s := range ladderOf(m).stages {
		if m.Share >= s.share && m.UnsafeShare >= s.unsafeShare {
			at = i
		}
	}
	return at
}

func ladderStep(m applier.Move, i int) Step {
	s := ladderOf(m).stages[i]
	return Step{Share: s.share, UnsafeShare: s.unsafeShare, Phase: applier.PhaseRunning}
}

func doneReason(now time.Time, m applier.Move) string {
	if now.After(m.Deadline) {
		return fmt.Sprintf("done %s after the deadline", now.Sub(m.Deadline).Round(time.Second))
	}
	return fmt.Sprintf("done %s before the deadline", m.Deadline.Sub(now).Round(time.Second))
}
