package direct

import (
	"context"
	"time"

	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

const (
	// minCopied is the number of endpoints from which a reader stores copies of the list. Shorter lists are read as fast.
	minCopied = 300
	// copyInterval is the time between two copies. The changes after a copy must still be in the store's history, which
	// lasts for 20 s, when all balancers have been without power for some seconds.
	copyInterval = 8 * time.Second
	// copyDelay is how long a starting balancer waits for the list before it reads the copy as well. Where the list is short
	// and the store is not overloaded, no copy is read.
	copyDelay = 150 * time.Millisecond
	// restoreTimeout limits the read of a copy and of the changes after it.
	restoreTimeout = time.Second
	// restoreWait is the wait of a watch that only asks for the changes so far.
	restoreWait = time.Millisecond
	// verifyAfter is the mean time from the use of a copy to the read of the list itself. Balancers that have started
	// together read it at different times.
	verifyAfter = 4 * time.Second
)

// startList holds the endpoints that a starting balancer has read, from the list or from a copy and the changes after it.
type startList struct {
	endpoints []directory.Endpoint
	revision  uint64 // of endpoints
	changes   []discovery.Change
	newest    uint64 // revision of the last change
	faults    []Fault
	isCopy    bool
}

// readStartList reads the endpoints when the process starts: the list and the copy at the same time, and whichever is
// complete first counts. The copy has less than a fifth of the bytes, which tells when all balancers start together and share the
// store's link. The error is that of the list.
func (p *Process) readStartList(isFresh bool) (*startList, error) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel() // ends the slower read
	copied := make(chan *startList, 1)
	p.work.Go(func() { copied <- p.readCopy(ctx) })
	type result struct {
		list *startList
		err  error
	}
	listed := make(chan result, 1)
	p.work.Go(func() {
		endpoints, revision, faults, err := p.adapters.Store.Endpoints(ctx, isFresh)
		listed <- result{&startList{endpoints: endpoints, revision: revision, faults: faults}, err}
	})
	for {
		select {
		case list := <-copied:
			if list != nil {
				return list, nil
			}
			copied = nil // wait for the list
		case r := <-listed:
			return r.list, r.err
		}
	}
}

// readCopy reads the copy of the list and the changes after it. It returns nil if there is no copy, or if the changes after
// it are not known.
func (p *Process) readCopy(ctx context.Context) *startList {
	select {
	case <-ctx.Done():
		return nil
	case <-p.adapters.Clock.After(copyDelay):
	}
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	list := &startList{isCopy: true}
	var err error
	if list.endpoints, list.revision, err = p.adapters.Store.Copy(ctx, p.settings.FailureDomain); err == nil {
		list.changes, list.newest, list.faults, err = p.adapters.Store.WatchEndpoints(ctx, list.revision, restoreWait)
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	p.metrics.Count(metric.StoreCalls, "copy "+outcome, 1)
	if err != nil || list.newest < list.revision || len(list.endpoints) == 0 {
		p.log.Info("copy of the endpoint list not used", "error", err, "revision", list.revision)
		return nil
	}
	return list
}

// applyStartList applies what readStartList has returned. The caller holds p.mu.
func (p *Process) applyStartList(now time.Time, list *startList) {
	p.state.Replace(now, list.endpoints, list.revision)
	if list.isCopy {
		p.apply(now, list.changes, list.revision, list.newest, "store")
		p.peers.plan.ConfirmEndpoints(now)
	}
}

// storeCopy stores a copy of the list if this balancer is the reader of its failure domain and the last copy is old enough.
// Nothing depends on it but the time until balancers are ready, so that a failure is not repeated before the next one.
func (p *Process) storeCopy() {
	p.mu.Lock()
	now := p.adapters.Clock.Now()
	isDue := p.peers.plan.IsReader() && now.Sub(p.copiedAt) >= copyInterval
	var endpoints []directory.Endpoint
	if isDue {
		p.copiedAt = now
		endpoints = p.state.Registered()
	}
	revision := p.state.Revision()
	p.mu.Unlock()
	if len(endpoints) < minCopied {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, restoreTimeout)
	defer cancel()
	outcome := "answered"
	if err := p.adapters.Store.StoreCopy(ctx, p.settings.FailureDomain, endpoints, revision); err != nil {
		outcome = "failed"
		p.log.Info("copy of the endpoint list not stored", "error", err, "endpoints", len(endpoints))
	}
	p.metrics.Count(metric.StoreCalls, "store_copy "+outcome, 1)
}
