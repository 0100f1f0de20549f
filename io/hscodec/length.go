package hscodec

import (
	"encoding/binary"
	"fmt"
)

// Limits of what a peer may send in one message.
const (
	// maxElements limits the elements of each map; arrays may have twice as many. The largest one in use lists the jobs
	// of a cancellation.
	maxElements = 1 << 16
	// maxDepth limits the nesting of arrays and maps.
	maxDepth = 32
)

// checkLengths scans encoded values before they are decoded. It rejects arrays, maps, strings and byte strings whose
// length exceeds the remaining data or the limits, because the library allocates memory for the whole length at once.
func checkLengths(data []byte) error {
	// remaining holds the number of values that are still expected at each depth.
	remaining := []int{1}
	for len(remaining) > 0 {
		last := len(remaining) - 1
		if remaining[last] == 0 {
			remaining = remaining[:last]
			continue
		}
		remaining[last]--
		skip, values, ok := valueSize(data)
		if !ok || skip > len(data) || values > len(data) || values > 2*maxElements {
			return fmt.Errorf("%w: a length exceeds the message or the limits", ErrMessage)
		}
		data = data[skip:]
		if values > 0 {
			remaining = append(remaining, values)
		}
		if len(remaining) > maxDepth {
			return fmt.Errorf("%w: nested too deeply", ErrMessage)
		}
	}
	return nil
}

// valueSize returns the size in bytes of a value's head and scalar content, and the number of values nested in it. It
// returns false for a value that is cut short or of an unknown type.
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
	return longValueSize(c, data[1:])
}

// longValueSize is valueSize for heads that are followed by a length or by content of a fixed size.
func longValueSize(c byte, rest []byte) (skip, values int, ok bool) {
	if size, fixed := fixedSizes[c]; fixed {
		return 1 + size, 0, true
	}
	l, known := lengthFormats[c]
	if !known || len(rest) < l.lengthBytes {
		return 0, 0, false
	}
	var buffer [8]byte
	copy(buffer[8-l.lengthBytes:], rest[:l.lengthBytes])
	n := int(binary.BigEndian.Uint64(buffer[:]))
	if l.valuesPerElement > 0 {
		return 1 + l.lengthBytes, l.valuesPerElement * n, true
	}
	return 1 + l.lengthBytes + l.extraBytes + n, 0, true
}

// fixedSizes holds the number of bytes that follow the heads of numbers and fixed-size extensions.
var fixedSizes = map[byte]int{
	0xca: 4, 0xcb: 8,
	0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8,
	0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
}

// lengthFormat describes how a length is encoded: in how many bytes, followed by how many further bytes before the
// content, and for arrays and maps how many values each element consists of.
type lengthFormat struct {
	lengthBytes      int
	extraBytes       int
	valuesPerElement int
}

var lengthFormats = map[byte]lengthFormat{
	0xc4: {lengthBytes: 1}, 0xc5: {lengthBytes: 2}, 0xc6: {lengthBytes: 4},
	0xc7: {lengthBytes: 1, extraBytes: 1}, 0xc8: {lengthBytes: 2, extraBytes: 1}, 0xc9: {lengthBytes: 4, extraBytes: 1},
	0xd9: {lengthBytes: 1}, 0xda: {lengthBytes: 2}, 0xdb: {lengthBytes: 4},
	0xdc: {lengthBytes: 2, valuesPerElement: 1}, 0xdd: {lengthBytes: 4, valuesPerElement: 1},
	0xde: {lengthBytes: 2, valuesPerElement: 2}, 0xdf: {lengthBytes: 4, valuesPerElement: 2},
}
