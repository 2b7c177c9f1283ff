package directory

import "cmp"

// Position identifies a state of the store. Revisions start anew when the store is restored from a copy, which raises
// the era, so that positions compare by era first. Era 0 means that the store sent none.
type Position struct {
	Era, Revision uint64
}

// Compare returns -1, 0 or 1 if p is older than, equal to or newer than o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Evacuations is the complete set of evacuated failure domains at one position of the store.
type Evacuations struct {
	Position
	Domains []string // sorted
}
