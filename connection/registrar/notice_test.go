package registrar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// limitOf returns a named rate limit.
func limitOf(perSecond float64) translator.RateLimit {
	return translator.RateLimit{Named: true, PerSecond: perSecond}
}

// TestOlderResponseEndsLimit guards against a response to an earlier request that ends or
// raises the limit that a later response named.
func TestOlderResponseEndsLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	type response struct {
		limit            translator.RateLimit
		sent, receivedAt int
	}
	none := translator.RateLimit{}
	for _, row := range []struct {
		name      string
		responses []response
		want      translator.RateLimit
	}{
		{"named", []response{{limitOf(5), 1, 2}}, limitOf(5)},
		{"ended", []response{{limitOf(5), 1, 2}, {none, 3, 4}}, none},
		{"raised", []response{{limitOf(5), 1, 2}, {limitOf(9), 3, 4}}, limitOf(9)},
		{"lowered at once", []response{{limitOf(5), 1, 4}, {limitOf(2), 2, 5}}, limitOf(2)},
		{"lowered to 0", []response{{limitOf(5), 1, 2}, {limitOf(0), 3, 4}}, limitOf(0)},
		{"older response without a limit", []response{{limitOf(5), 2, 3}, {none, 1, 4}}, limitOf(5)},
		{"older response with a higher limit", []response{{limitOf(5), 2, 3}, {limitOf(50), 1, 4}}, limitOf(5)},
		{"confirmed in between", []response{{limitOf(5), 1, 2}, {limitOf(5), 3, 6}, {none, 4, 7}}, limitOf(5)},
		{"ended after the confirmation", []response{{limitOf(5), 1, 2}, {limitOf(5), 3, 6}, {none, 7, 8}}, none},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			target := &Target{Limiter: &limiter.Limiter{Slots: 4}}
			for _, r := range row.responses {
				target.RecordLimit(r.limit, at(r.sent), at(r.receivedAt))
			}
			is.Equal(target.RateLimit(), row.want)
		})
	}
}

// TestNewDescriptionLosesLimit guards against an incarnation of a target whose rate limit
// is forgotten when it announces another description of itself, and against a limit that
// holds for the next incarnation.
func TestNewDescriptionLosesLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &Registrar{Now: func() time.Time { return now }}
	find := func() *Target {
		found, ok := r.Find("t1")
		is.True(ok)
		return found
	}
	is.NoErr(r.Announce(target("t1", 100, 1)))
	find().RecordLimit(limitOf(5), now, now)
	changed := target("t1", 100, 2)
	changed.Slots++
	is.NoErr(r.Announce(changed))
	is.Equal(find().Slots, changed.Slots)
	is.Equal(find().RateLimit(), limitOf(5))
	is.NoErr(r.Announce(target("t1", 200, 1)))
	is.Equal(find().RateLimit(), translator.RateLimit{})
}

// TestEntryNodeEndsLimit guards against the knowledge of an entry node that replaces what
// the target said itself, and against the higher one of two.
func TestEntryNodeEndsLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	found := &Target{Limiter: &limiter.Limiter{Slots: 4}}
	found.AdoptLimit(limitOf(5), now)
	found.AdoptLimit(limitOf(9), now)
	found.AdoptLimit(translator.RateLimit{}, now)
	is.Equal(found.RateLimit(), limitOf(5))
	found.AdoptLimit(limitOf(3), now)
	is.Equal(found.RateLimit(), limitOf(3))
	found.RecordLimit(limitOf(8), now, now)
	is.Equal(found.RateLimit(), limitOf(8))
	found.AdoptLimit(limitOf(1), now)
	is.Equal(found.RateLimit(), limitOf(8))
}
