package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "cornellb/standin/platform"
)

// TestDrainBeforeGossip guards against a process that joins the membership after it was drained: it would own pool
// shards that nobody drains any more. The drain comes while the process still waits for the first tables.
func TestDrainBeforeGossip(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{})
	server := standin.New(standin.Settings{})
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-answer:
			server.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { server.Close(); store.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	h := startHost(t, "host-0", store.URL)
	is.NoErr(h.Drain(ctx))
	close(answer)
	joinReturned := make(chan struct{})
	go func() {
		h.goroutines.Wait() // only the goroutines of a joined process wait for Close
		close(joinReturned)
	}()
	for isOver := false; !isOver; {
		select {
		case <-joinReturned:
			isOver = true
		case <-time.After(5 * time.Millisecond):
		}
		is.True(!h.gossiping.Load())
		is.NoErr(ctx.Err())
	}
}
