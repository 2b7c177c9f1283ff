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
	flow     *client.Flow
}

// execute sends the requests of the flow one after the other. It is not bound to the run's context, so that every
// request gets its outcome; the timeouts bound it.
func (s *session) execute() {
	ctx := context.Background()
	c := s.run.config
	s.class = s.drawClass()
	err := s.open(ctx)
	defer func() {
		if s.flow != nil {
			s.flow.Close()
		}
	}()
	for n := range c.RequestsPerFlow {
		if s.flow == nil {
			s.skip(n, err)
			continue
		}
		wait := s.request(ctx, n)
		if n+1 < c.RequestsPerFlow {
			time.Sleep(wait + time.Duration(s.random.ExpFloat64()*float64(c.Pause)))
		}
	}
}

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

// open opens the flow, and tries again when it is refused.
func (s *session) open(ctx context.Context) error {
	var err error
	for n := range openAttempts {
		s.flow, err = s.socket.Open(ctx, client.Options{
			Customer: s.customer, Class: s.class, Timeout: s.run.config.Timeout,
		})
		if err == nil {
			s.run.recorder.update(func(r *Result) { r.Flows++ })
			return nil
		}
		s.run.recorder.refusedOpen(err)
		if n+1 < openAttempts {
			time.Sleep(retryAfter(err))
		}
	}
	return err
}

func retryAfter(err error) time.Duration {
	var notRun *client.NotRunError
	if errors.As(err, &notRun) {
		return min(notRun.RetryAfter, retryLimit)
	}
	return 0
}

func (s *session) record(n int) Record {
	return Record{
		ID: fmt.Sprintf("%s/%d", s.prefix, n), Service: s.target.Service, Customer: s.customer, Class: s.class.String(),
		Idempotent: s.random.Float64() < s.run.config.IdempotentShare,
	}
}

// skip records a request that was not sent, because its flow was refused.
func (s *session) skip(n int, err error) { s.run.recorder.request(s.record(n), 0, err) }

// request sends one request, records it, and returns the time for which the service asked to wait.
func (s *session) request(ctx context.Context, n int) time.Duration {
	c := s.run.config
	x := s.record(n)
	q := content.Request{ID: x.ID, Service: s.target.Service, Size: c.SmallBytes}
	if s.random.Float64() < c.LargeShare {
		q.Size = c.LargeBytes
	}
	began := time.Now()
	answer, err := s.flow.Do(ctx, client.Request{Payload: q.Append(nil), Idempotent: x.Idempotent, Timeout: c.Timeout})
	took := time.Since(began)
	x.Wrong = err == nil && !bytes.Equal(answer, q.Answer())
	s.run.recorder.request(x, took, err)
	var notRun *client.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == packet.ReasonBadTicket {
		s.reopen(ctx)
	}
	return retryAfter(err)
}

// reopen replaces a flow whose ticket no balancer accepts any more.
func (s *session) reopen(ctx context.Context) {
	s.run.recorder.update(func(r *Result) { r.BrokenFlows++ })
	s.flow.Close()
	s.flow = nil
	// A refusal is recorded; the remaining requests count as not run.
	_ = s.open(ctx)
}

// feed follows one feed until ctx ends.
func (r *run) feed(ctx context.Context, t Target, socket *client.Client, n int) {
	f := r.openFeedFlow(ctx, socket, n)
	if f == nil {
		r.endFeed()
		return
	}
	defer f.Close()
	name := fmt.Sprintf("feed-%d", n)
	d, err := f.Subscribe(ctx, name, 1)
	if err != nil {
		r.endFeed()
		return
	}
	r.recorder.update(func(x *Result) { x.Feeds.Opened++ })
	w := feedWatch{last: 0, at: time.Now()}
	defer func() { r.recorder.update(func(x *Result) { w.notePause(&x.Feeds, time.Now()) }) }()
	for {
		limited, stop := context.WithTimeout(ctx, feedLimit)
		item, err := d.Next(limited)
		stop()
		if err != nil {
			if ctx.Err() == nil || w.last == 0 {
				r.endFeed()
			}
			return
		}
		isRight := bytes.Equal(item.Payload, content.Item(t.Service, name, item.Sequence))
		r.recorder.update(func(x *Result) { w.note(&x.Feeds, item.Sequence, isRight, time.Now()) })
	}
}

func (r *run) endFeed() {
	r.recorder.update(func(x *Result) {
		x.Feeds.Ended++
		x.BrokenFlows++
	})
}

func (r *run) openFeedFlow(ctx context.Context, socket *client.Client, n int) *client.Flow {
	for ctx.Err() == nil {
		f, err := socket.Open(ctx, client.Options{
			Customer: r.config.customer(n), Class: packet.ClassNormal, Timeout: r.config.Timeout,
		})
		if err == nil {
			return f
		}
		r.recorder.refusedOpen(err)
		sleep(ctx, max(retryAfter(err), firstRetry))
	}
	return nil
}

// firstRetry is the pause between opens of a feed's flow when the refusal names no time.
const firstRetry = 50 * time.Millisecond

// feedWatch compares the sequences of a feed's items.
type feedWatch struct {
	last uint64
	at   time.Time
}

func (w *feedWatch) note(x *Feeds, sequence uint64, isRight bool, now time.Time) {
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
	if !isRight {
		x.WrongItems++
	}
	w.notePause(x, now)
	w.last, w.at = max(w.last, sequence), now
}

// notePause counts the time since the last item, also at the end of the run: a feed that has stopped by then would
// otherwise show no pause.
func (w *feedWatch) notePause(x *Feeds, now time.Time) {
	x.LongestPause = max(x.LongestPause, now.Sub(w.at).Seconds())
}
