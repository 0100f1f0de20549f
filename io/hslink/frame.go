package hslink

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"hyssopseam/core/hsid"
)

// MaxFrame is the largest payload that is sent or accepted.
const MaxFrame = 8 * hsid.MiB

// headerSize is the size of the length prefix of each frame, in bytes.
const headerSize = 4

// ErrFrame is wrapped by errors about frames that violate the protocol.
var ErrFrame = errors.New("hslink: bad frame")

// appendFrame appends a payload with its length prefix.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// readFrame reads one frame. An empty frame is a heartbeat. Memory is allocated as bytes arrive, so a peer that
// announces a large frame and then sends nothing costs no memory.
func readFrame(r io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := hsid.Bytes(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrFrame, size, MaxFrame)
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if hsid.Bytes(len(payload)) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return payload, nil
}
