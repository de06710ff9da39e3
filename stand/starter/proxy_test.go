package starter

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy causes on the connections through it.
type proxyMode int

// The modes of a proxy.
const (
	modeForward        proxyMode = iota
	modeDelay                    // modeDelay forwards every read after proxyDelay.
	modeReset                    // modeReset closes open connections with a TCP reset.
	modeBlockBoth                // modeBlockBoth forwards nothing and closes nothing.
	modeBlockResponses           // modeBlockResponses forwards no responses: a partition in one direction.
)

var faultModes = []proxyMode{modeDelay, modeReset, modeBlockBoth, modeBlockResponses}

const (
	proxyDelay        = 150 * time.Millisecond
	proxyPollInterval = 10 * time.Millisecond
	copyBufferBytes   = 16 << 10
)

// proxy forwards TCP connections from a loopback address to an upstream address, and
// causes the faults of its mode.
type proxy struct {
	address  string
	upstream string
	listener net.Listener

	mu      sync.Mutex
	current proxyMode
	conns   map[*net.TCPConn]struct{}
}

// newProxy starts a proxy in modeForward.
func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), upstream: to, listener: l, conns: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// forward copies data between a caller's connection and a new one to the upstream
// address, until either direction ends.
func (p *proxy) forward(in *net.TCPConn) {
	defer p.closeConn(in)
	p.addConn(in)
	c, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer p.closeConn(out)
	p.addConn(out)
	done := make(chan struct{}, 2)
	// No mode blocks only requests, so their direction gets a value that is never set.
	go func() { p.copy(out, in, modeBlockResponses+1); done <- struct{}{} }()
	go func() { p.copy(in, out, modeBlockResponses); done <- struct{}{} }()
	<-done
}

// copy copies data in one direction until a read or write fails. It holds back what it
// has read while the mode is modeBlockBoth or blocking.
func (p *proxy) copy(to, from *net.TCPConn, blocking proxyMode) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		for m := p.currentMode(); m == modeBlockBoth || m == blocking; m = p.currentMode() {
			time.Sleep(proxyPollInterval)
		}
		if p.currentMode() == modeDelay {
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

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// setMode changes the mode. modeReset resets the connections that are open; later ones
// are forwarded.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) addConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) closeConn(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}
