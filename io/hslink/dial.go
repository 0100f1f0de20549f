package hslink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"hyssopseam/core/hsstate"
)

// dialledPeer is a peer that this process dials and keeps connected.
type dialledPeer struct {
	out      chan []byte
	lastUsed atomic.Int64
	// wake ends the pause before the next dial, or the dial in progress, which may be waiting for a host that was down.
	wake chan struct{}
}

// keepConnected dials a peer again whenever its connection ends, until nothing was sent to it for maxIdle.
func (l *Links) keepConnected(to hsstate.Peer, d *dialledPeer) {
	delay := l.config.RedialDelay
	for l.context.Err() == nil && !l.forgetIdle(to, d) {
		began := time.Now()
		err := l.connect(to, d)
		if errors.Is(err, errWoken) {
			continue
		}
		if err != nil {
			l.log.Debug("connection ended", "peer", to, "error", err)
			l.dropQueued(d)
			if l.config.OnUnreachable != nil && l.context.Err() == nil {
				l.config.OnUnreachable(to)
			}
		}
		if time.Since(began) > l.config.MaxRedialDelay {
			delay = l.config.RedialDelay
		}
		if l.sleep(delay+rand.N(delay), d.wake) {
			delay = l.config.RedialDelay
			continue
		}
		delay = min(2*delay, l.config.MaxRedialDelay)
	}
}

// wakeDialler dials the peers on a host that has just connected at once. Such a host may have been down; a dial that began
// then waits for a packet that is sent again only after a second or more.
func (l *Links) wakeDialler(from net.Addr) {
	host, _, err := net.SplitHostPort(from.String())
	if err != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, d := range l.dialled {
		if h, _, err := net.SplitHostPort(string(address)); err != nil || h != host {
			continue
		}
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// dropQueued drops the messages queued for an unreachable peer; they would be stale by the time they arrive.
func (l *Links) dropQueued(d *dialledPeer) {
	for {
		select {
		case <-d.out:
			l.Counters.Dropped.Add(1)
		default:
			return
		}
	}
}

// forgetIdle removes a peer that nothing was sent to for maxIdle, and reports whether it did.
func (l *Links) forgetIdle(to hsstate.Peer, d *dialledPeer) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	idle := time.Duration(time.Now().UnixNano() - d.lastUsed.Load())
	if idle < maxIdle {
		return false
	}
	delete(l.dialled, to)
	return true
}

func (l *Links) connect(to hsstate.Peer, d *dialledPeer) error {
	dialer := net.Dialer{Timeout: silentHeartbeats * l.config.Heartbeat}
	if l.config.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.config.Source}
	}
	n, err := l.dial(&dialer, to, d)
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
	_, r, err := l.handshake(c, true)
	if err != nil {
		l.log.Warn("handshake with the peer failed", "address", to, "error", err)
		return err
	}
	return l.readAndWrite(c, r, to)
}

// errWoken is the reason for giving up a dial when the peer's host has connected to this process meanwhile.
var errWoken = errors.New("hslink: the peer's host has connected")

// dial opens a connection. It returns errWoken when the peer's host connects to this process meanwhile.
func (l *Links) dial(dialer *net.Dialer, to hsstate.Peer, d *dialledPeer) (net.Conn, error) {
	select {
	case <-d.wake: // It was for an earlier dial.
	default:
	}
	dialing, cancel := context.WithCancel(l.context)
	defer cancel()
	var woken atomic.Bool
	l.goroutines.Go(func() {
		select {
		case <-d.wake:
			woken.Store(true)
			cancel()
		case <-dialing.Done():
		}
	})
	n, err := dialer.DialContext(dialing, "tcp", string(to))
	if err != nil && woken.Load() {
		return nil, errWoken
	}
	return n, err
}

// sleep pauses, and reports whether wake ended the pause.
func (l *Links) sleep(d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
		return true
	case <-t.C:
	case <-l.context.Done():
	}
	return false
}
