package hslog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written; more are dropped and counted.
	queueLines = 4096
	// linesPerSecond bounds the lines of one second, so that a flood costs little.
	linesPerSecond = 1000
)

// Queue writes lines on a goroutine of its own, so that whoever logs never waits for the output. Lines that
// find the queue full, or exceed the bound of a second, are dropped; a line says how many. It is safe for
// concurrent use.
type Queue struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	closed  bool
	second  int64
	count   int
	dropped int
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		_, _ = q.out.Write(line)
	}
}

// Write takes one line. It always reports success.
func (q *Queue) Write(line []byte) (int, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now := time.Now().Unix(); now != q.second {
		q.second = now
		q.count = 0
		if q.dropped > 0 {
			note := fmt.Sprintf("level=WARN msg=\"log: lines were dropped\" lines=%d\n", q.dropped)
			q.dropped = 0
			q.put([]byte(note))
		}
	}
	q.put(append([]byte(nil), line...))
	return len(line), nil
}

func (q *Queue) put(line []byte) {
	q.count++
	if q.closed || q.count > linesPerSecond {
		q.dropped++
		return
	}
	select {
	case q.lines <- line:
	default:
		q.dropped++
	}
}

// Close writes what waits and ends the goroutine.
func (q *Queue) Close() {
	q.mutex.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mutex.Unlock()
	<-q.done
}
