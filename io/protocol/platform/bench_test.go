package platform_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/io/protocol/platform"
)

// BenchmarkStatusBytes counts the bytes of the status object of one failure domain, and of the request body that writes
// it to the platform.
func BenchmarkStatusBytes(b *testing.B) {
	for _, members := range []int{8, 100, 700} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			is := is.New(b)
			s := configuration.Status{FailureDomain: "attiki-01"}
			for i := range members {
				s.Members = append(s.Members, configuration.MemberStatus{Version: 26_000, Host: member.Host{
					ID: fmt.Sprintf("balancer-%05d", i), Incarnation: member.Incarnation(uint64(i+1) * 0x9e3779b97f4a7c15),
				}})
			}
			value, err := platform.NewStatus(s, time.Unix(1_796_380_000, 0)).Encode()
			is.NoErr(err)
			body, err := json.Marshal(platform.PutRequest{IfVersion: 1, Value: value})
			is.NoErr(err)
			b.ReportMetric(float64(len(value)), "value-bytes")
			b.ReportMetric(float64(len(body)), "body-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkHostListBytes counts the bytes of the platform's host list and measures the time to decode it.
func BenchmarkHostListBytes(b *testing.B) {
	for _, hosts := range []int{1_000, 10_000, 142_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			list := platform.HostList{AsOf: time.Unix(1_796_380_000, 0).UTC()}
			for i := range hosts {
				list.Hosts = append(list.Hosts, platform.Host{
					ID: fmt.Sprintf("host-%06d", i), Role: platform.RoleBackend, FailureDomain: "attiki-01", Live: true,
					Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
				})
			}
			body, err := json.Marshal(list)
			is.New(b).NoErr(err)
			for b.Loop() {
				var got platform.HostList
				is.New(b).NoErr(json.Unmarshal(body, &got))
			}
			b.ReportMetric(float64(len(body)), "body-bytes")
		})
	}
}
