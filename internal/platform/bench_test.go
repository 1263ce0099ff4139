package platform

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"sniperill.example/sniperill/pkg/shop"
)

// benchRecord returns a typical record of a stream.
func benchRecord(stream string, i int) Record {
	id := fmt.Sprintf("%032d-%03d", i, 0)
	switch stream {
	case ConfigStream:
		c := shop.Config{Teams: shop.TeamList{{Name: "quotes"}, {Name: "vans"}}, Classes: shop.ClassList{{Name: "quote"}, {Name: "render"}}}
		return Record{ID: id, Kind: KindConfigChange, Config: &ConfigRecord{Author: "operator", Config: c.WithDefaults()}}
	case JobStream:
		job := shop.Job{ID: id, Team: "quotes", Class: "render", Region: "klang", RunTime: time.Hour, Submitted: time.Unix(1e9, 0).UTC()}
		return Record{ID: id, Kind: KindJobAccepted, Job: &JobRecord{ID: id, Job: &job}}
	default:
		return Record{ID: id, Kind: KindClaim, Claim: &Claim{Team: "quotes", Key: id, Digest: id, Request: id, Agent: "worker-01", Incarnation: 1e9}}
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, stream := range []string{ConfigStream, JobStream, ClaimStream} {
		b.Run(stream, func(b *testing.B) {
			f := newFixture(b)
			batcher := &Batcher{Log: f.log, Stream: stream, AppendRate: rate.Limit(100)}
			go func() { _ = batcher.Run(f.ctx) }()
			data, _ := benchRecord(stream, 0).Encode()
			b.SetParallelism(64)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if _, err := batcher.Append(f.ctx, benchRecord(stream, i)); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
			b.ReportMetric(float64(len(data)), "bytes/record")
			b.ReportMetric(float64(b.N)/float64(max(1, f.standIn.Appends())), "records/append")
		})
	}
}

func BenchmarkFollow(b *testing.B) {
	for _, stream := range []string{ConfigStream, JobStream, ClaimStream} {
		b.Run(stream, func(b *testing.B) {
			f := newFixture(b)
			var batch []Record
			for i := range b.N {
				batch = append(batch, benchRecord(stream, i))
				if len(batch) < DefaultMaxRecords && i < b.N-1 {
					continue
				}
				if _, err := f.log.Append(f.ctx, stream, batch...); err != nil {
					b.Fatal(err)
				}
				batch = nil
			}
			done := make(chan struct{})
			n := 0
			b.ResetTimer()
			f.follow(&Follower{Stream: stream, Handle: func(Record) {
				if n++; n == b.N {
					close(done)
				}
			}})
			<-done
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
