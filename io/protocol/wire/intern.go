package wire

// internLimit bounds the intern table, since callers choose customer and feed names. At 64 bytes each, a full table
// takes less than 1 MB.
const internLimit = 4096

// interner holds one string for each recently decoded name.
type interner map[string]string

// intern returns b as a string. It allocates only for a name that is not in the table. A full table is cleared: names
// in use are added again when they are next decoded, and names that were sent only once do not take up space for good.
func (t interner) intern(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if s, ok := t[string(b)]; ok {
		return s
	}
	if len(t) >= internLimit {
		clear(t)
	}
	s := string(b)
	t[s] = s
	return s
}
