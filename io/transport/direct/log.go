package direct

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"cornellb/core/coordination/steering"
)

const (
	// decisionRate limits the log lines of each kind of decision, in lines per second. A line costs about 10 us of CPU
	// time.
	decisionRate  = 30
	decisionBurst = 60
	// logQueue is the number of lines that AsyncWriter holds while its output is slow.
	logQueue = 1024
)

// AsyncWriter queues lines and writes them in the background, so that its callers do not wait for a slow output. When
// the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter starts a goroutine that writes queued lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1) // there is no other place to report it
			}
		}
	}()
	return w
}

// Write implements io.Writer. Each call is one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called afterwards.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}

// decisionLog logs decisions on packets, with a rate limit for each kind of decision.
type decisionLog struct {
	log   *slog.Logger
	kinds map[string]*decisionKind
}

type decisionKind struct {
	limiter *rate.Limiter
	leftOut int64 // lines left out since the last one that was written
}

// Kinds of decisions, which are the log messages.
const (
	decisionOpened  = "flow opened"
	decisionMoved   = "flow opened elsewhere"
	decisionRefused = "flow refused"
	decisionDropped = "packet dropped"
	decisionHeld    = "packet held"
)

func newDecisionLog(log *slog.Logger) *decisionLog {
	d := &decisionLog{log: log, kinds: make(map[string]*decisionKind)}
	for _, kind := range []string{decisionOpened, decisionMoved, decisionRefused, decisionDropped, decisionHeld} {
		d.kinds[kind] = &decisionKind{limiter: rate.NewLimiter(decisionRate, decisionBurst)}
	}
	return d
}

// record logs one decision, unless it forwards a packet of an open flow or the rate limit is reached. It is called only
// by the goroutine of the socket.
func (l *decisionLog) record(now time.Time, p *steering.Packet, d steering.Decision) {
	kind := decisionDropped
	switch {
	case d.Verdict == steering.Reset:
		kind = decisionRefused
	case d.Verdict == steering.Hold:
		kind = decisionHeld
	case d.Verdict == steering.Forward && !p.IsOpening:
		return
	case d.Verdict == steering.Forward && d.SilentEndpoint != nil:
		kind = decisionMoved
	case d.Verdict == steering.Forward:
		kind = decisionOpened
	}
	k := l.kinds[kind]
	if !k.limiter.AllowN(now, 1) {
		k.leftOut++
		return
	}
	fields := []any{
		"client", p.Flow.Client.String(), "address", p.Flow.Service.String(), "version", d.Version,
		"version_age_ms", d.VersionAge.Milliseconds(),
	}
	if d.Endpoint != nil {
		fields = append(fields, "endpoint", d.Endpoint.ID, "service", d.Endpoint.Service, "load", d.Load)
	}
	if d.SilentEndpoint != nil {
		fields = append(fields, "silent_endpoint", d.SilentEndpoint.ID)
	}
	if d.Reason != steering.ReasonNone {
		fields = append(fields, "reason", string(d.Reason), "cookie", p.Cookie)
	}
	if k.leftOut > 0 {
		fields = append(fields, "left_out", k.leftOut)
		k.leftOut = 0
	}
	l.log.Info(kind, fields...)
}

// logHealthEvents logs the changes in endpoint health that the forwarder has detected. It requests an immediate report
// to the other balancers if an endpoint became suspect or dead.
func (p *Process) logHealthEvents() {
	for _, e := range p.forwarder.HealthEvents() {
		if e.Event == steering.EndpointSuspect || e.Event == steering.EndpointDead {
			select {
			case p.peers.reportNow <- struct{}{}:
			default:
			}
		}
		if e.Service != "" {
			p.log.Info(e.Event, "service", e.Service, "cause", e.Cause)
			continue
		}
		p.log.Info(e.Event, "id", e.Endpoint, "failures", e.Failures, "for_ms", e.For.Milliseconds(), "cause", e.Cause)
	}
}
