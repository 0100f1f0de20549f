// Package hslink carries messages between the processes over framed TCP.
//
// Each message is one frame: a length of four bytes and the encoded message. The first frame on a
// connection says who speaks and which protocol version. Both ends send heartbeats; a connection on
// which nothing arrived for three of them is closed and dialled anew, whatever TCP believes. Messages
// may be lost when a connection ends or a queue is full: whoever sent one that matters sends it again.
//
// A peer with an address is dialled on the first message to it and kept connected. A peer that dialled
// us is addressed by its instance; a newer connection of the same instance takes the older one's place.
// Memory is bounded: Backlog messages wait for each peer at most, and frames have a size bound.
//
// A Links is safe for concurrent use.
//
// # Usage
//
//	links := hslink.New(config, logger, func(from hsstate.Peer, m hsmessage.Message) { ... })
//	err := links.Listen()
//	links.Send("127.0.1.1:7001", message)
//	links.Close()
package hslink

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

// Defaults of a Config.
const (
	DefaultHeartbeat = 500 * time.Millisecond
	DefaultBacklog   = 512

	// silentHeartbeats is the number of heartbeats without a frame after which a connection is closed.
	silentHeartbeats = 3
	firstRedial      = 50 * time.Millisecond
	maxRedial        = time.Second
	// idleDial is how long a dialled peer is kept connected after the last message to it.
	idleDial = time.Minute
)

// Config describes this process to its peers.
type Config struct {
	Instance hsid.InstanceID
	Roles    []hsmessage.Role
	// Address is the IP:port that is listened on; empty for a process that only dials.
	Address hsstate.Peer
	// Source is the IP number that connections are made from; nil leaves it to the system.
	Source    net.IP
	Heartbeat time.Duration
	Backlog   int
	// ServerTLS and ClientTLS protect the connections; nil for none.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Lost is told when a dialled peer can't be reached or its connection ended; nil for nobody.
	Lost func(peer hsstate.Peer)
}

// Receive takes a message. It may block, which holds back the peer it came from.
type Receive func(from hsstate.Peer, m hsmessage.Message)

// Counters count what went over the links.
type Counters struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	Sent          atomic.Int64
	Received      atomic.Int64
	// Dropped counts messages that found a full queue or no connection.
	Dropped atomic.Int64
	// Replaced counts connections that were closed because the peer was silent.
	Replaced atomic.Int64
}

// Links are the connections of one process.
type Links struct {
	config   Config
	log      *slog.Logger
	receive  Receive
	Counters Counters

	context  context.Context
	cancel   context.CancelFunc
	listener net.Listener
	tasks    sync.WaitGroup

	mutex    sync.Mutex
	dialled  map[hsstate.Peer]*dialled
	accepted map[hsstate.Peer]*conn
	open     map[*conn]struct{}
}

// dialled is a peer that is kept connected.
type dialled struct {
	out      chan []byte
	lastUsed atomic.Int64
}

// New returns links that aren't listening yet.
func New(c Config, log *slog.Logger, receive Receive) *Links {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Backlog == 0 {
		c.Backlog = DefaultBacklog
	}
	l := &Links{
		config:   c,
		log:      log,
		receive:  receive,
		dialled:  map[hsstate.Peer]*dialled{},
		accepted: map[hsstate.Peer]*conn{},
		open:     map[*conn]struct{}{},
	}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

// Listen starts taking connections. It does nothing without an address.
func (l *Links) Listen() error {
	if l.config.Address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", string(l.config.Address))
	if err != nil {
		return fmt.Errorf("hslink: listen on %s: %w", l.config.Address, err)
	}
	if l.config.ServerTLS != nil {
		listener = tls.NewListener(listener, l.config.ServerTLS)
	}
	l.listener = listener
	l.tasks.Go(l.acceptAll)
	return nil
}

// Close ends all connections and waits for their goroutines.
func (l *Links) Close() {
	l.cancel()
	if l.listener != nil {
		_ = l.listener.Close()
	}
	l.mutex.Lock()
	for c := range l.open {
		c.stop()
	}
	l.mutex.Unlock()
	l.tasks.Wait()
}

// Send queues a message to a peer. It never blocks; a message that can't be queued is dropped.
func (l *Links) Send(to hsstate.Peer, m hsmessage.Message) {
	payload, err := hscodec.EncodeMessage(m)
	if err != nil || hsid.Bytes(len(payload)) > MaxFrame {
		l.log.Error("message can't be sent", "to", to, "bytes", len(payload), "error", err)
		l.Counters.Dropped.Add(1)
		return
	}
	if l.queue(to, payload) {
		l.Counters.Sent.Add(1)
		return
	}
	l.Counters.Dropped.Add(1)
}

func (l *Links) queue(to hsstate.Peer, payload []byte) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c := l.accepted[to]; c != nil {
		return c.offer(payload)
	}
	if _, _, err := net.SplitHostPort(string(to)); err != nil || l.context.Err() != nil {
		return false
	}
	d := l.dialled[to]
	if d == nil {
		d = &dialled{out: make(chan []byte, l.config.Backlog)}
		l.dialled[to] = d
		l.tasks.Go(func() { l.dialAll(to, d) })
	}
	d.lastUsed.Store(time.Now().UnixNano())
	select {
	case d.out <- payload:
		return true
	default:
		return false
	}
}

func (l *Links) acceptAll() {
	for {
		n, err := l.listener.Accept()
		if l.context.Err() != nil {
			return
		}
		if err != nil {
			l.log.Warn("connection wasn't taken", "error", err)
			l.sleep(firstRedial)
			continue
		}
		l.tasks.Go(func() { l.serve(n) })
	}
}

// serve runs a connection that a peer dialled.
func (l *Links) serve(n net.Conn) {
	c := newConn(n, l.config.Backlog)
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	h, r, err := l.greet(c, false)
	if err != nil {
		l.log.Warn("peer was turned away", "address", n.RemoteAddr(), "error", err)
		return
	}
	peer := hsstate.Peer(h.Instance)
	l.mutex.Lock()
	if old := l.accepted[peer]; old != nil {
		old.stop()
	}
	l.accepted[peer] = c
	l.mutex.Unlock()
	l.run(c, r, peer)
	l.mutex.Lock()
	if l.accepted[peer] == c {
		delete(l.accepted, peer)
	}
	l.mutex.Unlock()
}

// dialAll keeps a peer connected until it wasn't sent anything for idleDial.
func (l *Links) dialAll(to hsstate.Peer, d *dialled) {
	pause := firstRedial
	for l.context.Err() == nil && !l.retire(to, d) {
		began := time.Now()
		if err := l.dialOnce(to, d); err != nil {
			l.log.Debug("connection ended", "peer", to, "error", err)
			l.drain(d)
			if l.config.Lost != nil && l.context.Err() == nil {
				l.config.Lost(to)
			}
		}
		if time.Since(began) > maxRedial {
			pause = firstRedial
		}
		l.sleep(pause + rand.N(pause))
		pause = min(2*pause, maxRedial)
	}
}

// drain drops what waits for a peer that can't be reached; it would be stale by the time it arrives.
func (l *Links) drain(d *dialled) {
	for {
		select {
		case <-d.out:
			l.Counters.Dropped.Add(1)
		default:
			return
		}
	}
}

// retire forgets a peer that nothing was sent to for a while.
func (l *Links) retire(to hsstate.Peer, d *dialled) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	idle := time.Duration(time.Now().UnixNano() - d.lastUsed.Load())
	if idle < idleDial {
		return false
	}
	delete(l.dialled, to)
	return true
}

func (l *Links) dialOnce(to hsstate.Peer, d *dialled) error {
	dialer := net.Dialer{Timeout: silentHeartbeats * l.config.Heartbeat}
	if l.config.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.config.Source}
	}
	n, err := dialer.DialContext(l.context, "tcp", string(to))
	if err != nil {
		return fmt.Errorf("hslink: %w", err)
	}
	if l.config.ClientTLS != nil {
		c := l.config.ClientTLS.Clone()
		c.ServerName, _, _ = net.SplitHostPort(string(to))
		n = tls.Client(n, c)
	}
	c := newConn(n, 0)
	c.out = d.out
	if !l.track(c) {
		return nil
	}
	defer l.untrack(c)
	_, r, err := l.greet(c, true)
	if err != nil {
		l.log.Warn("peer was turned away", "address", to, "error", err)
		return err
	}
	return l.run(c, r, to)
}

// greet exchanges the first frames.
func (l *Links) greet(c *conn, dialled bool) (hello, *bufio.Reader, error) {
	payload, err := l.config.hello()
	if err != nil {
		return hello{}, nil, err
	}
	if err := c.net.SetDeadline(time.Now().Add(silentHeartbeats * l.config.Heartbeat)); err != nil {
		return hello{}, nil, fmt.Errorf("hslink: %w", err)
	}
	if _, err := c.net.Write(appendFrame(nil, payload)); err != nil {
		return hello{}, nil, fmt.Errorf("hslink: %w", err)
	}
	r := bufio.NewReader(c.net)
	first, err := readFrame(r)
	if err != nil {
		return hello{}, nil, err
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return hello{}, nil, fmt.Errorf("hslink: %w", err)
	}
	h, err := checkHello(first, dialled)
	return h, r, err
}

// run reads and writes until the connection ends.
func (l *Links) run(c *conn, r *bufio.Reader, peer hsstate.Peer) error {
	l.tasks.Go(func() {
		c.write(l.config.Heartbeat, func(n hsid.Bytes) { l.Counters.SentBytes.Add(int64(n)) })
	})
	err := c.read(r, l.config.Heartbeat, func(payload []byte) error {
		m, err := hscodec.DecodeMessage(payload)
		if err != nil {
			return err
		}
		l.Counters.Received.Add(1)
		l.Counters.ReceivedBytes.Add(int64(len(payload) + headerSize))
		l.receive(peer, m)
		return nil
	})
	if err == errSilent {
		l.Counters.Replaced.Add(1)
		l.log.Info("silent connection is replaced", "peer", peer)
	}
	return err
}

func (l *Links) track(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.context.Err() != nil {
		c.stop()
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *Links) untrack(c *conn) {
	c.stop()
	l.mutex.Lock()
	delete(l.open, c)
	l.mutex.Unlock()
}

func (l *Links) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.context.Done():
	}
}
