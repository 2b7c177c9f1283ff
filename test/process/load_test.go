package process_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/packet"
	"cornellb/io/transport/client"
	"cornellb/standin/backend"
	"cornellb/standin/caller"
	"cornellb/standin/content"
	"cornellb/standin/verdict"
)

const (
	maxLoadDuration = time.Minute // after which a load ends if the test has not stopped it
	loadRate        = 25          // requests per second
	loadPause       = 200 * time.Millisecond
	feedInterval    = 10 * time.Millisecond
	// feedProgress is the number of items that count as progress. It exceeds the owner's window of unacknowledged items,
	// so that items which were in flight before a change do not count as progress after it.
	feedProgress = 80
	// requiredAnswers is the number of consecutive new flows that must be answered before service counts as restored. It
	// is high enough that each of the 3 pool shards gets some of them.
	requiredAnswers = 20
)

// load is a running caller.
type load struct {
	cancel context.CancelFunc
	done   chan struct{}
	result *caller.Result
	err    error
}

// startLoad sends requests to the service reminders until stop. It sets the name, targets, duration, pause, customers
// and large share of the configuration.
func (f *fleet) startLoad(c caller.Config) *load {
	f.runs++
	c.Name = fmt.Sprintf("run-%d", f.runs)
	c.Targets = []caller.Target{{Service: reminders, Address: f.targets[reminders], Rate: loadRate}}
	c.Duration, c.Pause, c.Customers, c.LargeShare = maxLoadDuration, loadPause, 3, 0.1
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.result, l.err = caller.Run(ctx, c)
	}()
	f.t.Cleanup(func() {
		cancel()
		if !f.t.Failed() { // after a failure, the requests may take long to time out
			<-l.done
		}
	})
	return l
}

// stop opens no more flows, waits for the outcomes of all requests and returns the result of the callers.
func (l *load) stop(t *testing.T) *caller.Result {
	t.Helper()
	l.cancel()
	<-l.done
	if l.err != nil {
		t.Fatal(l.err)
	}
	r := l.result
	t.Logf("%d requests: %d answered, not run %v, unknown %v; broken flows %d", len(r.Requests), r.Answered, r.NotRun,
		r.Unknown, r.BrokenFlows)
	return r
}

// checkResult fails the test for every guarantee that the run violated, and for every violated invariant of a live
// balancer.
func (f *fleet) checkResult(r *caller.Result) {
	f.t.Helper()
	var reports []backend.Report
	for _, s := range f.servers {
		report, err := s.report()
		if err != nil {
			f.t.Fatal(err)
		}
		reports = append(reports, report)
	}
	for _, v := range verdict.Judge(r, reports, verdict.Limits{}).Violations {
		f.t.Errorf("violation: %v", v)
	}
	if r.Answered == 0 {
		f.t.Error("no request was answered")
	}
	for _, b := range f.live() {
		f.checkInvariants(b)
	}
}

var invariantLine = regexp.MustCompile(`(?m)^cornellb_invariant.* [1-9].*$`)

func (f *fleet) checkInvariants(b *balancer) {
	f.t.Helper()
	response, err := httpClient.Get("http://" + b.operator + "/metrics")
	if err != nil {
		f.t.Error(err)
		return
	}
	defer response.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil || response.StatusCode != http.StatusOK {
		f.t.Errorf("%s: metrics: %s, %v", b.id, response.Status, err)
	}
	if line := invariantLine.Find(text.Bytes()); line != nil {
		f.t.Errorf("%s: invariant violated: %s", b.id, line)
	}
}

// openFlow opens a flow, and retries while no balancer accepts it.
func (f *fleet) openFlow(class packet.Class) *client.Flow {
	f.t.Helper()
	var flow *client.Flow
	eventually(f.t, eventualTimeout, "open a flow", func() (err error) {
		flow, err = client.Dial(context.Background(), f.targets[reminders], client.Options{
			Customer: "attiki", Class: class, Timeout: 2 * time.Second,
		})
		return err
	})
	f.t.Cleanup(flow.Close)
	return flow
}

// awaitService waits until requiredAnswers consecutive new flows are answered.
func (f *fleet) awaitService() {
	f.t.Helper()
	answered := 0
	eventually(f.t, eventualTimeout, "consecutive answers on new flows", func() error {
		for ; answered < requiredAnswers; answered++ {
			if err := f.probe(); err != nil {
				answered = 0
				return err
			}
		}
		return nil
	})
}

// probe sends one idempotent request on a new flow.
func (f *fleet) probe() error {
	ctx := context.Background()
	flow, err := client.Dial(ctx, f.targets[reminders], client.Options{Class: packet.ClassNormal, Timeout: 2 * time.Second})
	if err != nil {
		return err
	}
	defer flow.Close()
	q := content.Request{ID: "ask/" + flow.ID().String(), Service: reminders, Size: 2000}
	answer, err := flow.Do(ctx, client.Request{Payload: q.Append(nil), Idempotent: true, Timeout: 2 * time.Second})
	if err == nil && !bytes.Equal(answer, q.Answer()) {
		return errors.New("wrong answer")
	}
	return err
}

// feeds are open feeds. A goroutine for each reads its items and fails the test if one is missing, repeated or wrong.
type feeds struct {
	t    *testing.T
	last []*atomic.Uint64 // sequence of the last item of each feed
}

// openFeeds opens feeds, each on its own flow, that stay open until the test ends.
func (f *fleet) openFeeds(count int) *feeds {
	f.t.Helper()
	var flows []*client.Flow
	for range count {
		flows = append(flows, f.openFlow(packet.ClassNormal))
	}
	return f.followFeeds(flows...)
}

// followFeeds subscribes to one feed on each flow.
func (f *fleet) followFeeds(flows ...*client.Flow) *feeds {
	f.t.Helper()
	s := &feeds{t: f.t}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	f.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i, flow := range flows {
		last := &atomic.Uint64{}
		s.last = append(s.last, last)
		running.Go(func() { follow(ctx, f.t, flow, fmt.Sprintf("feed-%d", i), last) })
	}
	s.awaitProgress()
	return s
}

func follow(ctx context.Context, t *testing.T, flow *client.Flow, name string, last *atomic.Uint64) {
	feed, err := flow.Subscribe(ctx, name, 1)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	for {
		item, err := feed.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.Errorf("%s ended after item %d: %v", name, last.Load(), err)
			return
		}
		if item.Sequence != last.Load()+1 || !bytes.Equal(item.Payload, content.Item(reminders, name, item.Sequence)) {
			t.Errorf("%s: item %d after %d, or wrong content", name, item.Sequence, last.Load())
			return
		}
		last.Store(item.Sequence)
	}
}

// awaitProgress waits until every feed has delivered items that were sent after now.
func (s *feeds) awaitProgress() {
	s.t.Helper()
	var goals []uint64
	for _, last := range s.last {
		goals = append(goals, last.Load()+feedProgress)
	}
	eventually(s.t, eventualTimeout, "progress of all feeds", func() error {
		for i, last := range s.last {
			if n := last.Load(); n < goals[i] {
				return errors.Errorf("feed-%d is at item %d, want %d", i, n, goals[i])
			}
		}
		return nil
	})
}
