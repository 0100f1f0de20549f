package hslink

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hyssopseam/core/hsid"
)

// errSilent is the reason for closing a connection on which nothing arrived for silentHeartbeats heartbeats.
var errSilent = errors.New("hslink: the peer is silent")

// conn is one connection with a reader and a writer goroutine.
type conn struct {
	net   net.Conn
	out   chan []byte
	done  chan struct{}
	close sync.Once
}

func newConn(n net.Conn, backlog int) *conn {
	return &conn{net: n, out: make(chan []byte, backlog), done: make(chan struct{})}
}

// stop closes the connection, which ends both goroutines. It is safe for concurrent use and may be called repeatedly.
func (c *conn) stop() {
	c.close.Do(func() {
		close(c.done)
		_ = c.net.Close()
	})
}

// offer queues a payload without blocking. It returns false when the queue is full or the connection has ended.
func (c *conn) offer(payload []byte) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.out <- payload:
		return true
	default:
		return false
	}
}

// write sends queued payloads, and an empty frame at every heartbeat interval. Payloads that are queued together are
// sent in one write.
func (c *conn) write(heartbeat time.Duration, countBytes func(n hsid.Bytes)) {
	defer c.stop()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	var batch []byte
	for {
		select {
		case <-c.done:
			return
		case payload := <-c.out:
			batch = appendFrame(batch[:0], payload)
			batch = c.coalesce(batch)
		case <-ticker.C:
			batch = appendFrame(batch[:0], nil)
		}
		if err := c.net.SetWriteDeadline(time.Now().Add(silentHeartbeats * heartbeat)); err != nil {
			return
		}
		if _, err := c.net.Write(batch); err != nil {
			return
		}
		countBytes(hsid.Bytes(len(batch)))
	}
}

// maxBatch is the size in bytes from which on no more frames are added to a write.
const maxBatch = 256 << 10

// coalesce appends queued payloads to a batch until the queue is empty or the batch has maxBatch bytes.
func (c *conn) coalesce(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case payload := <-c.out:
			batch = appendFrame(batch, payload)
		default:
			return batch
		}
	}
	return batch
}

// read passes payloads to handle until the connection ends, is silent, or handle fails. It returns the reason.
func (c *conn) read(r *bufio.Reader, heartbeat time.Duration, handle func(payload []byte) error) error {
	defer c.stop()
	for {
		if err := c.net.SetReadDeadline(time.Now().Add(silentHeartbeats * heartbeat)); err != nil {
			return fmt.Errorf("hslink: %w", err)
		}
		payload, err := readFrame(r)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return errSilent
		}
		if err != nil {
			return err
		}
		if len(payload) == 0 {
			continue
		}
		if err := handle(payload); err != nil {
			return err
		}
	}
}
