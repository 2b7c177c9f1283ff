// Package platform accesses the platform's object API over HTTP. It contains a client, the editor that the operator's
// commands use, and the reader and status writer of the balancer process.
//
// # Usage
//
// NewClient returns a Client. Its calls return the error types *ConflictError, *NotFoundError, *UnavailableError,
// *RateLimitError and *RequestError. Get, List and Hosts are retried with jittered backoff until they succeed, the
// context ends or ReadAttempts attempts have failed. The Client never retries a put, because a put without a response
// may have taken effect. An Editor applies a change of the tables and finds out after a lost response whether the
// change was accepted. A balancer runs Reader.Run and StatusWriter.Run until their contexts end.
package platform

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"reflect"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"cornellb/io/protocol/platform"
)

// ReplyOptions holds the options for decoding JSON from the platform. Objects that other programs wrote may contain
// duplicate names and invalid UTF-8, which the JSON package rejects by default.
var ReplyOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the current time after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

const (
	// DefaultTimeout bounds one call other than a watch. It is long enough for a slow platform.
	DefaultTimeout = 5 * time.Second
	// watchMargin is added to the wait of a watch to obtain its timeout. WatchWait plus watchMargin stays below the 4 s
	// within which an accepted version must be in force, so that an unresponsive connection is replaced in time.
	watchMargin = time.Second
	// minSilence is the least time after which a read on a connection that was used before is repeated on a new one. A
	// connection may have gone silent while it was idle, and new ones work.
	minSilence = 500 * time.Millisecond
	// slowFactor times the time that the last answer took is the limit if that is longer, because the platform is slow.
	// Answers older than slowLifetime do not count.
	slowFactor   = 2
	slowLifetime = 5 * time.Second
	// ReadAttempts is the maximum number of attempts of a read.
	ReadAttempts = 3
	// firstBackoff is the mean wait before the first retry. It doubles with each further retry, see backoff.
	firstBackoff = 50 * time.Millisecond
	// replyLimit is the maximum size of a response body in bytes. Lists may contain several values of 1 MiB in base64.
	replyLimit = 64 << 20
	// idleTimeout closes idle connections before middleboxes and servers usually drop them.
	idleTimeout = 30 * time.Second
)

// Client is an HTTP client of the platform's object API.
type Client struct {
	// OnSilent is called when a read is repeated because its connection has gone silent; it may be nil. It must be set
	// before the first call, and be safe for concurrent use.
	OnSilent func(operation string)

	url     string
	timeout time.Duration
	clock   Clock
	pool    atomic.Pointer[http.Transport] // replaced when one of its connections has gone silent
	last    atomic.Pointer[answer]         // to a call other than a watch; nil if there was none
}

// answer records how long an answer took.
type answer struct {
	at   time.Time
	took time.Duration
}

// NewClient returns a client of the platform at a URL such as http://127.0.0.1:7600. Each attempt other than a watch is
// limited by the timeout; 0 selects DefaultTimeout.
func NewClient(url string, timeout time.Duration, clock Clock) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	c := &Client{url: strings.TrimSuffix(url, "/"), timeout: timeout, clock: clock}
	c.pool.Store(newPool())
	return c
}

func newPool() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Load().CloseIdleConnections() }

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var o platform.Object
	err := c.doWithRetries(ctx, Call{
		Operation: "get " + kind + "/" + name, Kind: kind, Name: name, Path: platform.ObjectPath(kind, name), Reply: &o,
	})
	return o, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]platform.Object, error) {
	var l platform.ObjectList
	err := c.doWithRetries(ctx, Call{Operation: "list " + kind, Kind: kind, Path: platform.ListPath(kind), Reply: &l})
	return l.Objects, err
}

// Hosts returns the host list, which may be out of date.
func (c *Client) Hosts(ctx context.Context) (platform.HostList, error) {
	var l platform.HostList
	err := c.doWithRetries(ctx, Call{Operation: "hosts", Path: platform.HostsPath, Reply: &l})
	return l, err
}

// Watch waits until the version of the object differs from after and returns the object. The second result is false if
// the wait ended first. Watch does not retry after an error.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64, wait time.Duration) (
	platform.Object, bool, error,
) {
	var o platform.Object
	status, err := c.Do(ctx, Call{
		Operation: "watch " + kind + "/" + name, Kind: kind, Name: name, Wait: wait,
		Path: platform.WatchQuery(kind, name, after, wait), Reply: &o,
	})
	return o, err == nil && status == http.StatusOK, err
}

// Put writes an object on the condition that its version is ifVersion, or that it does not exist if ifVersion is 0, and
// returns the new version. After an *UnavailableError the put may have taken effect.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	body, err := json.Marshal(platform.PutRequest{IfVersion: ifVersion, Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "encode put")
	}
	var o platform.Object
	_, err = c.Do(ctx, Call{
		Method: http.MethodPut, Operation: "put " + kind + "/" + name, Kind: kind, Name: name, Expected: ifVersion,
		Path: platform.ObjectPath(kind, name), Body: body, Reply: &o,
	})
	return o.Version, err
}

// Call describes one HTTP request, with the names and versions that its errors report.
type Call struct {
	Method     string        // GET if empty; only GET is repeated
	Operation  string        // as reported in errors, such as "get tables/head"
	Kind, Name string        // of the object
	Path       string        // including the query
	Expected   uint64        // version that a conditional write expects
	Body       []byte        // JSON, or nil
	Wait       time.Duration // of a watch; 0 for other calls
	Reply      any           // pointer into which the JSON body of a response with status 200 is decoded; nil for some writes
	Era        *uint64       // receives the era of the store from any response, 0 if it has none; may be nil
	// Lenient holds further options for a reply that cannot be decoded as a whole: it is then decoded once more with them,
	// through a filter that replaces values which no JSON decoder accepts. If it is nil, the call fails.
	Lenient json.Options
}

// doWithRetries makes up to ReadAttempts attempts while errors are retryable. The request must have no side effects.
func (c *Client) doWithRetries(ctx context.Context, k Call) error {
	for attempt := 1; ; attempt++ {
		_, err := c.Do(ctx, k)
		if err == nil || !isRetryable(err) || attempt == ReadAttempts {
			return err
		}
		if !pause(ctx, c.clock, max(backoff(attempt), retryAfter(err))) {
			return err
		}
	}
}

// Do makes one HTTP request and returns the status of the response, or 0 if there was none. It does not retry, except for
// a read on a connection that has gone silent: that is repeated at once on a new connection, with the whole timeout.
func (c *Client) Do(ctx context.Context, k Call) (int, error) {
	if k.Method == "" {
		k.Method = http.MethodGet
	}
	pool := c.pool.Load()
	status, err := c.attempt(ctx, k, pool, k.Method == http.MethodGet)
	if !errors.Is(err, errSilent) {
		return status, err
	}
	if c.OnSilent != nil {
		c.OnSilent(k.Operation)
	}
	// Other idle connections of the pool may be silent as well. Calls that are under way keep theirs.
	c.pool.CompareAndSwap(pool, newPool())
	pool.CloseIdleConnections()
	return c.attempt(ctx, k, c.pool.Load(), false)
}

// errSilent is the cause of the end of an attempt on a connection that has gone silent.
var errSilent = errors.New("no answer on a connection that was used before")

// attempt makes one HTTP request. isLimited is whether it fails with errSilent if the connection was used before and
// nothing arrives within the limit for that.
func (c *Client) attempt(ctx context.Context, k Call, pool *http.Transport, isLimited bool) (int, error) {
	timeout := c.timeout
	if k.Wait > 0 {
		timeout = k.Wait + watchMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if isLimited {
		const never = 24 * time.Hour
		silence := time.AfterFunc(never, func() { end(errSilent) })
		defer silence.Stop()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				if silence.Stop(); info.Reused {
					silence.Reset(k.Wait + c.silenceLimit())
				}
			},
			GotFirstResponseByte: func() { silence.Stop() },
		})
	}
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, k.Method, c.url+k.Path, bytes.NewReader(k.Body))
	if err != nil {
		return 0, &RequestError{Operation: k.Operation, Message: err.Error()}
	}
	if len(k.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := (&http.Client{Transport: pool}).Do(request)
	if err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent
		}
		pool.CloseIdleConnections() // other idle connections may be dead as well
		return 0, &UnavailableError{Operation: k.Operation, Err: err}
	}
	defer response.Body.Close()
	if k.Era != nil {
		*k.Era = eraOf(response.Header)
	}
	if k.Wait == 0 {
		now := time.Now()
		c.last.Store(&answer{now, now.Sub(began)})
	}
	body := io.LimitReader(response.Body, replyLimit)
	err = k.decodeResponse(response, body)
	_, _ = io.Copy(io.Discard, body) // the connection is reused only if its body was read to the end
	return response.StatusCode, err
}

// silenceLimit returns the time without an answer after which a connection that was used before counts as silent.
func (c *Client) silenceLimit() time.Duration {
	if last := c.last.Load(); last != nil && time.Since(last.at) < slowLifetime {
		return max(minSilence, slowFactor*last.took)
	}
	return minSilence
}

// decodeResponse decodes the body while it arrives, so that on a slow link most of the decoding overlaps with the
// transfer. Error statuses become errors of the types in errors.go.
func (k Call) decodeResponse(response *http.Response, body io.Reader) error {
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusCreated, http.StatusAccepted:
		if k.Method != http.MethodGet && k.Reply == nil {
			return nil
		}
	case http.StatusOK:
		if k.Reply == nil {
			return nil // of a write whose caller needs no more than the status
		}
		if err := k.decodeReply(body); err != nil {
			return &UnavailableError{Operation: k.Operation, Err: errors.Wrap(err, "read reply")}
		}
		return nil
	case http.StatusNotFound:
		return &NotFoundError{Kind: k.Kind, Name: k.Name}
	}
	var reply platform.ErrorReply
	if err := json.UnmarshalRead(body, &reply, ReplyOptions); err != nil {
		reply.Message = http.StatusText(response.StatusCode)
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return &ConflictError{Kind: k.Kind, Name: k.Name, Expected: k.Expected, Actual: reply.Version}
	case response.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 if absent or malformed
		return &RateLimitError{Operation: k.Operation, RetryAfter: time.Duration(max(seconds, 0)) * time.Second}
	case response.StatusCode >= http.StatusInternalServerError:
		return &UnavailableError{Operation: k.Operation, Err: errors.Errorf("status %d: %s",
			response.StatusCode, reply.Message)}
	}
	return &RequestError{Operation: k.Operation, Status: response.StatusCode, Message: reply.Message}
}

// decodeReply decodes the body of a successful response.
func (k Call) decodeReply(body io.Reader) error {
	if k.Lenient == nil {
		return json.UnmarshalRead(body, k.Reply, ReplyOptions)
	}
	var read bytes.Buffer
	err := json.UnmarshalRead(io.TeeReader(body, &read), k.Reply, ReplyOptions)
	if err == nil {
		return nil
	}
	reflect.ValueOf(k.Reply).Elem().SetZero() // it was decoded in part
	return json.UnmarshalRead(newReplyReader(io.MultiReader(&read, body)), k.Reply, ReplyOptions, k.Lenient)
}

func isRetryable(err error) bool {
	var unavailable *UnavailableError
	var limited *RateLimitError
	return errors.As(err, &unavailable) || errors.As(err, &limited)
}

func retryAfter(err error) time.Duration {
	var limited *RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}

// backoff returns the jittered wait after a failed attempt, counted from 1. Its mean doubles up to the seventh attempt.
func backoff(attempt int) time.Duration { return jitter(firstBackoff << min(attempt-1, 6)) }

// jitter returns a random duration from d/2 up to, but excluding, 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// pause waits for d or until the context ends, and reports whether the context is still active.
func pause(ctx context.Context, clock Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return ctx.Err() == nil
	}
}
