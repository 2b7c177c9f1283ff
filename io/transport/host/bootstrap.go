package host

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
)

// bootstrapInterval is the time between attempts to get the first tables.
const bootstrapInterval = 200 * time.Millisecond

// bootstrap fetches the first tables from a peer or the store before the process joins the membership: a member without
// tables would become the owner of pool shards that it cannot serve. It returns when tables are in force, when the
// store has none yet, or when the process stops.
func (h *Host) bootstrap() {
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	reader := &transport.Reader{Store: h.client, Core: alwaysReader{h.tables}, Clock: transport.SystemClock{}, Log: h.log}
	h.goroutines.Go(func() { reader.Run(ctx) })
	for ctx.Err() == nil && h.tables.Version() == 0 {
		for _, a := range parseAddresses(h.settings.Peers) {
			h.fetchFirstTables(ctx, a)
		}
		if h.tables.Version() == 0 && h.isStoreEmpty(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapInterval):
		}
	}
}

// fetchFirstTables fetches tables from a peer whose incarnation is not known yet. Errors are ignored: the peer may be
// starting too.
func (h *Host) fetchFirstTables(ctx context.Context, a netip.AddrPort) {
	if h.tables.Version() != 0 || ctx.Err() != nil {
		return
	}
	_ = h.fetchTables(member.Host{Address: a}, nil)
}

func (h *Host) isStoreEmpty(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_, err := h.client.Get(ctx, platform.KindTables, platform.NameHead)
	var missing *transport.NotFoundError
	return errors.As(err, &missing)
}

// alwaysReader lets a process read the store before it has a membership view.
type alwaysReader struct{ *configuration.State }

// IsReader implements platform.Core.
func (alwaysReader) IsReader() bool { return true }
