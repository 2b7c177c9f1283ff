// Package speed estimates how fast each endpoint of a service is, relative to the median endpoint of the service, from
// the times that requests take.
//
// A sample is the time to the first byte of an answer divided by the usual time at the same service address. The work of
// single requests varies by a factor of several, so samples are averaged by their logarithm, within limits: a request
// that takes long because it has much to do moves the average little, while an endpoint at which all requests take four
// times as long stands out after a few samples. The more samples there are, the smaller the deviation that counts.
//
// # Usage
//
//	var own speed.Evidence // for each endpoint
//	own.Record(now, speed.Correct(ratio, outstanding, slots), speed.Limit(balancers, own.Samples, others))
//	own.Decay(elapsed)
//	total := speed.Sum([]speed.Evidence{own, ...}) // and that of other balancers, decayed by its age
//	median, ok := speed.Median(totals)             // over the endpoints of the service
//	relative, ok := speed.Of(total, median)
//
// The package keeps no state, starts no goroutine and reads no clock.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time after which a sample counts half.
	HalfLife = 3 * time.Second
	// reportedHalfLife is the same for reports. A balancer gets the reports of a part of the others only; the old reports of
	// many would outweigh the new ones of few for seconds.
	reportedHalfLife = 1500 * time.Millisecond
	// maxSamples is the number of samples, over all balancers, on which an estimate rests: the newest ones. With ten
	// requests a second it covers little more than a second, so that a change shows before the half-life has passed.
	maxSamples = 6
	// minSpan is the time that the newest samples of a balancer cover at least, and minWeight the least weight of a sample.
	minSpan   = time.Second
	minWeight = 0.05
	// minSamples is the number of samples from which an endpoint is judged.
	minSamples = 2
	// minCompared is the number of samples from which an endpoint counts for the median of its service. It is lower than
	// minSamples because the median over several endpoints does not depend on any one of them.
	minCompared = 0.3
	// maxRatio and minRatio limit a sample, so that one request that takes very long or short counts no more than others.
	maxRatio = 8
	minRatio = 1.0 / 8
	// spread is the standard deviation of the logarithm of a sample that is assumed. Whether an endpoint is slow is decided
	// by its ratio reduced by one standard error: the fewer samples, the larger the ratio must be.
	spread = 0.5
	// tolerance is the certain ratio to the median up to which an endpoint has full speed. It covers the way to another
	// failure domain and the rest of the random deviation. The effect of the ratio rises linearly from there to fullEffect,
	// because a step would make loads swing.
	tolerance  = 1.5
	fullEffect = 2
	// clearRatio is the ratio from which a single sample is worth a report: about one in 15 usual requests reaches it, and
	// four in five on an endpoint that is five times slower.
	clearRatio = 2.5
	// MinSpeed is the lowest speed. An endpoint with it still gets the flows that show when it has recovered.
	MinSpeed = 1.0 / 8
)

// Evidence summarizes samples.
type Evidence struct {
	Samples float64   // number of samples, decayed with time
	Log     float64   // mean of the logarithm of the samples
	At      time.Time // of the latest sample
}

// FromRatio returns the evidence of a number of samples with a mean ratio, the latest at a time.
func FromRatio(at time.Time, samples, ratio float64) Evidence {
	return Evidence{At: at, Samples: samples, Log: math.Log(min(max(ratio, minRatio), maxRatio))}
}

// Ratio returns the mean ratio, relative to a median logarithm.
func (e Evidence) Ratio(median float64) float64 { return math.Exp(e.Log - median) }

// IsClear reports whether the evidence shows a clearly slower endpoint than the median, unless it is a single long request.
func (e Evidence) IsClear(median float64) bool { return e.Ratio(median) > clearRatio }

// Limit returns the number of samples that one of some balancers keeps of an endpoint, given those that it has and those
// that the others have reported. Together they keep maxSamples, in proportion to what each observes, so that the sum
// follows a change equally fast whatever their number. Each keeps its latest sample in any case, and one of several at
// most a third of maxSamples, since it may not have heard of the others yet.
func Limit(balancers int, own, others float64) float64 {
	if balancers <= 1 {
		return maxSamples
	}
	share := 1.0
	if own > 0 {
		share = own / (own + max(others, 0))
	}
	return min(max(maxSamples*share, 1), maxSamples/3)
}

// Record adds a sample. Older samples lose weight as far as the total would exceed the limit. Of many samples in a short
// time each counts less, so that the limit covers at least minSpan: requests that wait behind the same long one would
// otherwise make up the whole evidence.
func (e *Evidence) Record(at time.Time, ratio, limit float64) {
	weight := 1.0
	if e.Samples > 0 {
		weight = min(max(limit*at.Sub(e.At).Seconds()/minSpan.Seconds(), minWeight), 1)
	}
	e.add(at, ratio, weight, limit)
}

// RecordWaiting adds a request that waits for its answer, with the time waited so far.
func (e *Evidence) RecordWaiting(now time.Time, ratio, limit float64) { e.add(now, ratio, 1, limit) }

func (e *Evidence) add(at time.Time, ratio, weight, limit float64) {
	x := math.Log(min(max(ratio, minRatio), maxRatio))
	e.At, e.Samples = at, min(e.Samples, limit-weight)+weight
	e.Log += (x - e.Log) * weight / e.Samples
}

// Decay reduces the weight of first-hand samples by the time that has passed.
func (e *Evidence) Decay(elapsed time.Duration) { e.decay(elapsed, HalfLife) }

// DecayReported does the same for samples that another balancer has reported.
func (e *Evidence) DecayReported(elapsed time.Duration) { e.decay(elapsed, reportedHalfLife) }

func (e *Evidence) decay(elapsed, halfLife time.Duration) {
	e.Samples *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// Correct returns the ratio that a request would have had without a queue. outstanding is the number of requests on the
// endpoint when it was sent, itself included. An endpoint with more of them than slots takes longer in proportion, which
// its load shows already: without the correction it would count twice and the loads would swing.
func Correct(ratio float64, outstanding, slots int) float64 {
	return ratio / max(float64(outstanding)/float64(max(slots, 1)), 1)
}

// Sum adds the evidence of several balancers, the newest first, up to maxSamples. It reorders list.
func Sum(list []Evidence) Evidence {
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Log, b.Log))
	})
	var sum Evidence
	for _, e := range list {
		n := min(e.Samples, maxSamples-sum.Samples)
		if n <= 0 {
			break
		}
		sum.Samples += n
		sum.Log += (e.Log - sum.Log) * n / sum.Samples
	}
	return sum
}

// Median returns the median of the mean logarithms of the endpoints of a service with enough samples, and whether there
// are any. Of two in the middle it returns the lower one.
func Median(list []Evidence) (float64, bool) {
	logs := make([]float64, 0, len(list))
	for _, e := range list {
		if e.Samples >= minCompared {
			logs = append(logs, e.Log)
		}
	}
	if len(logs) == 0 {
		return 0, false
	}
	slices.Sort(logs)
	return logs[(len(logs)-1)/2], true
}

// Of returns the speed that follows from the evidence on an endpoint and the median logarithm of its service, between
// MinSpeed and 1, and whether there are enough samples. Without enough, the speed is 1.
func Of(e Evidence, median float64) (float64, bool) {
	if e.Samples < minSamples {
		return 1, false
	}
	ratio := e.Ratio(median)
	certain := ratio * math.Exp(-spread/math.Sqrt(e.Samples))
	effect := min(max((certain-tolerance)/(fullEffect-tolerance), 0), 1)
	return max(1-effect*(1-1/ratio), MinSpeed), true
}
