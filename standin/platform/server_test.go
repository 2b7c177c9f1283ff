package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	protocol "cornellb/io/protocol/platform"
	standin "cornellb/standin/platform"
)

func call(is *is.I, method, url string, body, reply any) int {
	is.Helper()
	data, err := json.Marshal(body)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	if reply != nil {
		is.NoErr(json.NewDecoder(response.Body).Decode(reply))
	}
	return response.StatusCode
}

// TestWatch guards against a watch that misses a write, counts as more than one call, or returns a version that the
// caller knows already.
func TestWatch(t *testing.T) {
	is := is.New(t)
	v := standin.New(standin.Settings{})
	h := httptest.NewServer(v)
	defer h.Close()
	defer v.Close()
	path := h.URL + protocol.ObjectPath("k", "n")
	var written, seen protocol.Object
	is.Equal(call(is, "PUT", path, protocol.PutRequest{Value: []byte("1")}, &written), http.StatusOK)
	watch := h.URL + protocol.WatchQuery("k", "n", written.Version, 30*time.Second)
	done := make(chan int)
	go func() { done <- call(is, "GET", watch, nil, &seen) }()
	for v.Counters().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	put := protocol.PutRequest{IfVersion: written.Version, Value: []byte("2")}
	is.Equal(call(is, "PUT", path, put, nil), http.StatusOK)
	is.Equal(<-done, http.StatusOK)
	is.Equal(seen.Value, []byte("2"))
	is.True(seen.Version > written.Version)
	brief := h.URL + protocol.WatchQuery("k", "n", seen.Version, time.Millisecond)
	is.Equal(call(is, "GET", brief, nil, nil), http.StatusNoContent)
	is.Equal(v.Counters().Watches, uint64(2))
	is.Equal(v.Counters().Reads, uint64(0))
}

// TestControl guards against faults that cannot be ended, hosts that are visible before the lag has passed, and limits
// without effect.
func TestControl(t *testing.T) {
	is := is.New(t)
	v := standin.New(standin.Settings{HostLag: time.Hour, ReadsPerSecond: 3})
	h := httptest.NewServer(v)
	defer h.Close()
	defer v.Close()
	hosts := []protocol.Host{{ID: "a", Role: protocol.RoleBackend, Live: true, Leaving: true}}
	is.Equal(call(is, "PUT", h.URL+"/control/hosts", hosts, nil), http.StatusNoContent)
	var list protocol.HostList
	is.Equal(call(is, "GET", h.URL+protocol.HostsPath, nil, &list), http.StatusOK)
	is.Equal(len(list.Hosts), 0)
	limited := 0
	for range 20 {
		if call(is, "GET", h.URL+protocol.HostsPath, nil, nil) == http.StatusTooManyRequests {
			limited++
		}
	}
	is.True(limited > 0)
	var counters standin.Counters
	is.Equal(call(is, "GET", h.URL+"/control/counters", nil, &counters), http.StatusOK)
	is.Equal(counters.Limited, uint64(limited))
	is.Equal(call(is, "PUT", h.URL+"/control/fault", standin.Fault{Mode: "other"}, nil), http.StatusBadRequest)

	open := standin.New(standin.Settings{})
	g := httptest.NewServer(open)
	defer g.Close()
	defer open.Close()
	open.SetHosts(hosts)
	is.Equal(call(is, "GET", g.URL+protocol.HostsPath, nil, &list), http.StatusOK)
	is.Equal(list.Hosts, hosts)
	is.Equal(call(is, "PUT", g.URL+"/control/fault", standin.Fault{Mode: standin.ModeRefuse}, nil), http.StatusNoContent)
	_, err := http.Get(g.URL + protocol.HostsPath)
	is.True(err != nil)
	is.Equal(call(is, "PUT", g.URL+"/control/fault", standin.Fault{}, nil), http.StatusNoContent)
	is.Equal(call(is, "GET", g.URL+protocol.HostsPath, nil, &list), http.StatusOK)
}
