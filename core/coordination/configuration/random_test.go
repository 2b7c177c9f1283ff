package configuration_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

// cluster simulates a store with all revisions of the tables, and balancers that get tables from it and from each
// other.
type cluster struct {
	is        *is.I
	clock     *clockwork.FakeClock
	revisions []revision
	valid     []bool // whether the tables of each revision are valid
	nodes     []*node
	next      member.Incarnation // last assigned incarnation
}

// node is one balancer. replies holds the replies of peers that are in transit; they may be delivered in any order.
type node struct {
	c              *cluster
	host           member.Host
	state          *configuration.State
	highestInForce uint64 // highest version put in force by this incarnation
	replies        []func()
}

func newCluster(is *is.I, size int) *cluster {
	c := &cluster{is: is, clock: clockwork.NewFakeClock()}
	for i := range size {
		c.nodes = append(c.nodes, &node{c: c, host: host(fmt.Sprintf("host-%d", i), []string{"a", "b"}[i%2], 0)})
		c.restart(i)
	}
	return c
}

func (c *cluster) restart(i int) {
	c.next++
	n := c.nodes[i]
	n.host.Incarnation, n.highestInForce, n.replies = c.next, 0, nil
	n.state = configuration.New(c.clock, n, slog.New(slog.DiscardHandler))
	var hosts []member.Host
	for _, n := range c.nodes {
		hosts = append(hosts, n.host)
	}
	for _, n := range c.nodes {
		if n.state != nil {
			n.state.SetView(member.NewView(uint64(c.next), n.host, append([]member.Host{}, hosts...)))
		}
	}
}

// PutInForce checks that the version increases and that the tables are those written to the store, all of one version.
func (n *node) PutInForce(x *table.Index) {
	v := x.Tables.Version
	n.c.is.True(v > n.highestInForce) // the version in force never decreases
	n.highestInForce = v
	n.c.is.True(n.c.valid[v-1])
	want := int(v%1000) + 1
	for _, p := range x.Tables.Pools {
		n.c.is.Equal(p.Endpoints[0].Slots, want) // all entries come from the same version
	}
	n.c.is.Equal(len(x.Tables.Pools), 3)
}

func (n *node) FetchTables(from member.Host, have []table.Digest) {
	have = append([]table.Digest{}, have...)
	requester := n.state
	n.replies = append(n.replies, func() {
		for _, peer := range n.c.nodes {
			if peer.host.Incarnation == from.Incarnation {
				h, segments := peer.state.ExportTables(have)
				if h != nil {
					_ = requester.Offer(configuration.Source{Peer: from.Incarnation}, h, segments) // checked by PutInForce
					return
				}
			}
		}
		requester.FetchFailed(from.Incarnation)
	})
}

// offerFromStore offers a revision of the store. A reply that arrives late has an old revision.
func (n *node) offerFromStore(version int) {
	r := n.c.revisions[version]
	wanted, _ := n.state.MissingSegments(r.head)
	var segments []*table.Segment
	for _, s := range r.segments {
		for _, d := range wanted {
			if s.Digest == d {
				segments = append(segments, s)
			}
		}
	}
	_ = n.state.Offer(configuration.Source{}, r.head, segments) // checked by PutInForce
}

func (n *node) deliverReply(i int) {
	reply := n.replies[i]
	n.replies = append(n.replies[:i:i], n.replies[i+1:]...)
	reply()
}

func (c *cluster) edit(isValid bool) {
	var before revision
	if len(c.revisions) > 0 {
		before = c.revisions[len(c.revisions)-1]
	}
	c.revisions = append(c.revisions, newRevision(before, isValid))
	c.valid = append(c.valid, isValid)
}

// converge runs reads of the newest revision, gossip and fetches without faults until all balancers should have it.
func (c *cluster) converge() {
	for range 12 {
		c.clock.Advance(time.Second)
		for _, n := range c.nodes {
			if n.state.IsReader() {
				n.offerFromStore(len(c.revisions) - 1)
			}
			for _, peer := range c.nodes {
				n.state.HandlePeerVersion(peer.host.Incarnation, peer.state.Version())
			}
			n.state.Tick()
			for len(n.replies) > 0 {
				n.deliverReply(0)
			}
		}
	}
}

// TestRandomRun guards against a version in force that decreases, mixes entries of two versions or is invalid, and
// against balancers that do not converge, while tables are edited, replies of the store and of peers are late,
// duplicated or reordered, and balancers restart.
func TestRandomRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(is.New(rt), rapid.IntRange(1, 6).Draw(rt, "size"))
		c.edit(true)
		pick := func() *node { return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")] }
		rt.Repeat(map[string]func(*rapid.T){
			"edit":         func(*rapid.T) { c.edit(true) },
			"edit invalid": func(*rapid.T) { c.edit(false) },
			"store":        func(*rapid.T) { pick().offerFromStore(rapid.IntRange(0, len(c.revisions)-1).Draw(rt, "version")) },
			"gossip": func(*rapid.T) {
				from := pick()
				pick().state.HandlePeerVersion(from.host.Incarnation, from.state.Version())
			},
			"false gossip": func(*rapid.T) {
				pick().state.HandlePeerVersion(pick().host.Incarnation, rapid.Uint64Range(0, 50).Draw(rt, "version"))
			},
			"peer": func(*rapid.T) {
				if n := pick(); len(n.replies) > 0 {
					n.deliverReply(rapid.IntRange(0, len(n.replies)-1).Draw(rt, "reply"))
				}
			},
			"failure": func(*rapid.T) { pick().state.FetchFailed(pick().host.Incarnation) },
			"corrupt": func(*rapid.T) { pick().state.OfferFailed(configuration.Source{Peer: pick().host.Incarnation}) },
			"restart": func(*rapid.T) { c.restart(rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")) },
			"time": func(*rapid.T) {
				c.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				pick().state.Tick()
			},
		})
		c.edit(true)
		c.converge()
		for _, n := range c.nodes {
			c.is.Equal(n.state.Version(), uint64(len(c.revisions)))
			c.is.True(n.state.IsReady())
		}
	})
}
