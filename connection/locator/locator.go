// Package locator holds the addresses of control hosts.
//
// Seeds come from the settings and may be out of date. The members that a control
// host has sent are newer, so they are listed first. The seeds are kept for the case
// that all of these members are gone.
//
// # Usage
//
//	l := &locator.Locator{}
//	l.SetSeeds([]string{"10.0.0.1:7000"})
//	l.SetMembers(members)
//	for _, address := range l.List() { ... }
package locator

import (
	"slices"
	"sync"
)

// Locator holds the seeds and the newest members. It is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex
	seeds   []string
	members []string
}

// New returns a locator with the given seed addresses.
func New(seeds ...string) *Locator {
	l := &Locator{}
	l.SetSeeds(seeds)
	return l
}

// SetSeeds replaces the seed addresses and reports whether they have changed.
func (l *Locator) SetSeeds(seeds []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.seeds, seeds) {
		return false
	}
	l.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the addresses of the members that a control host has sent. An
// empty list changes nothing.
func (l *Locator) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(members)
}

// List returns all addresses without duplicates, members first.
func (l *Locator) List() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.members)
	for _, s := range l.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
