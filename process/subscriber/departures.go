package subscriber

import (
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// departuresOf returns the departures as this node announces them.
func (s *Subscriber) departuresOf(list []registrar.Departure) []applier.Departure {
	var out []applier.Departure
	for _, d := range list {
		key := applier.EndpointKey{Node: s.Node, Target: d.Target}
		out = append(out, applier.Departure{EndpointKey: key, StartedAt: d.StartedAt, ExpiresAt: d.ExpiresAt})
	}
	return out
}

// restoreDepartures stores the departures that control hosts keep for this node, which it
// has forgotten if it has restarted since.
func (s *Subscriber) restoreDepartures(list []applier.Departure) {
	var out []registrar.Departure
	for _, d := range list {
		out = append(out, registrar.Departure{Target: d.Target, StartedAt: d.StartedAt, ExpiresAt: d.ExpiresAt})
	}
	s.Registrar.RestoreDepartures(out)
}
