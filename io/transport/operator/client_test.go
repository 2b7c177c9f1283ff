package operator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/io/transport/operator"
)

// TestForeignStatus guards against a fleet that seems to have no balancer behind because the address is not one of a
// balancer in the direct return mode.
func TestForeignStatus(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"request mode":     {200, `{"id":"entry-1","ready":true,"members":[{"id":"entry-1","failure_domain":"attiki-1"}]}`},
		"previous version": {200, `{"host":"front-1","is_ready":true,"evacuated":["attiki-1"]}`},
		"no JSON":          {200, "ok\n"},
		"empty":            {200, ""},
		"not found":        {404, `{"host":"front-1","members":[{"id":"front-1"}]}`},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer h.Close()
			_, err := operator.NewClient().Members(context.Background(), h.Listener.Addr().String())
			var refused *operator.StatusError
			is.True(errors.As(err, &refused))
		})
	}
}

// TestAskIsBounded guards against one call at a time, which a fleet with hanging balancers makes last for hours, and
// against thousands at a time, which exhaust the descriptors of the operator's shell.
func TestAskIsBounded(t *testing.T) {
	is := is.New(t)
	var now, most atomic.Int64
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for n, m := now.Add(1), most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		defer now.Add(-1)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, `{"host":"front","is_ready":true,"version":7}`)
	}))
	defer h.Close()
	members := make([]operator.BalancerMember, 500)
	for i := range members {
		members[i] = operator.BalancerMember{ID: fmt.Sprint(i), OperatorAddress: h.Listener.Addr().String()}
	}
	members[3].OperatorAddress = "no address"
	list := operator.NewClient().Ask(context.Background(), members)
	is.True(most.Load() > 1 && most.Load() <= 64)
	s := operator.Summarize(list)
	is.Equal([]int{s.Balancers, s.Answered}, []int{500, 499})
	is.Equal(strings.Join(s.Unanswered, " "), "3")
}
