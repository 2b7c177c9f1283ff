package operator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	otelmetric "go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// maxCustomers bounds the number of customers with histograms of their own. Further customers share the label "other",
// so that callers cannot exhaust the memory of the process with made-up customer names.
const maxCustomers = 1000

// maxServices bounds the number of services with histograms of their own in the same way. Endpoints register under them,
// and the names of services that are gone are kept until the process ends.
const maxServices = 1000

// maxSeries is the largest number of series of one instrument. The library merges the series beyond it, and needs one for
// that. Its default is too low for maxCustomers and "other" with all classes.
const maxSeries = (maxCustomers+1)*int(packet.ClassCount) + 1

// latencyBounds are the histogram boundaries, in seconds.
var latencyBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

type counterKey struct {
	counter metric.Counter
	label   string
}

// histogramKey identifies a series of a histogram by a customer and a class, or by a service.
type histogramKey struct {
	histogram metric.Histogram
	customer  string
	class     packet.Class
	service   string
}

// Metrics exports the counters, histograms and gauges of the core as OpenTelemetry instruments.
type Metrics struct {
	Registry   *prometheus.Registry
	provider   *sdk.MeterProvider
	meter      otelmetric.Meter
	counters   atomic.Pointer[map[counterKey]*atomic.Int64] // copied on write, so that counting needs no lock
	histograms map[metric.Histogram]otelmetric.Float64Histogram

	mu            sync.RWMutex // guards the fields below
	exported      map[metric.Counter]bool
	seriesOptions map[histogramKey]otelmetric.MeasurementOption
	customers     map[string]bool
	services      map[string]bool
}

// NewMetrics returns metrics without any values. The host and its failure domain are labels of every instrument.
func NewMetrics(host, failureDomain string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(),
		exporter.WithNamespace("cornellb"))
	if err != nil {
		return nil, errors.Wrap(err, "create the Prometheus exporter")
	}
	m := &Metrics{
		Registry:      registry,
		provider:      sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries)),
		histograms:    make(map[metric.Histogram]otelmetric.Float64Histogram),
		exported:      make(map[metric.Counter]bool),
		seriesOptions: make(map[histogramKey]otelmetric.MeasurementOption),
		customers:     make(map[string]bool),
		services:      make(map[string]bool),
	}
	m.meter = m.provider.Meter("cornellb", otelmetric.WithInstrumentationAttributes(
		attribute.String("host", host), attribute.String("failure_domain", failureDomain)))
	m.counters.Store(&map[counterKey]*atomic.Int64{})
	for _, name := range []metric.Histogram{metric.Latency, metric.QueueTime, metric.OpenTime, metric.FirstByte} {
		h, err := m.meter.Float64Histogram(string(name), otelmetric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			return nil, errors.Wrapf(err, "create histogram %s", name)
		}
		m.histograms[name] = h
	}
	return m, nil
}

// Count adds n to a counter.
func (m *Metrics) Count(c metric.Counter, label string, n int64) {
	key := counterKey{c, label}
	if v := (*m.counters.Load())[key]; v != nil {
		v.Add(n)
		return
	}
	m.addCounter(key).Add(n)
}

// Value returns the current value of a counter, and 0 for a label that was never counted.
func (m *Metrics) Value(c metric.Counter, label string) int64 {
	if v := (*m.counters.Load())[counterKey{c, label}]; v != nil {
		return v.Load()
	}
	return 0
}

// Total returns the sum of a counter over its labels.
func (m *Metrics) Total(c metric.Counter) int64 {
	var sum int64
	for key, v := range *m.counters.Load() {
		if key.counter == c {
			sum += v.Load()
		}
	}
	return sum
}

func (m *Metrics) addCounter(key counterKey) *atomic.Int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.counters.Load()
	if v := old[key]; v != nil {
		return v
	}
	next := make(map[counterKey]*atomic.Int64, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	v := new(atomic.Int64)
	next[key] = v
	m.counters.Store(&next)
	if !m.exported[key.counter] {
		m.exported[key.counter] = true
		m.exportCounter(key.counter)
	}
	return v
}

// exportCounter registers a counter with OpenTelemetry. Its values are read at collection.
func (m *Metrics) exportCounter(c metric.Counter) {
	observe := func(_ context.Context, o otelmetric.Int64Observer) error {
		for key, v := range *m.counters.Load() {
			if key.counter == c {
				o.Observe(v.Load(), otelmetric.WithAttributes(attribute.String("label", key.label)))
			}
		}
		return nil
	}
	// The only cause of an error is an invalid name, and all names are constants.
	_, _ = m.meter.Int64ObservableCounter(string(c), otelmetric.WithInt64Callback(observe))
}

// Observe records a duration in a histogram of the customer and the class.
func (m *Metrics) Observe(h metric.Histogram, customer string, class packet.Class, d time.Duration) {
	m.histograms[h].Record(context.Background(), d.Seconds(), m.seriesOption(histogramKey{histogram: h, customer: customer, class: class}))
}

// ObserveService records a duration in a histogram of the service.
func (m *Metrics) ObserveService(h metric.Histogram, service string, d time.Duration) {
	m.histograms[h].Record(context.Background(), d.Seconds(), m.seriesOption(histogramKey{histogram: h, service: service}))
}

func (m *Metrics) seriesOption(key histogramKey) otelmetric.MeasurementOption {
	m.mu.RLock()
	o := m.seriesOptions[key]
	if o == nil {
		o = m.seriesOptions[m.limit(key)]
	}
	m.mu.RUnlock()
	if o != nil {
		return o
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.limit(key)
	if key.service != "" {
		m.services[key.service] = true
		o = otelmetric.WithAttributeSet(attribute.NewSet(attribute.String("service", key.service)))
		m.seriesOptions[key] = o
		return o
	}
	m.customers[key.customer] = true
	o = otelmetric.WithAttributeSet(attribute.NewSet(
		attribute.String("customer", key.customer), attribute.String("class", key.class.String())))
	m.seriesOptions[key] = o
	return o
}

// limit returns the key of the series for key: a customer beyond maxCustomers, or a service beyond maxServices, is
// replaced by "other". m.mu must be locked for reading.
func (m *Metrics) limit(key histogramKey) histogramKey {
	switch {
	case key.service != "":
		if !m.services[key.service] && len(m.services) >= maxServices {
			key.service = "other"
		}
	case !m.customers[key.customer] && len(m.customers) >= maxCustomers:
		key.customer = "other"
	}
	return key
}

// Gauge registers a value that is read at collection.
func (m *Metrics) Gauge(name metric.Gauge, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(string(name), otelmetric.WithInt64Callback(
		func(_ context.Context, o otelmetric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "create gauge %s", name)
}
