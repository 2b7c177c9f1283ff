package endpoint

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IsListed reports whether the endpoint is in the table of this pool shard.
func (s *Set) IsListed(address netip.AddrPort) bool {
	t := s.byAddress[address]
	return t != nil && t.isListed
}

// AnyUsable reports whether any endpoint may take new work once it has a free slot.
func (s *Set) AnyUsable() bool {
	for _, t := range s.states {
		if t.isUsable() {
			return true
		}
	}
	return false
}

// ByHash returns the usable endpoint that rendezvous hashing selects for the key, whether it has a free slot or not. It
// is used for the baseline of plain consistent hashing.
func (s *Set) ByHash(key []byte) (netip.AddrPort, bool) {
	var best netip.AddrPort
	var bestScore uint64
	for _, t := range s.states {
		if !t.isUsable() {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		address := t.entry.Address.Addr().As16()
		_, _ = d.Write(address[:])
		_, _ = d.Write([]byte{byte(t.entry.Address.Port() >> 8), byte(t.entry.Address.Port())})
		_, _ = d.Write(key)
		if score := d.Sum64(); !best.IsValid() || score > bestScore {
			best, bestScore = t.entry.Address, score
		}
	}
	return best, best.IsValid()
}
