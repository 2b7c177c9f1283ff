package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cornellb/io/transport/operator"
)

// state is a process that has no explanations.
type state struct{}

func (state) IsReady() bool { return true }
func (state) Status() any   { return nil }

// explainer is a process that counts the questions that it answers at a time.
type explainer struct {
	state
	now, most atomic.Int64
}

func (e *explainer) Explain(service, client netip.AddrPort) any {
	e.most.Store(max(e.most.Load(), e.now.Add(1)))
	defer e.now.Add(-1)
	time.Sleep(10 * time.Millisecond)
	return &operator.Explanation{Host: "front-1", Verdict: "forward", Service: service, Client: client}
}

func listen(t *testing.T, s operator.StateProvider) string {
	t.Helper()
	is := is.New(t)
	m, err := operator.NewMetrics("front-1", "attiki-1")
	is.NoErr(err)
	server, err := operator.Listen("127.0.0.1:0", m, s)
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server.Address().String()
}

// TestExplainQuery guards against malformed questions that are answered as if they were others, and against a balancer of
// the request mode that seems to explain.
func TestExplainQuery(t *testing.T) {
	const good = "service=198.18.0.1:443&client=203.0.113.7:40001"
	tests := map[string]struct {
		query  string
		state  operator.StateProvider
		status int
	}{
		"good":         {good, &explainer{}, http.StatusOK},
		"request mode": {good, state{}, http.StatusNotFound},
		"none":         {"", &explainer{}, http.StatusBadRequest},
		"no client":    {"service=198.18.0.1:443", &explainer{}, http.StatusBadRequest},
		"two clients":  {good + "&client=203.0.113.7:40002", &explainer{}, http.StatusBadRequest},
		"unknown":      {good + "&cookie=1", &explainer{}, http.StatusBadRequest},
		"no port":      {"service=198.18.0.1&client=203.0.113.7:40001", &explainer{}, http.StatusBadRequest},
		"port 0":       {"service=198.18.0.1:0&client=203.0.113.7:40001", &explainer{}, http.StatusBadRequest},
		"version 6":    {"service=[::1]:443&client=203.0.113.7:40001", &explainer{}, http.StatusBadRequest},
		"mapped":       {"service=" + url.QueryEscape("[::ffff:198.18.0.1]:443") + "&client=203.0.113.7:40001", &explainer{}, 400},
		"broken":       {"service=%zz&client=203.0.113.7:40001", &explainer{}, http.StatusBadRequest},
		"too long":     {good + strings.Repeat("0", 500), &explainer{}, http.StatusBadRequest},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := http.Get("http://" + listen(t, c.state) + "/explain?" + c.query)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.True(len(body) < 1000)
		})
	}
}

// TestExplainOneAtATime guards against questions that take the processor from packets, all at the same time.
func TestExplainOneAtATime(t *testing.T) {
	is := is.New(t)
	e := &explainer{}
	address := listen(t, e)
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			_, err := operator.NewClient().Explain(context.Background(), address, netip.MustParseAddrPort("198.18.0.1:443"),
				netip.MustParseAddrPort("203.0.113.7:40001"))
			return err
		})
	}
	is.NoErr(g.Wait())
	is.Equal(e.most.Load(), int64(1))
	_, err := operator.NewClient().Explain(context.Background(), listen(t, state{}), netip.AddrPort{}, netip.AddrPort{})
	var failed *operator.ExplanationError
	is.True(errors.As(err, &failed))
}
