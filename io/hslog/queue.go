package hslog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is the number of lines that can be queued; further lines are dropped and counted.
	queueCapacity = 4096
	// maxLinesPerSecond limits the lines per second, so that a flood of log lines costs little.
	maxLinesPerSecond = 1000
)

// Queue writes lines on its own goroutine, so that logging never blocks on the output. Lines that find the queue full
// or exceed the limit per second are dropped; a later line reports how many. It is safe for concurrent use.
type Queue struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mutex         sync.Mutex
	closed        bool
	currentSecond int64
	linesInSecond int
	dropped       int
}

// NewQueue returns a queue that writes to out until Close is called.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go q.run()
	return q
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		_, _ = q.out.Write(line)
	}
}

// Write queues one line. It never blocks on the output and always reports success.
func (q *Queue) Write(line []byte) (int, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now := time.Now().Unix(); now != q.currentSecond {
		q.currentSecond = now
		q.linesInSecond = 0
		if q.dropped > 0 {
			note := fmt.Sprintf("level=WARN msg=\"log: lines were dropped\" lines=%d\n", q.dropped)
			q.dropped = 0
			q.enqueue([]byte(note))
		}
	}
	q.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

func (q *Queue) enqueue(line []byte) {
	q.linesInSecond++
	if q.closed || q.linesInSecond > maxLinesPerSecond {
		q.dropped++
		return
	}
	select {
	case q.lines <- line:
	default:
		q.dropped++
	}
}

// Close writes the queued lines and ends the goroutine. Later lines are dropped.
func (q *Queue) Close() {
	q.mutex.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mutex.Unlock()
	<-q.done
}
