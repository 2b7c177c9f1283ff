// Package platform talks to the platform's object API over HTTP: a client, the editor that operators' commands use, and
// the reader and status writer of the balancer process.
//
// # Usage
//
// NewClient returns a Client. Its errors are types: *ConflictError, *NotFoundError, *UnavailableError, *RateLimitError
// and *RequestError. Reads are repeated with jittered backoff until the context ends or ReadAttempts are used up; puts
// are never repeated, because a put without a response may have taken effect. An Editor applies a change of the tables
// and settles lost responses. A balancer runs Reader.Run and StatusWriter.Run until their contexts end.
package platform

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"cornellb/io/protocol/platform"
)

// ReplyFormat is how replies are read. Objects of other writers may hold what the newer rules of JSON forbid.
var ReplyFormat = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after the wait.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

const (
	// DefaultTimeout bounds one call. A slow platform must still be usable.
	DefaultTimeout = 5 * time.Second
	// watchMargin is how long after its wait a watch counts as silent. With WatchWait it stays below the 4 s in which an
	// accepted version must be in force, so that a silent connection is replaced in time.
	watchMargin = time.Second
	// ReadAttempts is the number of times that a read is tried.
	ReadAttempts = 3
	// firstBackoff is the mean wait before the first repetition of a read; it doubles with each one.
	firstBackoff = 50 * time.Millisecond
	// replyLimit bounds the bytes of a reply. Lists may hold several values of 1 MiB in base64.
	replyLimit = 64 << 20
	// idleTimeout closes connections before middleboxes and servers usually forget them.
	idleTimeout = 30 * time.Second
)

// Client calls the platform.
type Client struct {
	url     string
	timeout time.Duration
	clock   Clock
	http    *http.Client
}

// NewClient returns a client of the platform at a URL such as http://127.0.0.1:7600. Each call ends after the timeout;
// 0 selects DefaultTimeout.
func NewClient(url string, timeout time.Duration, clock Clock) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{
		url: strings.TrimSuffix(url, "/"), timeout: timeout, clock: clock, http: &http.Client{Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var o platform.Object
	err := c.read(ctx, Call{
		Operation: "get " + kind + "/" + name, Kind: kind, Name: name, Path: platform.ObjectPath(kind, name), Reply: &o,
	})
	return o, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]platform.Object, error) {
	var l platform.ObjectList
	err := c.read(ctx, Call{Operation: "list " + kind, Kind: kind, Path: platform.ListPath(kind), Reply: &l})
	return l.Objects, err
}

// Hosts returns the host list, which lags.
func (c *Client) Hosts(ctx context.Context) (platform.HostList, error) {
	var l platform.HostList
	err := c.read(ctx, Call{Operation: "hosts", Path: platform.HostsPath, Reply: &l})
	return l, err
}

// Watch waits until the object has another version than after and returns it. The second result is false if the wait
// ended first. It is not repeated after an error.
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

// Put writes an object if its version is ifVersion, 0 for an object that must not exist, and returns the new version.
// After an *UnavailableError the put may have taken effect.
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

// Call is one request with what is needed to word its errors.
type Call struct {
	Method     string        // GET if empty
	Operation  string        // as it appears in errors, such as "get tables/head"
	Kind, Name string        // of the object
	Path       string        // with the query
	Expected   uint64        // version that a conditional write expects
	Body       []byte        // JSON, or nil
	Wait       time.Duration // of a watch; 0 for other calls
	Reply      any           // takes the JSON body of a response with status 200
}

func (c *Client) read(ctx context.Context, k Call) error {
	for attempt := 1; ; attempt++ {
		_, err := c.Do(ctx, k)
		if err == nil || !isTemporary(err) || attempt == ReadAttempts {
			return err
		}
		if !pause(ctx, c.clock, max(backoff(attempt), retryAfter(err))) {
			return err
		}
	}
}

// Do makes one HTTP request and returns the status of the response, 0 if there was none. It is not repeated.
func (c *Client) Do(ctx context.Context, k Call) (int, error) {
	timeout := c.timeout
	if k.Wait > 0 {
		timeout = k.Wait + watchMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method := k.Method
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+k.Path, bytes.NewReader(k.Body))
	if err != nil {
		return 0, &RequestError{Operation: k.Operation, Message: err.Error()}
	}
	if len(k.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections() // other connections of the pool may be silent as well
		return 0, &UnavailableError{Operation: k.Operation, Err: err}
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, replyLimit)
	err = k.interpret(response, body)
	_, _ = io.Copy(io.Discard, body) // a connection with unread bytes is not used again; an error ends it as well
	return response.StatusCode, err
}

// interpret decodes a reply while it arrives: on a slow link that hides most of the time that decoding takes.
func (k Call) interpret(response *http.Response, body io.Reader) error {
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusOK:
		if err := json.UnmarshalRead(body, k.Reply, ReplyFormat); err != nil {
			return &UnavailableError{Operation: k.Operation, Err: errors.Wrap(err, "read reply")}
		}
		return nil
	case http.StatusNotFound:
		return &NotFoundError{Kind: k.Kind, Name: k.Name}
	}
	var reply platform.ErrorReply
	if err := json.UnmarshalRead(body, &reply, ReplyFormat); err != nil {
		reply.Message = http.StatusText(response.StatusCode)
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return &ConflictError{Kind: k.Kind, Name: k.Name, Expected: k.Expected, Actual: reply.Version}
	case response.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // absent or malformed means no hint
		return &RateLimitError{Operation: k.Operation, RetryAfter: time.Duration(max(seconds, 0)) * time.Second}
	case response.StatusCode >= http.StatusInternalServerError:
		return &UnavailableError{Operation: k.Operation, Err: errors.Errorf("status %d: %s",
			response.StatusCode, reply.Message)}
	}
	return &RequestError{Operation: k.Operation, Status: response.StatusCode, Message: reply.Message}
}

func isTemporary(err error) bool {
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

// backoff returns the wait before the next attempt, jittered between half and one and a half of its mean.
func backoff(attempt int) time.Duration { return jitter(firstBackoff << min(attempt-1, 6)) }

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, clock Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return ctx.Err() == nil
	}
}
