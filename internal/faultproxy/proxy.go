// Package faultproxy is a TCP proxy that injects network faults.
//
// A Proxy forwards connections to one address. It can block either direction without closing a connection (a silent
// partition), delay the data, close the open connections, or block the open ones forever while new ones work. It
// starts one goroutine for each listener and two for each connection.
//
// # Usage
//
//	p, err := faultproxy.Start("127.0.0.9:7100", "127.0.0.1:7100")
//	p.Block(faultproxy.Both)
//	p.Heal()
//	p.Close()
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a set of the directions in which data passes the proxy.
type Direction int

// The directions.
const (
	// ToServer is from the client to the target.
	ToServer Direction = 1 << iota
	// ToClient is from the target to the client.
	ToClient
	// Both is ToServer and ToClient.
	Both = ToServer | ToClient
)

// Proxy forwards the connections to an address to a target. It is safe for concurrent use.
type Proxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mutex   sync.Mutex
	changed chan struct{}
	// blocked holds the blocked directions by the IP address of the client; the empty key applies to all clients.
	blocked map[string]Direction
	delay   time.Duration
	closed  bool
	pairs   map[*connPair]struct{}
}

// connPair is a client's connection and the one to the target. A frozen one forwards nothing any more.
type connPair struct {
	client net.Conn
	server net.Conn
	// source is the IP address of the client.
	source string
	frozen bool
}

// Start listens on an address and forwards connections to the target.
func Start(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), blocked: map[string]Direction{}, pairs: map[*connPair]struct{}{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Block blocks a direction on open and new connections of all clients until Heal. Blocked data isn't lost, but
// forwarded after Heal.
func (p *Proxy) Block(d Direction) { p.BlockFrom("", d) }

// BlockFrom is Block for the connections from one IP address.
func (p *Proxy) BlockFrom(client string, d Direction) { p.update(func() { p.blocked[client] = d }) }

// Delay delays the forwarding of each read, in both directions, until Heal.
func (p *Proxy) Delay(d time.Duration) { p.update(func() { p.delay = d }) }

// Heal ends blocks and delays, but not the effect of FreezeOpen.
func (p *Proxy) Heal() {
	p.update(func() {
		clear(p.blocked)
		p.delay = 0
	})
}

// FreezeOpen blocks the open connections for good, without closing them; new ones work.
func (p *Proxy) FreezeOpen() {
	p.update(func() {
		for x := range p.pairs {
			x.frozen = true
		}
	})
}

// Drop closes the open connections.
func (p *Proxy) Drop() {
	p.update(func() {
		for x := range p.pairs {
			x.close()
		}
	})
}

// Close stops listening, closes all connections and waits for the goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.update(func() {
		p.closed = true
		for x := range p.pairs {
			x.close()
		}
	})
	p.goroutines.Wait()
}

func (x *connPair) close() {
	_ = x.client.Close()
	_ = x.server.Close()
}

// update changes the state under the mutex and wakes the goroutines that wait in awaitOpen.
func (p *Proxy) update(apply func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	apply()
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
		x := &connPair{client: client, server: server, source: source}
		p.mutex.Lock()
		if p.closed {
			x.close()
		}
		p.pairs[x] = struct{}{}
		p.mutex.Unlock()
		p.goroutines.Go(func() { p.forward(x, client, server, ToServer) })
		p.goroutines.Go(func() { p.forward(x, server, client, ToClient) })
	}
}

// forward copies one direction of a pair until either connection ends, and then closes both.
func (p *Proxy) forward(x *connPair, from, to net.Conn, d Direction) {
	defer func() {
		x.close()
		p.update(func() { delete(p.pairs, x) })
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.awaitOpen(x, d) {
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

// awaitOpen waits until the direction isn't blocked, and then for the delay. It reports false if the pair is closed.
func (p *Proxy) awaitOpen(x *connPair, d Direction) bool {
	for {
		p.mutex.Lock()
		changed := p.changed
		blocked := (p.blocked[""]|p.blocked[x.source])&d != 0 || x.frozen
		delay := p.delay
		_, open := p.pairs[x]
		closed := p.closed
		p.mutex.Unlock()
		if closed || !open {
			return false
		}
		if !blocked {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
