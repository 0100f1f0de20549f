package hscodec

import (
	"encoding/binary"
	"fmt"
)

// Bounds of what a peer may send in one message.
const (
	// maxElements bounds each array or map. The largest real one lists the jobs of a cancellation.
	maxElements = 1 << 16
	// maxDepth bounds how deep arrays and maps lie in each other.
	maxDepth = 32
)

// checkLengths walks over encoded values before they are decoded. It refuses arrays, maps, texts and bytes
// that say to be longer than what follows, or over the bounds: the library takes memory for them at once.
func checkLengths(data []byte) error {
	// open holds how many values are still to come at each depth.
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		skip, values, ok := valueSize(data)
		if !ok || skip > len(data) || values > len(data) || values > 2*maxElements {
			return fmt.Errorf("%w: a length is beyond the message or its bounds", ErrMessage)
		}
		data = data[skip:]
		if values > 0 {
			open = append(open, values)
		}
		if len(open) > maxDepth {
			return fmt.Errorf("%w: it is nested too deep", ErrMessage)
		}
	}
	return nil
}

// valueSize returns how many bytes the head of a value and its plain content take, and how many values lie
// in it.
func valueSize(data []byte) (skip, values int, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	c := data[0]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return 1, 0, true
	case c <= 0x8f:
		return 1, 2 * int(c&0x0f), true
	case c <= 0x9f:
		return 1, int(c & 0x0f), true
	case c <= 0xbf:
		return 1 + int(c&0x1f), 0, true
	}
	return longSize(c, data[1:])
}

// longSize is valueSize for heads that are followed by a length or by a number of a fixed size.
func longSize(c byte, rest []byte) (skip, values int, ok bool) {
	if size, fixed := fixedSizes[c]; fixed {
		return 1 + size, 0, true
	}
	l, known := lengthSizes[c]
	if !known || len(rest) < l.bytes {
		return 0, 0, false
	}
	var buffer [8]byte
	copy(buffer[8-l.bytes:], rest[:l.bytes])
	n := int(binary.BigEndian.Uint64(buffer[:]))
	if l.values > 0 {
		return 1 + l.bytes, l.values * n, true
	}
	return 1 + l.bytes + l.extra + n, 0, true
}

// fixedSizes holds the bytes that follow the heads of numbers and short extensions.
var fixedSizes = map[byte]int{
	0xca: 4, 0xcb: 8,
	0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8,
	0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
}

// lengthSize tells how a length is written: on how many bytes, with how many more before the content, and
// for arrays and maps how many values each element has.
type lengthSize struct {
	bytes  int
	extra  int
	values int
}

var lengthSizes = map[byte]lengthSize{
	0xc4: {bytes: 1}, 0xc5: {bytes: 2}, 0xc6: {bytes: 4},
	0xc7: {bytes: 1, extra: 1}, 0xc8: {bytes: 2, extra: 1}, 0xc9: {bytes: 4, extra: 1},
	0xd9: {bytes: 1}, 0xda: {bytes: 2}, 0xdb: {bytes: 4},
	0xdc: {bytes: 2, values: 1}, 0xdd: {bytes: 4, values: 1},
	0xde: {bytes: 2, values: 2}, 0xdf: {bytes: 4, values: 2},
}
