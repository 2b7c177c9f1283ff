// Package proxy is a TCP proxy on loopback that injects faults.
//
// # Usage
//
//	p, err := proxy.Listen("127.0.0.1:0", target)
//	p.Set(proxy.Fault{Mode: proxy.DropFromTarget}) // bytes from the target are lost
//	p.Set(proxy.Fault{})                           // new connections work again; those that lost bytes keep losing them
//	p.Close()
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Mode is a kind of fault.
type Mode uint8

// The modes.
const (
	Pass           Mode = iota
	Delay               // bytes are forwarded after a delay
	DropToTarget        // bytes to the target are lost; the connection stays open
	DropFromTarget      // bytes from the target are lost; the connection stays open
	Reset               // open and new connections are reset
	ModeCount           // number of modes
)

// Fault is a fault that the proxy injects. The zero value is none.
type Fault struct {
	Mode  Mode
	Delay time.Duration // before the bytes of each read are forwarded, in mode Delay
}

// dialTimeout bounds the time to connect to the target, which is on the same machine.
const dialTimeout = time.Second

// Proxy forwards connections to a target.
type Proxy struct {
	Address  string // listen address
	target   string
	listener net.Listener
	fault    atomic.Pointer[Fault]

	mu    sync.Mutex
	conns map[net.Conn]*atomic.Bool // whether the connection is silent
}

// Listen starts a proxy. Port 0 selects a free port.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]*atomic.Bool)}
	p.Set(Fault{})
	go p.run()
	return p, nil
}

// Set replaces the fault. Mode Reset also resets the open connections.
func (p *Proxy) Set(f Fault) {
	p.fault.Store(&f)
	if f.Mode == Reset {
		p.closeAll()
	}
}

// Silence lets the open connections lose all further bytes in both directions and stay open. New ones are not affected. It
// returns the number of connections.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, isSilent := range p.conns {
		isSilent.Store(true)
	}
	return len(p.conns) / 2 // each has two ends
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close sends a reset instead of an orderly end
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.fault.Load().Mode == Reset {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		target, err := net.DialTimeout("tcp4", p.target, dialTimeout)
		if err != nil {
			_ = client.Close()
			continue
		}
		isSilent := new(atomic.Bool)
		p.mu.Lock()
		p.conns[client], p.conns[target] = isSilent, isSilent
		p.mu.Unlock()
		go p.forward(target, client, DropToTarget, isSilent)
		go p.forward(client, target, DropFromTarget, isSilent)
	}
}

// forward copies bytes in one direction until either connection ends. Once it has dropped bytes because of dropMode, it
// drops all further ones, so that the receiver never sees a stream with a gap. Of a silent connection it also keeps the
// end of one side from the other.
func (p *Proxy) forward(to, from net.Conn, dropMode Mode, isSilent *atomic.Bool) {
	b := make([]byte, 32<<10)
	isDropping := false
	for {
		n, err := from.Read(b)
		if err != nil {
			if !isSilent.Load() {
				p.closeConns(to, from)
			}
			return
		}
		f := *p.fault.Load()
		if isDropping = isDropping || f.Mode == dropMode || isSilent.Load(); isDropping {
			continue
		}
		if f.Mode == Delay {
			time.Sleep(f.Delay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			p.closeConns(to, from)
			return
		}
	}
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
