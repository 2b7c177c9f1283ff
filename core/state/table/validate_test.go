package table_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/state/table"
)

func endpoint(address string) table.Endpoint {
	return table.Endpoint{
		Address: netip.MustParseAddrPort(address), FailureDomain: "karachi-1", Slots: 2, Connections: 2000,
	}
}

func validTables() *table.Tables {
	return &table.Tables{
		Routes: []table.Route{
			{Name: "chamber", Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "chamber", Pool: "chamber"},
			{Name: "certificate", Address: netip.MustParseAddrPort("10.0.0.2:80"), Service: "certificate", Pool: "certificate"},
		},
		Pools: []table.Pool{
			{Name: "chamber", Service: "chamber", Endpoints: []table.Endpoint{endpoint("10.1.0.1:1"), endpoint("10.1.0.2:1")}},
			{Name: "certificate", Service: "certificate", Endpoints: []table.Endpoint{endpoint("10.1.0.3:1")}},
		},
	}
}

// TestValidate guards against faults that are not found, are reported for the wrong table, entry or field, or hide
// other faults.
func TestValidate(t *testing.T) {
	cases := map[string]struct {
		edit func(*table.Tables)
		want []string
	}{
		"valid":      {edit: func(*table.Tables) {}},
		"no entries": {edit: func(t *table.Tables) { t.Routes, t.Pools = nil, nil }},
		"route address of two routes": {
			edit: func(t *table.Tables) { t.Routes[1].Address = t.Routes[0].Address },
			want: []string{"routes certificate address"},
		},
		"mapped address hides a duplicate": {
			edit: func(t *table.Tables) { t.Routes[1].Address = netip.MustParseAddrPort("[::ffff:10.0.0.1]:80") },
			want: []string{"routes certificate address"},
		},
		"address without port, host or value": {
			edit: func(t *table.Tables) {
				t.Routes[0].Address = netip.MustParseAddrPort("10.0.0.1:0")
				t.Routes[1].Address = netip.MustParseAddrPort("[::]:80")
				t.Pools[0].Endpoints[0].Address = netip.AddrPort{}
				t.Pools[0].Endpoints[1].Address = netip.MustParseAddrPort("[fe80::1%eth0]:80")
			},
			want: []string{
				"pools chamber endpoints[0].address", "pools chamber endpoints[1].address",
				"routes chamber address", "routes certificate address",
			},
		},
		"endpoint of two pools and twice in one": {
			edit: func(t *table.Tables) {
				t.Pools[0].Endpoints[1] = t.Pools[0].Endpoints[0]
				t.Pools[1].Endpoints[0] = t.Pools[0].Endpoints[0]
			},
			want: []string{"pools chamber endpoints[1].address", "pools certificate endpoints[0].address"},
		},
		"names": {
			edit: func(t *table.Tables) {
				t.Routes[1].Name = "chamber"
				t.Pools[1].Name = "chamber"
				t.Pools[0].Endpoints[0].FailureDomain = ""
			},
			want: []string{
				"pools chamber endpoints[0].failure_domain", "pools chamber (#2) name", "routes chamber (#2) name",
				"routes chamber (#2) pool",
			},
		},
		"texts that do not survive the encoding": {
			edit: func(t *table.Tables) {
				t.Routes[0].Name = "a\nb"
				t.Pools[0].Endpoints[0].FailureDomain = "\xff"
				t.Pools[1].Name = strings.Repeat("x", 65)
				t.Routes[1].Pool = t.Pools[1].Name
			},
			want: []string{
				"pools chamber endpoints[0].failure_domain", "pools " + strings.Repeat("x", 65) + " name",
				"routes #1 name", "routes certificate pool",
			},
		},
		"limits": {
			edit: func(t *table.Tables) {
				t.Pools[0].Endpoints[0].Slots, t.Pools[0].Endpoints[0].Connections = 0, 0
				t.Pools[0].Endpoints[1].Slots, t.Pools[0].Endpoints[1].Connections = 1001, 100001
				t.Pools[1].Endpoints[0].Slots, t.Pools[1].Endpoints[0].Connections = 1000, 100000
			},
			want: []string{
				"pools chamber endpoints[0].slots", "pools chamber endpoints[0].connections",
				"pools chamber endpoints[1].slots", "pools chamber endpoints[1].connections",
			},
		},
		"pool of another service and no pool": {
			edit: func(t *table.Tables) { t.Routes[0].Pool, t.Routes[1].Pool = "certificate", "none" },
			want: []string{"routes chamber pool", "routes certificate pool"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tables := validTables()
			c.edit(tables)
			var got []string
			var invalid *table.ValidationError
			if err := table.Validate(tables); err != nil {
				is.True(errors.As(err, &invalid))
				for _, f := range invalid.Faults {
					is.True(f.Reason != "")
					got = append(got, f.Table+" "+f.Entry+" "+f.Field)
				}
			}
			is.Equal(got, c.want)
		})
	}
}
