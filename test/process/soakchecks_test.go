package process_test

import (
	"fmt"
	"maps"
	"time"

	"github.com/pkg/errors"
)

// Limits of the soak's fleet. They are shorter or lower than those of a deployment, so that a run of some seconds can
// exceed them.
const (
	soakEvacuateLimit = 3 * time.Second
	soakColdTime      = 30 * time.Second // longer than a run
	soakColdRate      = 2                // requests per second
	soakOvershoot     = 1.5
	soakSlack         = 1
	soakColdBound     = soakColdRate*soakOvershoot + soakSlack // new flows in any second
)

var soakOptions = directOptions{
	era: 1,
	bounds: fmt.Sprintf(", evacuate_ms: %d, cold_overshoot: %v, cold_slack: %v", soakEvacuateLimit.Milliseconds(),
		soakOvershoot, soakSlack),
	settings: "contracts: [health]",
	service:  map[string]any{"cold_start_s": soakColdTime.Seconds(), "cold_per_s": soakColdRate},
}

type period struct{ from, until time.Time }

// evacuation is a period in which the store had an evacuation of a failure domain.
type evacuation struct {
	period
	domain string
}

// coldEndpoint is a period in which an endpoint was cold.
type coldEndpoint struct {
	period
	id          string
	isRestarted bool // under the ID of a former process
}

// disturb records that a balancer is not in contact with the store for a time from now on, and returns that time.
func (s *soak) disturb(d time.Duration) time.Duration {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	s.disturbances = append(s.disturbances, period{time.Now(), time.Now().Add(d)})
	return d
}

// limitFrom returns the end of a limit that begins with a write to the store. Disturbances extend it by their length, and
// by evacuateDelay at most.
func (s *soak) limitFrom(written time.Time, limit time.Duration) time.Time {
	const step = 5 * time.Millisecond
	now := written
	for left := limit; left > 0 && now.Before(written.Add(limit+evacuateDelay)); now = now.Add(step) {
		isDisturbed := false
		for _, d := range s.disturbances {
			isDisturbed = isDisturbed || !now.Before(d.from) && now.Before(d.until)
		}
		if !isDisturbed {
			left -= step
		}
	}
	return now
}

// changeEvacuation evacuates a failure domain, or ends its evacuation.
func (s *soak) changeEvacuation() string {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	domain := []string{"attiki-a", "attiki-b"}[s.random.IntN(2)]
	s.wanted[domain] = !s.wanted[domain]
	s.writeEvacuations()
	return fmt.Sprintf("%s is evacuated: %t", domain, s.wanted[domain])
}

// writeEvacuations makes the store have the evacuations that are wanted.
func (s *soak) writeEvacuations() {
	next := map[string]time.Time{}
	for domain, isEvacuated := range s.wanted {
		if isEvacuated {
			next[domain] = time.Time{}
		}
	}
	s.setStored(next, func() {
		for domain, isEvacuated := range s.wanted {
			if isEvacuated {
				s.evacuate(domain)
			} else {
				s.store.Delete("evacuations", domain)
			}
		}
	})
}

// setStored records that a write replaces the evacuated failure domains of the store.
func (s *soak) setStored(next map[string]time.Time, write func()) {
	began := time.Now()
	write()
	for domain, written := range s.stored {
		if _, ok := next[domain]; !ok {
			s.evacuations = append(s.evacuations, evacuation{period{written, began}, domain})
			delete(s.stored, domain)
		}
	}
	for domain := range next {
		if _, ok := s.stored[domain]; !ok {
			s.stored[domain] = time.Now()
		}
	}
}

// endEvacuations ends all evacuations and checks that the failure domains get flows again. Before, it waits until the limit
// of each has passed, so that checkEvacuations has a period to check.
func (s *soak) endEvacuations() {
	s.t.Helper()
	s.fleet.Lock()
	ended := maps.Clone(s.stored)
	for _, written := range ended {
		time.Sleep(time.Until(s.limitFrom(written, soakEvacuateLimit).Add(time.Second)))
	}
	for domain := range s.wanted {
		s.wanted[domain] = false
	}
	s.writeEvacuations()
	s.fleet.Unlock()
	written := time.Now()
	for domain := range ended {
		eventually(s.t, soakEvacuateLimit, "flows in "+domain+" after its evacuation", func() error {
			for _, e := range s.endpoints {
				if o := e.Openings(); e.FailureDomain() == domain && len(o) > 0 && o[len(o)-1].After(written) {
					return nil
				}
			}
			return errors.New("no endpoint there has opened a flow")
		})
	}
}

// checkEvacuations checks that no flow was opened in an evacuated failure domain after the limit.
func (s *soak) checkEvacuations() {
	for _, v := range s.evacuations {
		end := s.limitFrom(v.from, soakEvacuateLimit).Add(packetTime)
		s.t.Logf("%s was evacuated for %v, checked for %v", v.domain, v.until.Sub(v.from), max(0, v.until.Sub(end)))
		for id, e := range s.endpoints {
			var found []time.Duration // since the limit
			for _, opened := range e.Openings() {
				if e.FailureDomain() == v.domain && opened.After(end) && opened.Before(v.until) {
					found = append(found, opened.Sub(end))
				}
			}
			if len(found) > 0 {
				s.t.Errorf("%s: flows opened in %s, evacuated since %v, after the limit of %v: %v", id, v.domain, v.from, end, found)
			}
		}
	}
}

// startCold restarts an endpoint under its ID, or starts one under a new ID. It is cold until the run ends.
func (s *soak) startCold() string {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	c := coldEndpoint{period: period{time.Now(), time.Now().Add(soakColdTime)}}
	if n := s.random.IntN(4); n < 2 {
		c.id, c.isRestarted = fmt.Sprintf("i-f%d", n+2), true
		for i, o := range s.coldEndpoints {
			if o.id == c.id {
				s.coldEndpoints[i].until = c.from // the bound holds for each process
			}
		}
		if err := s.endpoints[c.id].Restart(soakColdTime); err != nil {
			s.t.Error(err)
		}
	} else {
		c.id = fmt.Sprintf("i-c%d", len(s.coldEndpoints))
		s.addColdEndpoint(c.id, "feed", []string{"attiki-a", "attiki-b"}[n-2], soakColdTime)
	}
	s.coldEndpoints = append(s.coldEndpoints, c)
	return fmt.Sprintf("%s started, under its former ID: %t", c.id, c.isRestarted)
}

// checkCold checks that no second brought a cold endpoint more flows than the bound. A balancer takes an endpoint that
// restarts under its ID for the former process, which may have been warm, until it has read the new entry.
func (s *soak) checkCold() {
	for _, c := range s.coldEndpoints {
		known := c.from
		if c.isRestarted {
			known = s.limitFrom(c.from, leaveLimit)
		}
		var early, late []time.Time // before and after the balancers know it
		for _, opened := range s.endpoints[c.id].Openings() {
			switch {
			case opened.Before(c.from) || opened.After(c.until):
			case opened.Before(known):
				early = append(early, opened)
			default:
				late = append(late, opened)
			}
		}
		most := mostInSecond(late)
		s.t.Logf("cold %s: at most %d flows opened in a second, checked for %v; %d before it must be known", c.id, most,
			max(0, min(time.Since(known), c.until.Sub(known))), mostInSecond(early))
		if most > soakColdBound {
			s.t.Errorf("cold %s since %v, known since %v: %d flows opened in a second, bound %v: %v", c.id, c.from, known, most,
				soakColdBound, late)
		}
	}
}

// mostInSecond returns the largest number of times in any sliding second.
func mostInSecond(times []time.Time) (most int) {
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
