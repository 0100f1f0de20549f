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

// errSilent ends a connection on which nothing arrived for three heartbeats.
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

// stop closes the connection; both goroutines end. It is safe for concurrent use.
func (c *conn) stop() {
	c.close.Do(func() {
		close(c.done)
		_ = c.net.Close()
	})
}

// offer queues a payload, and reports false when the queue is full or the connection ended.
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

// write sends queued payloads, and a heartbeat when nothing else is sent. Frames that wait together go
// out in one write.
func (c *conn) write(heartbeat time.Duration, count func(n hsid.Bytes)) {
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
			batch = c.gather(batch)
		case <-ticker.C:
			batch = appendFrame(batch[:0], nil)
		}
		if err := c.net.SetWriteDeadline(time.Now().Add(silentHeartbeats * heartbeat)); err != nil {
			return
		}
		if _, err := c.net.Write(batch); err != nil {
			return
		}
		count(hsid.Bytes(len(batch)))
	}
}

// maxBatch bounds the bytes of one write.
const maxBatch = 256 << 10

func (c *conn) gather(batch []byte) []byte {
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

// read takes frames until the connection ends or is silent, and returns why.
func (c *conn) read(r *bufio.Reader, heartbeat time.Duration, take func(payload []byte) error) error {
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
		if err := take(payload); err != nil {
			return err
		}
	}
}
