package directory

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestValidateEndpoint guards against an entry that one balancer uses and others refuse, or to which no packet can be
// sent.
func TestValidateEndpoint(t *testing.T) {
	tests := map[string]struct {
		change func(e *Endpoint)
		field  string // of the error; empty if the endpoint is valid
	}{
		"good":              {change: func(*Endpoint) {}},
		"longest service":   {change: func(e *Endpoint) { e.Service = strings.Repeat("s", MaxNameBytes) }},
		"long service":      {change: func(e *Endpoint) { e.Service = strings.Repeat("s", MaxNameBytes+1) }, field: "service"},
		"no ID":             {change: func(e *Endpoint) { e.ID = "" }, field: "id"},
		"no failure domain": {change: func(e *Endpoint) { e.FailureDomain = "" }, field: "failure_domain"},
		"number 0":          {change: func(e *Endpoint) { e.Number = 0 }, field: "number"},
		"no slots":          {change: func(e *Endpoint) { e.Slots = 0 }, field: "slots"},
		"too many slots":    {change: func(e *Endpoint) { e.Slots = MaxSlots + 1 }, field: "slots"},
		"no address":        {change: func(e *Endpoint) { e.Address = netip.AddrPort{} }, field: "address"},
		"port 0":            {change: func(e *Endpoint) { e.Address = netip.MustParseAddrPort("10.0.0.1:0") }, field: "address"},
		"version 6":         {change: func(e *Endpoint) { e.Address = netip.MustParseAddrPort("[::1]:80") }, field: "address"},
		"multicast":         {change: func(e *Endpoint) { e.Address = netip.MustParseAddrPort("239.1.1.1:80") }, field: "address"},
		"broadcast":         {change: func(e *Endpoint) { e.Address = netip.MustParseAddrPort("255.255.255.255:80") }, field: "address"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := Endpoint{
				ID: "i-1", Number: 1, Service: "feed", FailureDomain: "attiki-1", Slots: 2,
				Address: netip.MustParseAddrPort("10.0.0.1:80"),
			}
			c.change(&e)
			checkField(t, e.Validate(), c.field)
		})
	}
}

// TestValidateRoute guards against a route that one balancer uses and others refuse with the whole configuration.
func TestValidateRoute(t *testing.T) {
	tests := map[string]struct {
		change func(r *Route)
		field  string
	}{
		"good":             {change: func(*Route) {}},
		"no target":        {change: func(r *Route) { r.Targets = nil }, field: "targets"},
		"too many targets": {change: func(r *Route) { r.Targets = make([]Target, MaxTargets+1) }, field: "targets"},
		"weight 0":         {change: func(r *Route) { r.Targets[0].Weight = 0 }, field: "weight"},
		"infinite weight":  {change: func(r *Route) { r.Targets[0].Weight = math.Inf(1) }, field: "weight"},
		"not a weight":     {change: func(r *Route) { r.Targets[0].Weight = math.NaN() }, field: "weight"},
		"no service":       {change: func(r *Route) { r.Targets[0].Service = "" }, field: "service"},
		"port 0":           {change: func(r *Route) { r.Address = netip.MustParseAddrPort("198.18.0.1:0") }, field: "address"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Targets: []Target{{Service: "feed", Weight: 1}}}
			c.change(&r)
			checkField(t, r.Validate(), c.field)
		})
	}
}

func checkField(t *testing.T, err error, field string) {
	t.Helper()
	is := is.New(t)
	if field == "" {
		is.NoErr(err)
		return
	}
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Field, field)
}
