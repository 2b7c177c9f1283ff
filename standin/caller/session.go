package caller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/packet"
	"cornellb/io/transport/client"
	"cornellb/standin/content"
)

// session is one flow with its requests.
type session struct {
	run      *run
	target   Target
	socket   *client.Client
	customer string
	prefix   string
	random   *rand.Rand
	class    packet.Class
	flow     *client.Flow // nil if it could not be opened
	refusal  error        // of the last attempt to open the flow; nil if it succeeded
}

// execute sends the requests of the flow one after the other. It does not stop with the run's context, so that every
// request gets its outcome; its duration is bounded by the timeouts.
func (s *session) execute() {
	ctx := context.Background()
	c := s.run.config
	s.class = s.drawClass()
	s.open(ctx)
	defer func() {
		if s.flow != nil {
			s.flow.Close()
		}
	}()
	for n := range c.RequestsPerFlow {
		if s.flow == nil {
			s.recordUnsent(n)
			continue
		}
		wait := s.request(ctx, n)
		if n+1 < c.RequestsPerFlow {
			time.Sleep(wait + time.Duration(s.random.ExpFloat64()*float64(c.Pause)))
		}
	}
}

// drawClass draws a class with the configured shares.
func (s *session) drawClass() packet.Class {
	total := 0.0
	for _, x := range s.run.config.ClassShares {
		total += x
	}
	v := s.random.Float64() * total
	for class, x := range s.run.config.ClassShares {
		if v -= x; v < 0 {
			return packet.Class(class)
		}
	}
	return packet.ClassNormal
}

// open opens the flow, and retries if it is refused.
func (s *session) open(ctx context.Context) {
	for n := range maxOpenAttempts {
		s.flow, s.refusal = s.socket.Open(ctx, client.Options{
			Customer: s.customer, Class: s.class, Timeout: s.run.config.Timeout,
		})
		if s.refusal == nil {
			s.run.recorder.update(func(r *Result) { r.Flows++ })
			return
		}
		s.run.recorder.recordRefusal(s.refusal)
		if n+1 < maxOpenAttempts {
			time.Sleep(retryAfter(s.refusal))
		}
	}
}

func retryAfter(err error) time.Duration {
	var notRun *client.NotRunError
	if errors.As(err, &notRun) {
		return min(notRun.RetryAfter, maxRetryAfter)
	}
	return 0
}

// newRecord returns the record of the nth request, and draws whether the request is idempotent.
func (s *session) newRecord(n int) Record {
	return Record{
		ID: fmt.Sprintf("%s/%d", s.prefix, n), Service: s.target.Service, Customer: s.customer, Class: s.class.String(),
		Idempotent: s.random.Float64() < s.run.config.IdempotentShare,
	}
}

// recordUnsent records a request that was not sent because its flow could not be opened.
func (s *session) recordUnsent(n int) {
	s.run.recorder.recordRequest(s.newRecord(n), 0, s.refusal)
}

// request sends one request, records it, and returns the time to wait before the next one if it was refused.
func (s *session) request(ctx context.Context, n int) time.Duration {
	c := s.run.config
	x := s.newRecord(n)
	q := content.Request{ID: x.ID, Service: s.target.Service, Size: c.SmallBytes}
	if s.random.Float64() < c.LargeShare {
		q.Size = c.LargeBytes
	}
	began := time.Now()
	answer, err := s.flow.Do(ctx, client.Request{Payload: q.Append(nil), Idempotent: x.Idempotent, Timeout: c.Timeout})
	latency := time.Since(began)
	x.Wrong = err == nil && !bytes.Equal(answer, q.Answer())
	s.run.recorder.recordRequest(x, latency, err)
	var notRun *client.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == packet.ReasonBadTicket {
		s.reopen(ctx)
	}
	return retryAfter(err)
}

// reopen replaces a flow whose ticket was rejected.
func (s *session) reopen(ctx context.Context) {
	s.run.recorder.update(func(r *Result) { r.BrokenFlows++ })
	s.flow.Close()
	s.open(ctx)
}

// followFeed subscribes to one feed and checks its items until ctx ends.
func (r *run) followFeed(ctx context.Context, t Target, socket *client.Client, n int) {
	f := r.openFeedFlow(ctx, socket, n)
	if f == nil {
		r.countEndedFeed()
		return
	}
	defer f.Close()
	name := fmt.Sprintf("feed-%d", n)
	d, err := f.Subscribe(ctx, name, 1)
	if err != nil {
		r.countEndedFeed()
		return
	}
	r.recorder.update(func(x *Result) { x.Feeds.Opened++ })
	w := feedChecker{last: 0, at: time.Now()}
	defer func() { r.recorder.update(func(x *Result) { w.recordPause(&x.Feeds, time.Now()) }) }()
	for {
		limited, stop := context.WithTimeout(ctx, feedTimeout)
		item, err := d.Next(limited)
		stop()
		if err != nil {
			if ctx.Err() == nil || w.last == 0 {
				r.countEndedFeed()
			}
			return
		}
		isCorrect := bytes.Equal(item.Payload, content.Item(t.Service, name, item.Sequence))
		r.recorder.update(func(x *Result) { w.checkItem(&x.Feeds, item.Sequence, isCorrect, time.Now()) })
	}
}

// countEndedFeed counts a feed that ended early, or could not be opened, as ended and as a broken flow.
func (r *run) countEndedFeed() {
	r.recorder.update(func(x *Result) {
		x.Feeds.Ended++
		x.BrokenFlows++
	})
}

// openFeedFlow opens the flow of a feed and retries until ctx ends. It returns nil if it did not succeed.
func (r *run) openFeedFlow(ctx context.Context, socket *client.Client, n int) *client.Flow {
	for ctx.Err() == nil {
		f, err := socket.Open(ctx, client.Options{
			Customer: r.config.customer(n), Class: packet.ClassNormal, Timeout: r.config.Timeout,
		})
		if err == nil {
			return f
		}
		r.recorder.recordRefusal(err)
		sleep(ctx, max(retryAfter(err), minFeedRetry))
	}
	return nil
}

// minFeedRetry is the shortest pause between attempts to open the flow of a feed.
const minFeedRetry = 50 * time.Millisecond

// feedChecker checks the order of a feed's items and measures the pauses between them.
type feedChecker struct {
	last uint64    // highest sequence so far
	at   time.Time // arrival of the previous item, or start of the feed
}

func (w *feedChecker) checkItem(x *Feeds, sequence uint64, isCorrect bool, now time.Time) {
	x.Items++
	switch {
	case sequence == w.last+1:
	case sequence == w.last:
		x.Duplicates++
	case sequence < w.last:
		x.Reorders++
	default:
		x.Gaps++
	}
	if !isCorrect {
		x.WrongItems++
	}
	w.recordPause(x, now)
	w.last, w.at = max(w.last, sequence), now
}

// recordPause updates the longest pause with the time since the previous item. It is also called at the end of the run:
// a feed that had stopped by then would otherwise show no pause.
func (w *feedChecker) recordPause(x *Feeds, now time.Time) {
	x.LongestPause = max(x.LongestPause, now.Sub(w.at).Seconds())
}
