// Package hslink carries messages between the processes as frames over TCP.
//
// Each message is one frame: a length of four bytes and the encoded message. The first frame on a connection, the
// hello, identifies the sender and the protocol version. Both ends send heartbeats; a connection on which nothing
// arrived for three heartbeats is closed and dialled again, even if TCP still considers it open. Messages may be lost
// when a connection ends or a queue is full: senders must resend the ones that matter.
//
// A peer with an address is dialled on the first message to it and kept connected. One that can't be reached is dialled again
// with increasing pauses, and at once when its host connects to this process. A peer that dialled this process is
// addressed by its instance; a newer connection from the same instance replaces the older one. Memory is bounded: at
// most Backlog messages are queued for each peer, and the size of frames is limited.
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
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

// Defaults of a Config, and fixed limits.
const (
	DefaultHeartbeat      = 500 * time.Millisecond
	DefaultBacklog        = 512
	DefaultRedialDelay    = 50 * time.Millisecond
	DefaultMaxRedialDelay = time.Second

	// silentHeartbeats is the number of heartbeats without a frame after which a connection is closed.
	silentHeartbeats = 3
	// acceptRetryDelay is the pause after an error while accepting a connection.
	acceptRetryDelay = 50 * time.Millisecond
	// maxIdle is how long after the last message to a peer its connection is dialled again when it ends. An open
	// connection isn't closed for being idle.
	maxIdle = time.Minute
)

// Config describes this process to its peers.
type Config struct {
	Instance hsid.InstanceID
	Roles    []hsmessage.Role
	// Address is the IP:port to listen on; empty for a process that only dials.
	Address hsstate.Peer
	// Source is the local IP address of outgoing connections; nil leaves the choice to the system.
	Source    net.IP
	Heartbeat time.Duration
	Backlog   int
	// RedialDelay is the shortest pause before a peer is dialled again, and MaxRedialDelay the longest; each pause takes up
	// to twice as long, and ends when the peer's host connects to this process.
	RedialDelay    time.Duration
	MaxRedialDelay time.Duration
	// ServerTLS and ClientTLS configure TLS for accepted and dialled connections; nil for plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// OnUnreachable is called when a dialled peer can't be reached or its connection ended. It may be nil.
	OnUnreachable func(peer hsstate.Peer)
}

// Receive handles a message. It may block, which applies back pressure to the sender.
type Receive func(from hsstate.Peer, m hsmessage.Message)

// Counters count messages and bytes of all links.
type Counters struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	Sent          atomic.Int64
	Received      atomic.Int64
	// Dropped counts messages that were too large, found a full queue or had no connection.
	Dropped atomic.Int64
	// ClosedSilent counts connections that were closed because the peer was silent.
	ClosedSilent atomic.Int64
}

// Links manages the connections of one process.
type Links struct {
	config   Config
	log      *slog.Logger
	receive  Receive
	Counters Counters

	context    context.Context
	cancel     context.CancelFunc
	listener   net.Listener
	goroutines sync.WaitGroup

	mutex    sync.Mutex
	dialled  map[hsstate.Peer]*dialledPeer
	accepted map[hsstate.Peer]*conn
	open     map[*conn]struct{}
}

// New returns links that don't listen yet.
func New(c Config, log *slog.Logger, receive Receive) *Links {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Backlog == 0 {
		c.Backlog = DefaultBacklog
	}
	if c.RedialDelay == 0 {
		c.RedialDelay = DefaultRedialDelay
	}
	if c.MaxRedialDelay == 0 {
		c.MaxRedialDelay = DefaultMaxRedialDelay
	}
	l := &Links{
		config:   c,
		log:      log,
		receive:  receive,
		dialled:  map[hsstate.Peer]*dialledPeer{},
		accepted: map[hsstate.Peer]*conn{},
		open:     map[*conn]struct{}{},
	}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

// Listen starts accepting connections. It does nothing without an address.
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
	l.goroutines.Go(l.acceptLoop)
	return nil
}

// Close closes all connections and waits for their goroutines.
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
	l.goroutines.Wait()
}

// Send queues a message to a peer. It never blocks; a message that can't be queued is dropped.
func (l *Links) Send(to hsstate.Peer, m hsmessage.Message) {
	payload, err := encode(m)
	if err != nil {
		l.log.Error("message can't be encoded or is too large", "to", to, "type", fmt.Sprintf("%T", m), "bytes", len(payload), "error", err)
		l.Counters.Dropped.Add(1)
		return
	}
	if l.enqueue(to, payload) {
		l.Counters.Sent.Add(1)
		return
	}
	l.Counters.Dropped.Add(1)
}

func (l *Links) enqueue(to hsstate.Peer, payload []byte) bool {
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
		d = &dialledPeer{out: make(chan []byte, l.config.Backlog), wake: make(chan struct{}, 1)}
		l.dialled[to] = d
		l.goroutines.Go(func() { l.keepConnected(to, d) })
	}
	d.lastUsed.Store(time.Now().UnixNano())
	select {
	case d.out <- payload:
		return true
	default:
		return false
	}
}

func (l *Links) acceptLoop() {
	for {
		n, err := l.listener.Accept()
		if l.context.Err() != nil {
			return
		}
		if err != nil {
			l.log.Warn("accepting a connection failed", "error", err)
			l.sleep(acceptRetryDelay, nil)
			continue
		}
		l.goroutines.Go(func() { l.serve(n) })
	}
}

// serve handles an incoming connection until it ends.
func (l *Links) serve(n net.Conn) {
	c := newConn(n, l.config.Backlog)
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	h, r, err := l.handshake(c, false)
	if err != nil {
		l.log.Warn("handshake with the peer failed", "address", n.RemoteAddr(), "error", err)
		return
	}
	peer := hsstate.Peer(h.Instance)
	l.mutex.Lock()
	if old := l.accepted[peer]; old != nil {
		old.stop()
	}
	l.accepted[peer] = c
	l.mutex.Unlock()
	l.wakeDialler(n.RemoteAddr())
	l.readAndWrite(c, r, peer)
	l.mutex.Lock()
	if l.accepted[peer] == c {
		delete(l.accepted, peer)
	}
	l.mutex.Unlock()
}

// handshake exchanges hello frames.
func (l *Links) handshake(c *conn, outgoing bool) (hello, *bufio.Reader, error) {
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
	h, err := checkHello(first, outgoing)
	return h, r, err
}

// readAndWrite transfers messages in both directions until the connection ends, and returns the reason.
func (l *Links) readAndWrite(c *conn, r *bufio.Reader, peer hsstate.Peer) error {
	l.goroutines.Go(func() {
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
		l.Counters.ClosedSilent.Add(1)
		l.log.Info("closed a silent connection", "peer", peer)
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
