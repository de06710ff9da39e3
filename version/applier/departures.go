package applier

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// MaxDepartures is the number of departures that the state keeps.
const MaxDepartures = 4_096

// Departure records that a target has left: the incarnations of it that started at
// StartedAt or before get no new requests, even when a node that has lost its memory
// announces one of them.
type Departure struct {
	EndpointKey
	StartedAt int64     `cbor:"3,keyasint"` // StartedAt is in Unix milliseconds.
	ExpiresAt time.Time `cbor:"4,keyasint"` // ExpiresAt is when the record is deleted, which is after the last delayed announcement.
}

// covers reports whether the endpoint is an incarnation that has left. Endpoints without a
// start time cannot be told from later ones, so none is covered.
func (d Departure) covers(e Endpoint) bool {
	return d.EndpointKey == e.EndpointKey && e.StartedAt != 0 && e.StartedAt <= d.StartedAt
}

// DeparturesOf returns the departures of the targets of a node.
func (s State) DeparturesOf(node string) []Departure {
	var out []Departure
	for _, d := range s.Departures {
		if d.Node == node {
			out = append(out, d)
		}
	}
	return out
}

// withDepartures returns the state with the given departures, without those that have
// expired at the time at. Of a target it keeps the departure of the newest incarnation, and
// drops the oldest records beyond MaxDepartures.
func (s State) withDepartures(departures []Departure, at time.Time) State {
	expired := func(d Departure) bool { return !at.Before(d.ExpiresAt) }
	if len(departures) == 0 && !slices.ContainsFunc(s.Departures, expired) {
		return s
	}
	kept := slices.DeleteFunc(slices.Clone(s.Departures), expired)
	for _, d := range departures {
		i := slices.IndexFunc(kept, func(o Departure) bool { return o.EndpointKey == d.EndpointKey })
		switch {
		case i < 0:
			kept = append(kept, d)
		case kept[i].StartedAt <= d.StartedAt:
			kept = append(slices.Delete(kept, i, i+1), d)
		}
	}
	if extra := len(kept) - MaxDepartures; extra > 0 {
		kept = kept[extra:]
	}
	s.Departures = kept
	return s
}

// withoutDeparted returns the list without the endpoints that have left.
func (s State) withoutDeparted(a Announcement) Announcement {
	departed := func(e Endpoint) bool {
		return slices.ContainsFunc(s.Departures, func(d Departure) bool { return d.covers(e) })
	}
	if slices.ContainsFunc(a.Endpoints, departed) {
		a.Endpoints = slices.DeleteFunc(slices.Clone(a.Endpoints), departed)
	}
	return a
}

// validDepartures returns the departures that the node of the list can have announced, up to
// MaxNodeEndpoints.
func (a Announcement) validDepartures() []Departure {
	var kept []Departure
	for _, d := range a.Departures {
		if d.Node != a.Node || !parser.ValidName(d.Target) || d.StartedAt <= 0 || len(kept) == MaxNodeEndpoints {
			rejectedEndpoints.Inc()
			continue
		}
		kept = append(kept, d)
	}
	return kept
}
