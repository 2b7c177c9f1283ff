package table_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

var benchSizes = []int{1_000, 10_000, 130_000}

// changedTables returns two successive versions of tables with pools of 10 endpoints, which differ in one endpoint: the
// heads before and after, both with ChangeLimit changes, and the segments and tables after.
func changedTables(b *testing.B, endpoints int) (before, after *table.Head, segments []*table.Segment, t *table.Tables) {
	is := is.New(b)
	sizes := make([]int, endpoints/10)
	for i := range sizes {
		sizes[i] = 10
	}
	t = tablesWithPools(sizes...)
	t.Version = table.ChangeLimit
	var err error
	before, _, err = table.Split(t)
	is.NoErr(err)
	for i := range table.ChangeLimit {
		before.Version = uint64(i + 1)
		before.AppendChange(before, benchChange(i))
	}
	t.Version++
	t.Pools[0].Endpoints[0].Slots++
	after, segments, err = table.Split(t)
	is.NoErr(err)
	after.AppendChange(before, benchChange(table.ChangeLimit))
	is.NoErr(after.Check())
	return before, after, segments, t
}

func benchChange(i int) table.Change {
	return table.Change{
		ID: fmt.Sprintf("%032x", uint64(i)*0x9e3779b97f4a7c15), Operator: "operator@example.org",
		Time: time.Unix(1_796_380_000+int64(i), 0).UTC(),
	}
}

func flateSize(b *testing.B, data []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	is.New(b).NoErr(err)
	_, err = w.Write(data)
	is.New(b).NoErr(err)
	is.New(b).NoErr(w.Close())
	return out.Len()
}

// BenchmarkChangeBytes counts the bytes of a change of one endpoint: the head and the changed segment, each plain and
// compressed with flate, and the size of the whole tables. It measures no time.
func BenchmarkChangeBytes(b *testing.B) {
	for _, endpoints := range benchSizes {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			before, after, segments, _ := changedTables(b, endpoints)
			known := make(map[table.Digest]bool)
			for _, d := range before.Digests() {
				known[d] = true
			}
			head, err := after.Encode()
			is.New(b).NoErr(err)
			changed, all := 0, 0
			for _, s := range segments {
				all += len(s.Data)
				if !known[s.Digest] {
					changed++
					b.ReportMetric(float64(len(s.Data)), "segment-bytes")
					b.ReportMetric(float64(flateSize(b, s.Data)), "segment-flate-bytes")
				}
			}
			b.ReportMetric(float64(changed), "changed-segments")
			b.ReportMetric(float64(len(head)), "head-bytes")
			b.ReportMetric(float64(flateSize(b, head)), "head-flate-bytes")
			b.ReportMetric(float64(len(segments)), "segments")
			b.ReportMetric(float64(all), "tables-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkChangeSteps measures the processor time of each step of a change: split in the operator's command; parsing
// of the changed segment, join, validation and indexing at every balancer.
func BenchmarkChangeSteps(b *testing.B) {
	for _, endpoints := range benchSizes {
		before, after, segments, t := changedTables(b, endpoints)
		known := make(map[table.Digest]*table.Segment)
		for _, s := range segments {
			known[s.Digest] = s
		}
		changed := after.Missing(func(d table.Digest) bool {
			return len(before.Missing(func(o table.Digest) bool { return o != d })) == 1
		})[0]
		steps := map[string]func() error{
			"split": func() error { _, _, err := table.Split(t); return err },
			"parse": func() error { _, err := table.ParseSegment(changed, known[changed].Data); return err },
			"join": func() error {
				_, err := table.Join(after, func(d table.Digest) *table.Segment { return known[d] })
				return err
			},
			"validate": func() error { return table.Validate(t) },
			"index":    func() error { table.NewIndex(t); return nil },
		}
		for name, step := range steps {
			b.Run(fmt.Sprintf("%s/%d", name, endpoints), func(b *testing.B) {
				for b.Loop() {
					is.New(b).NoErr(step())
				}
			})
		}
	}
}

// BenchmarkTablesMemory measures the heap bytes of one version in force: the segments with their encoded content, the
// joined tables and the index.
func BenchmarkTablesMemory(b *testing.B) {
	for _, endpoints := range benchSizes {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			is := is.New(b)
			_, after, segments, _ := changedTables(b, endpoints)
			base := heapBytes()
			known := make(map[table.Digest]*table.Segment)
			for _, s := range segments {
				parsed, err := table.ParseSegment(s.Digest, bytes.Clone(s.Data))
				is.NoErr(err)
				known[s.Digest] = parsed
			}
			parsed := heapBytes()
			t, err := table.Join(after, func(d table.Digest) *table.Segment { return known[d] })
			is.NoErr(err)
			x := table.NewIndex(t)
			b.ReportMetric(heapBytes()-base, "heap-bytes")
			b.ReportMetric(heapBytes()-parsed, "joined-bytes")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(segments) // keeps the memory that base counts alive
			runtime.KeepAlive(known)
			runtime.KeepAlive(x)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
