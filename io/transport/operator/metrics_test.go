package operator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// testTimeout bounds waits for events that must happen. It is long, so that a slow machine does not fail the test.
const testTimeout = 30 * time.Second

// observeMany returns metrics with one observation in the latency histogram for each of n customers and all classes.
func observeMany(is *is.I, n int) *Metrics {
	is.Helper()
	m, err := NewMetrics("entry-1", "attiki-1")
	is.NoErr(err)
	for i := range n {
		for class := range packet.ClassCount {
			m.Observe(metric.Latency, fmt.Sprintf("customer-%d", i), class, time.Millisecond)
		}
	}
	return m
}

// TestObserveBeyondLimit guards against observations of customers beyond the limit that each take the write lock, and so
// wait for each other.
func TestObserveBeyondLimit(t *testing.T) {
	is := is.New(t)
	m := observeMany(is, maxCustomers+1)
	m.mu.RLock()
	defer m.mu.RUnlock()
	observed := make(chan struct{})
	go func() {
		m.Observe(metric.Latency, "further", packet.ClassNormal, time.Millisecond)
		close(observed)
	}()
	select {
	case <-observed:
	case <-time.After(testTimeout):
		t.Fatal("Observe waits for the write lock")
	}
}

// TestSeriesAtLimit guards against customers within the limit, and services, whose series are missing because the
// library merges them with others, and against a number of series that grows without bound.
func TestSeriesAtLimit(t *testing.T) {
	is := is.New(t)
	const further = 100 // beyond each limit
	m := observeMany(is, maxCustomers+further)
	for i := range maxServices + further {
		m.ObserveService(metric.OpenTime, fmt.Sprintf("service-%d", i), time.Millisecond)
	}
	families, err := m.Registry.Gather()
	is.NoErr(err)
	series, others := map[string]int{}, map[string]uint64{}
	for _, family := range families {
		for _, x := range family.GetMetric() {
			for _, label := range x.GetLabel() {
				is.True(label.GetName() != "otel_metric_overflow")
				if name := label.GetName(); name == "customer" || name == "service" {
					series[name]++
					if label.GetValue() == "other" {
						others[name] += x.GetHistogram().GetSampleCount()
					}
				}
			}
		}
	}
	is.Equal(series, map[string]int{"customer": (maxCustomers + 1) * int(packet.ClassCount), "service": maxServices + 1})
	is.Equal(others, map[string]uint64{"customer": further * uint64(packet.ClassCount), "service": further})
}
