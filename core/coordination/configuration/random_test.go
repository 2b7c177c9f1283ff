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

// cluster is a store with its history and balancers that take tables from it and from each other.
type cluster struct {
	is       *is.I
	clock    *clockwork.FakeClock
	releases []release
	valid    []bool
	nodes    []*node
	next     member.Incarnation
}

// node is one balancer. replies are answers of peers on their way, in any order.
type node struct {
	c       *cluster
	host    member.Host
	state   *configuration.State
	last    uint64 // highest version put in force by this incarnation
	replies []func()
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
	n.host.Incarnation, n.last, n.replies = c.next, 0, nil
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

// PutInForce checks that the version rises and that its tables are those that its operator wrote.
func (n *node) PutInForce(x *table.Index) {
	v := x.Tables.Version
	n.c.is.True(v > n.last) // a version in force never reverts
	n.last = v
	n.c.is.True(n.c.valid[v-1])
	want := int(v%1000) + 1
	for _, p := range x.Tables.Pools {
		n.c.is.Equal(p.Endpoints[0].Slots, want) // all entries are of one version
	}
	n.c.is.Equal(len(x.Tables.Pools), 3)
}

func (n *node) FetchTables(from member.Host, have []table.Digest) {
	have = append([]table.Digest{}, have...)
	asker := n.state
	n.replies = append(n.replies, func() {
		for _, peer := range n.c.nodes {
			if peer.host.Incarnation == from.Incarnation {
				h, segments := peer.state.Answer(have)
				if h != nil {
					_ = asker.Offer(configuration.Source{Peer: from.Incarnation}, h, segments) // checked by PutInForce
					return
				}
			}
		}
		asker.FetchFailed(from.Incarnation)
	})
}

// read offers a release of the store, which is old if the answer arrives late.
func (n *node) read(version int) {
	r := n.c.releases[version]
	wanted, _ := n.state.Wants(r.head)
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

func (n *node) deliver(i int) {
	reply := n.replies[i]
	n.replies = append(n.replies[:i:i], n.replies[i+1:]...)
	reply()
}

func (c *cluster) edit(isValid bool) {
	var before release
	if len(c.releases) > 0 {
		before = c.releases[len(c.releases)-1]
	}
	c.releases = append(c.releases, newRelease(before, isValid))
	c.valid = append(c.valid, isValid)
}

// settle lets readers read the newest release and peers gossip without faults.
func (c *cluster) settle() {
	for range 12 {
		c.clock.Advance(time.Second)
		for _, n := range c.nodes {
			if n.state.IsReader() {
				n.read(len(c.releases) - 1)
			}
			for _, peer := range c.nodes {
				n.state.HandlePeerVersion(peer.host.Incarnation, peer.state.Version())
			}
			n.state.Tick()
			for len(n.replies) > 0 {
				n.deliver(0)
			}
		}
	}
}

// TestRandomRun guards against a version in force that reverts, mixes entries of two versions or is invalid, and against
// balancers that do not converge, while operators edit, answers of the store and of peers arrive late, doubled or in
// another order, and balancers restart.
func TestRandomRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(is.New(rt), rapid.IntRange(1, 6).Draw(rt, "size"))
		c.edit(true)
		pick := func() *node { return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")] }
		rt.Repeat(map[string]func(*rapid.T){
			"edit":         func(*rapid.T) { c.edit(true) },
			"edit invalid": func(*rapid.T) { c.edit(false) },
			"store":        func(*rapid.T) { pick().read(rapid.IntRange(0, len(c.releases)-1).Draw(rt, "version")) },
			"gossip": func(*rapid.T) {
				from := pick()
				pick().state.HandlePeerVersion(from.host.Incarnation, from.state.Version())
			},
			"false gossip": func(*rapid.T) {
				pick().state.HandlePeerVersion(pick().host.Incarnation, rapid.Uint64Range(0, 50).Draw(rt, "version"))
			},
			"peer": func(*rapid.T) {
				if n := pick(); len(n.replies) > 0 {
					n.deliver(rapid.IntRange(0, len(n.replies)-1).Draw(rt, "reply"))
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
		c.settle()
		for _, n := range c.nodes {
			c.is.Equal(n.state.Version(), uint64(len(c.releases)))
			c.is.True(n.state.IsReady())
		}
	})
}
