package discovery

import "cornellb/core/state/directory"

const (
	// maxVersions is the number of changes of the configuration that are kept for other balancers. They fetch within a
	// second what they lack; the two-year size has 0.3 changes a second, and a storm today 16.
	maxVersions = 64
	// maxVersionRoutes bounds the routes in them, at some 200 bytes each.
	maxVersionRoutes = 4096
)

// versions holds the latest changes of the configuration; each follows on the one before.
type versions struct {
	list   []*directory.Difference
	routes int // in all of them
}

func (v *versions) add(from, to *directory.Configuration) {
	if from.Version == 0 {
		return
	}
	d := directory.Diff(from, to)
	v.list = append(v.list, d)
	v.routes += d.Size()
	for len(v.list) > maxVersions || len(v.list) > 0 && v.routes > maxVersionRoutes {
		v.routes -= v.list[0].Size()
		v.list[0] = nil
		v.list = v.list[1:]
	}
}

// VersionsSince returns what leads from a version to the one in force. It reports false if the changes are no longer kept,
// or if the whole configuration is hardly larger.
func (s *State) VersionsSince(version uint64) (*directory.Difference, bool) {
	for i, d := range s.versions.list {
		if d.From == version {
			joined := directory.Join(s.versions.list[i:])
			return joined, 2*joined.Size() <= len(s.configuration.Routes)
		}
	}
	return nil, false
}
