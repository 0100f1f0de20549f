package hsjson

import "io"

// MaxDepth is the nesting depth below which LimitDepth passes values on. No document of the system's protocols comes
// near it, and encoding/json refuses a whole document with a value that is nested very deeply.
const MaxDepth = 64

// LimitDepth returns a reader of the JSON text in r in which every array and object nested deeper than MaxDepth is
// replaced by null, so that one such value doesn't spoil the rest of the document. The text isn't checked; invalid text
// stays invalid.
func LimitDepth(r io.Reader) io.Reader { return &depthLimiter{source: r} }

type depthLimiter struct {
	source io.Reader
	// depth counts the arrays and objects that are open. While skipping is set, the text is dropped until depth is
	// MaxDepth again.
	depth    int
	skipping bool
	inString bool
	escaped  bool
	buffer   [4096]byte
	// pending is filtered text that hasn't been read yet.
	pending []byte
}

// Read implements io.Reader.
func (l *depthLimiter) Read(p []byte) (int, error) {
	for len(l.pending) == 0 {
		n, err := l.source.Read(l.buffer[:])
		l.filter(l.buffer[:n])
		if err != nil && len(l.pending) == 0 {
			return 0, err
		}
		if err != nil {
			break
		}
	}
	n := copy(p, l.pending)
	l.pending = l.pending[n:]
	return n, nil
}

// filter appends the text to pass on to pending.
func (l *depthLimiter) filter(text []byte) {
	l.pending = l.pending[:0]
	for _, b := range text {
		if !l.skipNext(b) {
			l.pending = append(l.pending, b)
		}
	}
}

// skipNext follows the text by one byte and reports whether the byte is dropped.
func (l *depthLimiter) skipNext(b byte) bool {
	skipping := l.skipping
	switch {
	case l.escaped:
		l.escaped = false
	case l.inString:
		l.escaped = b == '\\'
		l.inString = b != '"'
	case b == '"':
		l.inString = true
	case b == '[' || b == '{':
		if l.depth++; l.depth > MaxDepth && !l.skipping {
			l.skipping = true
			l.pending = append(l.pending, "null"...)
			return true
		}
	case b == ']' || b == '}':
		if l.depth--; l.depth <= MaxDepth {
			l.skipping = false
		}
	}
	return skipping
}
