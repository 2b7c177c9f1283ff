package discovery

import (
	"maps"

	"cornellb/core/state/directory"
)

// evacuations is what a State passes on to snapshots of the evacuated failure domains.
type evacuations struct {
	isRequired bool // no flow may be placed before they are known
	isKnown    bool
	domains    map[string]bool
}

// RequireEvacuations sets whether flows may only be placed when the evacuations are known. Without that, no failure domain
// is evacuated.
func (s *State) RequireEvacuations(isRequired bool) {
	if s.evacuations.isRequired != isRequired {
		s.evacuations = evacuations{isRequired: isRequired}
		s.isDirty = true
	}
}

// Evacuate replaces the evacuated failure domains.
func (s *State) Evacuate(domains []string) {
	set := make(map[string]bool, len(domains))
	for _, name := range domains {
		set[name] = true
	}
	if !s.evacuations.isKnown || !maps.Equal(set, s.evacuations.domains) {
		s.evacuations.isKnown, s.evacuations.domains = true, set
		s.isDirty = true
	}
}

// KnowsEvacuations reports whether the evacuations are known or not required.
func (s *State) KnowsEvacuations() bool { return s.evacuations.isKnown || !s.evacuations.isRequired }

func (e *evacuations) addTo(s *directory.Snapshot) {
	s.IsUnsure = e.isRequired && !e.isKnown
	if e.isRequired {
		s.Evacuated = e.domains
	}
}
