package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout limits one call for a brief status, so that balancers that do not answer do not hold up the others.
	callTimeout = 2 * time.Second
	// listTimeout limits the call for the members. 12,000 of them with 100 bytes each take 1 s on a link of 10 Mbit/s.
	listTimeout = 5 * time.Second
	// maxCalls is the number of calls at a time, well below the usual limit of 1,024 descriptors.
	maxCalls = 64
	// maxStatusBytes is the largest status that is read, over ten times the size for 12,000 members.
	maxStatusBytes = 16 << 20
)

// StatusError reports a balancer that did not answer with its status.
type StatusError struct {
	Address string // operator address
	Err     error
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("balancer at %s does not answer with its status: %v", e.Address, e.Err)
}

// Unwrap returns e.Err.
func (e *StatusError) Unwrap() error { return e.Err }

// Client reads the status of balancers in the direct return mode from their operator addresses.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: maxCalls}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Members returns the members that a balancer reaches, with itself. The error is a *StatusError.
func (c *Client) Members(ctx context.Context, address string) ([]BalancerMember, error) {
	s, err := c.status(ctx, address, "/status", listTimeout)
	if err == nil && (s.Host == "" || len(s.Members) == 0) {
		err = &StatusError{Address: address, Err: errors.New("it is not one of the direct return mode, or of an older version")}
	}
	if err != nil {
		return nil, err
	}
	for i := range s.Members {
		if s.Members[i].ID == s.Host {
			s.Members[i].OperatorAddress = address // it answers there, whatever address it listens on
		}
	}
	return s.Members, nil
}

// Ask reads the status of each member, at most maxCalls at a time. The result has the order of the members.
func (c *Client) Ask(ctx context.Context, members []BalancerMember) []Balancer {
	list := make([]Balancer, len(members))
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for i, m := range members {
		g.Go(func() error {
			list[i].BalancerMember = m
			list[i].Status, list[i].Err = c.status(ctx, m.OperatorAddress, "/status?"+briefQuery, callTimeout)
			return nil // the errors are in the list
		})
	}
	_ = g.Wait()
	return list
}

func (c *Client) status(ctx context.Context, address, path string, timeout time.Duration) (*BalancerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := &BalancerStatus{}
	if err := c.get(ctx, "http://"+address+path, s); err != nil {
		return nil, &StatusError{Address: address, Err: err}
	}
	return s, nil
}

func (c *Client) get(ctx context.Context, url string, reply any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(reply), "decode status")
}
