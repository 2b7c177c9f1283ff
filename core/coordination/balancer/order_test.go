package balancer_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/dispatch"
)

// disconnectRecorder records the connections that a balancer ends.
type disconnectRecorder struct {
	benchOutputs
	ended []netip.AddrPort
}

func (r *disconnectRecorder) Disconnect(a netip.AddrPort) { r.ended = append(r.ended, a) }

// Shards that are closed together must end their connections in the same order in each run: otherwise a run of the
// simulation can't be repeated with its seed.
func TestOrderOfClosedShardsRepeats(t *testing.T) {
	is := is.New(t)
	var first []netip.AddrPort
	for range 10 {
		o := &disconnectRecorder{}
		b := balancer.New(benchHost(0), balancer.Config{ShardEndpoints: 32, Dispatch: dispatch.DefaultConfig()}, o,
			balancer.Outputs{Caller: o, Backend: o, Handover: o, Peer: o, Tickets: o, Recorder: o})
		b.SetView(benchView(1, 1)) // owns all shards
		b.SetTables(benchTables(100, 1))
		b.SetView(benchView(2, 17))
		b.Tick()
		if first == nil {
			first = o.ended
		}
		is.True(len(first) > 10)
		is.Equal(o.ended, first)
	}
}
