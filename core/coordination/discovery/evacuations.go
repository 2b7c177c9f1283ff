package discovery

import (
	"maps"

	"cornellb/core/state/directory"
)

// evacuations is what a State passes on to snapshots of the evacuated failure domains.
type evacuations struct {
	isAwaited bool // no flow may be placed before they are known
	domains   map[string]bool
}

// AwaitEvacuations makes flows wait until Evacuate is called, as at the start of a process.
func (s *State) AwaitEvacuations() { s.evacuations.isAwaited, s.isDirty = true, true }

// Evacuate replaces the evacuated failure domains.
func (s *State) Evacuate(domains []string) {
	set := make(map[string]bool, len(domains))
	for _, name := range domains {
		set[name] = true
	}
	if s.evacuations.isAwaited || !maps.Equal(set, s.evacuations.domains) {
		s.evacuations = evacuations{domains: set}
		s.isDirty = true
	}
}

// KnowsEvacuations reports whether the evacuations are known, or nothing waits for them.
func (s *State) KnowsEvacuations() bool { return !s.evacuations.isAwaited }

func (e *evacuations) addTo(s *directory.Snapshot) { s.IsUnsure, s.Evacuated = e.isAwaited, e.domains }
