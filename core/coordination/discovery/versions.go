package discovery

import "cornellb/core/state/directory"

const (
	// maxVersions is the number of changes of the configuration that are kept for other balancers. They fetch missing
	// changes within a second; there are 0.3 changes a second at the deployment size expected in two years, and 16 in a
	// burst of changes today.
	maxVersions = 64
	// maxVersionRoutes bounds the number of routes in these changes, at some 200 bytes each.
	maxVersionRoutes = 4096
)

// versions holds the latest changes of the configuration. Each starts from the version to which the one before leads.
type versions struct {
	list   []*directory.Difference
	routes int // number of routes in all differences of the list
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

// VersionsSince returns the changes from a version to the one in force. It reports false if they are no longer kept, or
// if they concern more than half of the routes, so that the whole configuration is hardly larger.
func (s *State) VersionsSince(version uint64) (*directory.Difference, bool) {
	for i, d := range s.versions.list {
		if d.From == version {
			merged := directory.Merge(s.versions.list[i:])
			return merged, 2*merged.Size() <= len(s.configuration.Routes)
		}
	}
	return nil, false
}
