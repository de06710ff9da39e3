package subscriber

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/connection/dialer"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// syncStep is the step of an update's way to the node at which a call failed.
type syncStep string

// The steps at which a call can fail.
const (
	stepNone    syncStep = ""
	stepHosts   syncStep = "hosts"   // stepHosts means that the reply has control hosts that the node did not have.
	stepDial    syncStep = "dial"    // stepDial means that no connection was established.
	stepReply   syncStep = "reply"   // stepReply means that no complete reply came in time.
	stepConfirm syncStep = "confirm" // stepConfirm means that the host found no leader to confirm its state.
	stepDecode  syncStep = "decode"  // stepDecode means that the update could not be decoded.
	stepApply   syncStep = "apply"   // stepApply means that the update could not be applied or compiled.
	stepStall   syncStep = "stall"   // stepStall means that this process got no processor time, so the host may have replied.
)

// syncReply is the outcome of a call.
type syncReply struct {
	syncCall
	reply messenger.SyncReply
	err   error
}

// requeueEvidence returns the evidence of a failed call to the provider.
func (s *Subscriber) requeueEvidence(args messenger.SyncArgs) {
	if s.Evidence != nil {
		s.Evidence.RequeueEvidence(args.Report.Evidence)
	}
}

// accept applies a reply, and confirms the table by it. It returns the step that failed,
// stepNone when none did.
func (s *Subscriber) accept(r syncReply) (syncStep, error) {
	if r.err != nil {
		if dialer.IsKind(r.err, dialer.KindUnreachable) {
			return stepDial, r.err
		}
		return stepReply, r.err
	}
	receivedAt := s.Now()
	s.Hosts.SetMembers(r.reply.Hosts)
	if !r.reply.Confirmed {
		if len(s.Hosts.List()) > r.args.Known {
			return stepHosts, nil
		}
		return stepConfirm, nil
	}
	update, err := differ.Unpack(r.reply.Update)
	if err != nil {
		rejectedTotal.Inc()
		return stepDecode, err
	}
	s.restoreDepartures(r.reply.Departures)
	changed, err := s.apply(update, r.args.Have)
	if err != nil {
		rejectedTotal.Inc()
		return stepApply, err
	}
	s.confirm(r.startedAt)
	if changed {
		s.logVersion(r, update, receivedAt)
	}
	return stepNone, nil
}

// confirm records that the table has every version that was acknowledged before the
// time at.
func (s *Subscriber) confirm(at time.Time) {
	now := s.Now()
	if f := s.Tables.Freshness(now); f != compiler.FreshnessCurrent {
		s.Log.Warn("configuration confirmed again", "configVersion", s.tableVersion(), "confirmationAgeMs", s.confirmationAge().Milliseconds(), "before", f)
	}
	s.Tables.Confirm(at, at.Add(s.MaxConfirmationAge))
}

// logVersion logs that a new configuration version is in force.
func (s *Subscriber) logVersion(r syncReply, u differ.Update, receivedAt time.Time) {
	applied := s.Now()
	total := r.reply.VersionAge + applied.Sub(receivedAt)
	applySeconds.Update(total.Seconds())
	s.Log.Info("configuration in force", "configVersion", u.Version, "from", r.args.Have.Version, "host", r.host, "hostHadMs", r.reply.VersionAge.Milliseconds(),
		"callMs", receivedAt.Sub(r.startedAt).Milliseconds(), "applyMs", applied.Sub(receivedAt).Milliseconds())
}
