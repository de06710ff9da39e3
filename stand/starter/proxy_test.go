package starter

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

// The modes of a proxy.
const (
	passing   mode = iota
	delaying       // delaying holds every piece back for a while.
	resetting      // resetting ends connections with a reset.
	silencing      // silencing carries nothing, and closes nothing.
	deafening      // deafening carries nothing back: a cut in one direction.
)

var modes = []mode{delaying, resetting, silencing, deafening}

const (
	proxyDelay = 150 * time.Millisecond
	proxyPoll  = 10 * time.Millisecond
	pieceBytes = 16 << 10
)

// proxy stands on loopback between callers and one address.
type proxy struct {
	address  string
	to       string
	listener net.Listener

	mu    sync.Mutex
	now   mode
	conns map[*net.TCPConn]struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), to: to, listener: l, conns: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c.(*net.TCPConn))
	}
}

// carry joins a caller's connection to one of its own.
func (p *proxy) carry(in *net.TCPConn) {
	defer p.forget(in)
	p.remember(in)
	c, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer p.forget(out)
	p.remember(out)
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, deafening+1); done <- struct{}{} }()
	go func() { p.copy(in, out, deafening); done <- struct{}{} }()
	<-done
}

// copy carries pieces in one direction; it holds them while the mode is
// silencing, or the one that stops this direction.
func (p *proxy) copy(to, from *net.TCPConn, stops mode) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		for m := p.mode(); m == silencing || m == stops; m = p.mode() {
			time.Sleep(proxyPoll)
		}
		if p.mode() == delaying {
			time.Sleep(proxyDelay)
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			if err == io.EOF {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

func (p *proxy) mode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// set changes what the proxy does. Resetting takes effect on what is open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = m
	if m != resetting {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) remember(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) forget(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(resetting)
}
