package direct

import (
	"cornellb/core/state/directory"
	"cornellb/io/transport/peer"
)

// Peers returns the handler of messages from other balancers.
func (p *Process) Peers() peer.DirectoryHandler { return p.peers }

// Position returns the position up to which endpoints are known.
func (p *Process) Position() directory.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Position()
}

// EvacuationsPosition returns the position of the known set of evacuations.
func (p *Process) EvacuationsPosition() directory.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuationsPosition()
}
