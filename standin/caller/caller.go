// Package caller is a load generator: customers with equal demand that open flows, send requests and follow feeds with
// the client library, and that check every answer and every feed item.
//
// # Usage
//
//	result, err := caller.Run(ctx, caller.Config{
//		Targets:  []caller.Target{{Service: "reminders", Address: "127.0.0.1:4000", Rate: 500, Feeds: 6}},
//		Customers: 6, Duration: 10 * time.Second, Seed: 1,
//	})
//
// Flows begin at a constant rate that does not depend on the answers, so that a slow service does not lower the demand.
// Sizes, classes and pauses come from the seed. The numbers of requests and of open flows are bounded.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/transport/client"
)

// Target is a service to call.
type Target struct {
	Service string
	Address string  // UDP address on which the fabric takes datagrams for the service
	Rate    float64 // requests per second over all customers
	Feeds   int     // feeds that stay open during the whole run
}

// Config configures a run.
type Config struct {
	Targets         []Target
	Customers       int
	CustomerPrefix  string // customers are named PREFIX-NUMBER; "customer" if empty
	Duration        time.Duration
	Seed            uint64
	Name            string                     // prefix of request IDs, unique per run against the same backend servers
	RequestsPerFlow int                        // 5 if 0
	Pause           time.Duration              // mean pause between the requests of a flow
	IdempotentShare float64                    // share of idempotent requests, 0 to 1
	ClassShares     [packet.ClassCount]float64 // relative shares of the classes; all flows have class normal if all are 0
	LargeShare      float64                    // share of answers of LargeBytes instead of SmallBytes
	SmallBytes      int
	LargeBytes      int
	Timeout         time.Duration // of requests and opens; 5 s if 0
	MaxFlows        int           // open at the same time, without those of feeds; 2,000 if 0
	Sockets         int           // per target; 8 if 0
}

const (
	// maxOpenAttempts bounds the attempts to open a flow. If all are refused, its requests are recorded with the error
	// of the last attempt.
	maxOpenAttempts = 3
	// maxRequests bounds the requests of a run, over all targets.
	maxRequests = 500_000
	// maxRetryAfter bounds the time that a refusal can make a flow wait before it retries.
	maxRetryAfter = 500 * time.Millisecond
	// feedTimeout is the time without an item after which a feed counts as ended.
	feedTimeout = 10 * time.Second
)

func (c Config) withDefaults() Config {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&c.Customers, 1)
	if c.CustomerPrefix == "" {
		c.CustomerPrefix = "customer"
	}
	set(&c.RequestsPerFlow, 5)
	set(&c.MaxFlows, 2000)
	set(&c.Sockets, 8)
	set(&c.SmallBytes, 200)
	set(&c.LargeBytes, 10_000)
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	if c.ClassShares == ([packet.ClassCount]float64{}) {
		c.ClassShares[packet.ClassNormal] = 1
	}
	return c
}

// customer returns the customer of the nth flow or feed. Round-robin selection gives every customer the same demand.
func (c Config) customer(n int) string { return fmt.Sprintf("%s-%d", c.CustomerPrefix, n%c.Customers) }

// run is the state of one call of Run.
type run struct {
	config    Config
	recorder  *recorder
	openFlows chan struct{} // one element per open flow
	flows     sync.WaitGroup
}

// Run generates load until the duration has passed or ctx ends, waits for the outcomes of all requests, and returns
// what the callers saw. It fails only if a socket cannot be opened.
func Run(ctx context.Context, c Config) (*Result, error) {
	c = c.withDefaults()
	r := &run{config: c, recorder: newRecorder(c.Name, c.Seed), openFlows: make(chan struct{}, c.MaxFlows)}
	var clients []*client.Client
	defer func() {
		for _, x := range clients {
			x.Close()
		}
	}()
	started := time.Now()
	ctx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	sockets := make([][]*client.Client, len(c.Targets))
	for i, t := range c.Targets {
		for range c.Sockets {
			x, err := client.Connect(t.Address, client.Settings{})
			if err != nil {
				return nil, err
			}
			clients = append(clients, x)
			sockets[i] = append(sockets[i], x)
		}
	}
	var targets sync.WaitGroup
	for i, t := range c.Targets {
		for n := range t.Feeds {
			r.flows.Go(func() { r.followFeed(ctx, t, sockets[i][n%c.Sockets], n) })
		}
		targets.Go(func() { r.startFlows(ctx, i, t, sockets[i]) })
	}
	targets.Wait()
	r.flows.Wait()
	return r.recorder.finish(time.Since(started), sum(clients)), nil
}

func sum(clients []*client.Client) (total client.Counters) {
	for _, x := range clients {
		total.Add(x.Counters())
	}
	return total
}

// startFlows begins flows at the target's rate. It skips a flow while the largest allowed number is open.
func (r *run) startFlows(ctx context.Context, index int, t Target, sockets []*client.Client) {
	if t.Rate <= 0 {
		return
	}
	c := r.config
	interval := time.Duration(float64(c.RequestsPerFlow) / t.Rate * float64(time.Second))
	limit := maxRequests / c.RequestsPerFlow / len(c.Targets)
	began := time.Now()
	for n := range limit {
		wait := time.Until(began.Add(time.Duration(n) * interval))
		if !sleep(ctx, wait) {
			return
		}
		select {
		case r.openFlows <- struct{}{}:
		default:
			r.recorder.update(func(x *Result) { x.FlowsSkipped++ })
			continue
		}
		r.flows.Go(func() {
			defer func() { <-r.openFlows }()
			s := &session{
				run: r, target: t, socket: sockets[n%len(sockets)], customer: c.customer(n),
				prefix: fmt.Sprintf("%s/%s/%d", c.Name, t.Service, n),
				random: rand.New(rand.NewPCG(c.Seed+uint64(index)<<32, uint64(n))),
			}
			s.execute()
		})
	}
}

// sleep waits for d, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
