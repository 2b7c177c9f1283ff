package peer

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

var directoryTime = time.Unix(1_800_000_000, 0)

func sampleEndpoint() directory.Endpoint {
	return directory.Endpoint{
		ID: "i-7f3a91c2", Number: 0x7f3a91c2, Service: "feed", FailureDomain: "attiki-1", Slots: 3, IsLeaving: true,
		Address: netip.MustParseAddrPort("10.0.0.9:8080"), StartedAt: 1_800_000_000_123,
		WarmAt: directoryTime.Add(1500 * time.Millisecond),
	}
}

func sampleAnnouncement() *spread.Announcement {
	e := sampleEndpoint()
	return &spread.Announcement{
		Reader: 7, Sequence: 9, Version: 12, VersionAge: 40 * time.Millisecond, Revision: 99,
		RevisionAge: 2 * time.Second, Base: 90, LapsedFor: time.Second,
		Changes: []discovery.Change{{ID: e.ID, Endpoint: &e, Revision: 95}, {ID: "i-2", Revision: 99}},
	}
}

// sampleUpdates returns an update with a whole configuration and all endpoints, one with changes of endpoints, and one
// with a difference from a configuration.
func sampleUpdates() (whole, change, difference *DirectoryUpdate) {
	whole = &DirectoryUpdate{
		Configuration: &directory.Configuration{Version: 12, IdleTimeout: 15 * time.Second, Routes: []directory.Route{{
			Name: "r1", Address: netip.MustParseAddrPort("198.18.0.1:443"),
			Targets: []directory.Target{{Service: "feed", Weight: 90}, {Service: "images", Weight: 10}},
		}}},
		Revision: 99, Endpoints: []directory.Endpoint{sampleEndpoint()},
	}
	change = &DirectoryUpdate{Revision: 99, ChangesOnly: true, Changes: sampleAnnouncement().Changes}
	difference = &DirectoryUpdate{Difference: &directory.Difference{
		From: 12, To: 15, Put: whole.Configuration.Routes, Removed: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.2:443")},
		Rest: directory.Configuration{Version: 15, IdleTimeout: 12 * time.Second},
	}}
	return whole, change, difference
}

func sampleReport() *steering.Report {
	return &steering.Report{
		Sender: 7, IsPartial: true, Loads: []steering.EndpointLoad{{Cookie: 1, Flows: 5}},
		Silences: []uint32{2}, Outcomes: []steering.EndpointOutcomes{{Cookie: 3, Good: 4, Bad: 0.5}},
	}
}

// TestAnnouncementRoundTrip guards against fields that are lost between encoding and decoding, and against a message
// that is unexpectedly large.
func TestAnnouncementRoundTrip(t *testing.T) {
	is := is.New(t)
	want := sampleAnnouncement()
	b, err := AppendAnnouncement(nil, want, directoryTime)
	is.NoErr(err)
	is.True(len(b) < 200)
	got, err := DecodeAnnouncement(b, directoryTime)
	is.NoErr(err)
	is.Equal(got, want)
}

// TestDirectoryRoundTrip guards against fields that are lost between encoding and decoding, and against invalid
// differences that are accepted.
func TestDirectoryRoundTrip(t *testing.T) {
	is := is.New(t)
	want, change, difference := sampleUpdates()
	got, err := NewDirectoryReply(want, directoryTime).Core(directoryTime)
	is.NoErr(err)
	is.Equal(got, want)

	got, err = NewDirectoryReply(difference, directoryTime).Core(directoryTime)
	is.NoErr(err)
	is.Equal(got, difference)
	for _, bad := range []*ConfigurationChange{
		{}, {From: 3}, {From: 3, To: &Configuration{Version: 3}}, {To: &Configuration{Version: 3}},
		{From: 3, To: &Configuration{Version: 4}, Removed: [][]byte{{1}}},
	} {
		_, err := (&DirectoryReply{ConfigurationChange: bad}).Core(directoryTime)
		is.True(err != nil)
	}

	got, err = NewDirectoryReply(change, directoryTime).Core(directoryTime)
	is.NoErr(err)
	is.Equal(got, change)
}

// TestLoadRoundTrip guards against fields that are lost between encoding and decoding.
func TestLoadRoundTrip(t *testing.T) {
	is := is.New(t)
	want := sampleReport()
	b, err := AppendLoadReport(nil, want)
	is.NoErr(err)
	got, err := DecodeLoadReport(b)
	is.NoErr(err)
	is.Equal(got, want)
}

// TestLoadSize guards against load reports that use up the budget of 4 KB/s for control traffic. In the largest
// deployment, a report covers 60 endpoints and a balancer sends 11 datagrams with reports a second. The test also
// guards against an accepted report in which a cookie has no number of flows.
func TestLoadSize(t *testing.T) {
	is := is.New(t)
	r := &steering.Report{Sender: 7}
	for i := range uint32(60) {
		r.Loads = append(r.Loads, steering.EndpointLoad{Cookie: i << 20, Flows: 70})
	}
	b, err := AppendLoadReport(nil, r)
	is.NoErr(err)
	is.True(len(b) <= 330)

	x := &LoadReport{Sender: 7, Cookies: []uint32{1, 2}, Flows: []uint32{1}}
	b, err = proto.Marshal(x)
	is.NoErr(err)
	_, err = DecodeLoadReport(b)
	is.True(err != nil) // the second cookie has no number of flows
}

// TestBadDirectoryMessages guards against invalid messages of a faulty balancer that are accepted.
func TestBadDirectoryMessages(t *testing.T) {
	endpoint := func(change func(*Endpoint)) *Announcement {
		e := sampleEndpoint()
		x := newEndpoint(&e, directoryTime)
		change(x)
		return &Announcement{Reader: 7, Sequence: 1, Changes: []*EndpointChange{{Id: "i-1", Revision: 3, Endpoint: x}}}
	}
	tests := map[string]*Announcement{
		"no reader":      {Sequence: 1},
		"no sequence":    {Reader: 7},
		"no id":          {Reader: 7, Sequence: 1, Changes: []*EndpointChange{{Revision: 3}}},
		"many changes":   {Reader: 7, Sequence: 1, Changes: make([]*EndpointChange, maxChanges+1)},
		"no number":      endpoint(func(x *Endpoint) { x.Number = 0 }),
		"no slots":       endpoint(func(x *Endpoint) { x.Slots = 0 }),
		"no service":     endpoint(func(x *Endpoint) { x.Service = "" }),
		"short address":  endpoint(func(x *Endpoint) { x.Address = []byte{1, 2, 3} }),
		"no port":        endpoint(func(x *Endpoint) { x.Address = []byte{10, 0, 0, 9, 0, 0} }),
		"no destination": endpoint(func(x *Endpoint) { x.Address = nil }),
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range x.Changes {
				if x.Changes[i] == nil {
					x.Changes[i] = &EndpointChange{Id: "i-1"}
				}
			}
			b, err := proto.Marshal(x)
			is.NoErr(err)
			_, err = DecodeAnnouncement(b, directoryTime)
			var decodeErr *DecodeError
			is.True(errors.As(err, &decodeErr))
		})
	}
	is := is.New(t)
	for _, c := range []*Configuration{
		{},
		{Version: 1, Routes: []*Route{{Name: "r"}}},
		{Version: 1, Routes: []*Route{{Name: "r", Address: []byte{10, 0, 0, 9, 1, 0}}}},
		{Version: 1, Routes: []*Route{{Name: "r", Address: []byte{10, 0, 0, 9, 1, 0}, Targets: []*Target{{Service: "a", Weight: -1}}}}},
	} {
		_, err := (&DirectoryReply{Configuration: c}).Core(directoryTime)
		is.True(err != nil)
	}
}

// FuzzDirectoryMessages guards against a panic, and against decoded messages without a sender or above the limits.
func FuzzDirectoryMessages(f *testing.F) {
	announcement, err := AppendAnnouncement(nil, sampleAnnouncement(), directoryTime)
	is.New(f).NoErr(err)
	f.Add(announcement)
	report, err := AppendLoadReport(nil, &steering.Report{Sender: 7, Loads: []steering.EndpointLoad{{Cookie: 1, Flows: 5}}})
	is.New(f).NoErr(err)
	f.Add(report)
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := DecodeAnnouncement(b, directoryTime); err == nil && (a.Reader == 0 || len(a.Changes) > maxChanges) {
			t.Fatalf("unusable announcement: %+v", a)
		}
		if r, err := DecodeLoadReport(b); err == nil && (r.Sender == 0 || len(r.Loads) > maxReportEntries) {
			t.Fatalf("unusable report: %+v", r)
		}
	})
}
