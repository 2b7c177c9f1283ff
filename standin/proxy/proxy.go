// Package proxy is a TCP proxy on loopback that misbehaves on request.
//
// # Usage
//
//	p, err := proxy.Listen("127.0.0.1:0", target)
//	p.Set(proxy.Fault{Mode: proxy.SilentBack}) // what the target says no longer arrives
//	p.Set(proxy.Fault{})                       // new connections work again; silent ones stay silent
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
	Pass        Mode = iota
	Delay            // bytes arrive later
	SilentThere      // bytes to the target are lost, without an end of the connection
	SilentBack       // bytes from the target are lost
	Reset            // open and new connections are reset
	ModeCount
)

// Fault is how the proxy misbehaves.
type Fault struct {
	Mode  Mode
	Delay time.Duration // of each read, for Delay
}

// dialTimeout bounds the connection to the target, which is on the same machine.
const dialTimeout = time.Second

// Proxy passes connections on to a target.
type Proxy struct {
	Address  string // that it listens on
	target   string
	listener net.Listener
	fault    atomic.Pointer[Fault]

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen starts a proxy. Port 0 selects a free one.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.Set(Fault{})
	go p.run()
	return p, nil
}

// Set replaces the fault.
func (p *Proxy) Set(f Fault) {
	p.fault.Store(&f)
	if f.Mode == Reset {
		p.closeAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.fault.Load().Mode == Reset {
			_ = near.(*net.TCPConn).SetLinger(0)
			_ = near.Close()
			continue
		}
		far, err := net.DialTimeout("tcp4", p.target, dialTimeout)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mu.Unlock()
		go p.pump(far, near, SilentThere)
		go p.pump(near, far, SilentBack)
	}
}

// pump copies bytes until either side ends. Once bytes were lost, the connection stays silent in that direction.
func (p *Proxy) pump(to, from net.Conn, silent Mode) {
	defer p.forget(to, from)
	b := make([]byte, 32<<10)
	isSilent := false
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := *p.fault.Load()
		if isSilent = isSilent || f.Mode == silent; isSilent {
			continue
		}
		if f.Mode == Delay {
			time.Sleep(f.Delay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
