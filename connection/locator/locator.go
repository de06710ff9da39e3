// Package locator knows where control hosts may be reached.
//
// Seeds come from the settings and may be out of date. The members that a
// control host names are newer, so they go first; the seeds stay, for the day
// on which every known member has gone.
//
// # Usage
//
//	l := &locator.Locator{}
//	l.SetSeeds([]string{"10.0.0.1:7000"})
//	l.Learn(members)
//	for _, address := range l.List() { ... }
package locator

import (
	"slices"
	"sync"
)

// Locator is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex
	seeds   []string
	learned []string
}

// New returns a locator with seeds.
func New(seeds ...string) *Locator {
	l := &Locator{}
	l.SetSeeds(seeds)
	return l
}

// SetSeeds replaces the seeds. It reports whether they differ from before.
func (l *Locator) SetSeeds(seeds []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.seeds, seeds) {
		return false
	}
	l.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the members that a control host named.
func (l *Locator) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned = slices.Clone(members)
}

// List returns all addresses, members first, none twice.
func (l *Locator) List() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.learned)
	for _, s := range l.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
