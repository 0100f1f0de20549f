// Package faultproxy is a TCP proxy that breaks connections the way networks do.
//
// A Proxy stands in front of one address. It can hold back either direction without closing anything
// (a silent cut), delay it, drop the connections that are open, or make the open ones silent for good
// while new ones work. It starts no goroutines but one for each listener and two for each connection.
//
// # Usage
//
//	p, err := faultproxy.Start("127.0.0.9:7100", "127.0.0.1:7100")
//	p.Cut(faultproxy.Both)
//	p.Heal()
//	p.Close()
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a way through the proxy.
type Direction int

// The directions.
const (
	// ToServer is from whoever connected to the address behind the proxy.
	ToServer Direction = 1 << iota
	// ToClient is the other way.
	ToClient
	// Both is both ways.
	Both = ToServer | ToClient
)

// Proxy passes connections on. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mutex   sync.Mutex
	changed chan struct{}
	// cut holds the directions that are held back, by the IP number of the client; empty for all.
	cut    map[string]Direction
	delay  time.Duration
	closed bool
	pairs  map[*pair]struct{}
}

// pair is a connection and the one behind it.
type pair struct {
	client net.Conn
	server net.Conn
	source string
	silent bool
}

// Start listens on an address and passes connections on to the target.
func Start(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), cut: map[string]Direction{}, pairs: map[*pair]struct{}{}}
	p.work.Go(p.accept)
	return p, nil
}

// Cut holds back everything in a direction, on open and new connections, until Heal.
func (p *Proxy) Cut(d Direction) { p.CutFrom("", d) }

// CutFrom holds back the connections of one client, named by its IP number.
func (p *Proxy) CutFrom(client string, d Direction) { p.change(func() { p.cut[client] = d }) }

// Delay holds back every piece of data for a time.
func (p *Proxy) Delay(d time.Duration) { p.change(func() { p.delay = d }) }

// Heal ends cuts and delays. Connections made silent stay silent.
func (p *Proxy) Heal() {
	p.change(func() {
		clear(p.cut)
		p.delay = 0
	})
}

// Silence makes the open connections silent for good; new ones work.
func (p *Proxy) Silence() {
	p.change(func() {
		for x := range p.pairs {
			x.silent = true
		}
	})
}

// Drop closes the open connections.
func (p *Proxy) Drop() {
	p.change(func() {
		for x := range p.pairs {
			x.close()
		}
	})
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.change(func() {
		p.closed = true
		for x := range p.pairs {
			x.close()
		}
	})
	p.work.Wait()
}

func (x *pair) close() {
	_ = x.client.Close()
	_ = x.server.Close()
}

func (p *Proxy) change(do func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	do()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
		x := &pair{client: client, server: server, source: source}
		p.mutex.Lock()
		if p.closed {
			x.close()
		}
		p.pairs[x] = struct{}{}
		p.mutex.Unlock()
		p.work.Go(func() { p.pass(x, client, server, ToServer) })
		p.work.Go(func() { p.pass(x, server, client, ToClient) })
	}
}

func (p *Proxy) pass(x *pair, from, to net.Conn, d Direction) {
	defer func() {
		x.close()
		p.change(func() { delete(p.pairs, x) })
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.await(x, d) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await holds data back as long as the direction is cut, and reports false when the pair is gone.
func (p *Proxy) await(x *pair, d Direction) bool {
	for {
		p.mutex.Lock()
		changed := p.changed
		held := (p.cut[""]|p.cut[x.source])&d != 0 || x.silent
		delay := p.delay
		_, open := p.pairs[x]
		closed := p.closed
		p.mutex.Unlock()
		if closed || !open {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
