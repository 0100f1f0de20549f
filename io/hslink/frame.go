package hslink

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"hyssopseam/core/hsid"
)

// MaxFrame is the largest frame that is sent or taken.
const MaxFrame = 8 * hsid.MiB

// headerSize is the size of the length in front of each frame.
const headerSize = 4

// ErrFrame is wrapped by errors about frames that break the protocol.
var ErrFrame = errors.New("hslink: bad frame")

// appendFrame appends a frame with its length in front.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

// readFrame reads one frame. An empty frame is a heartbeat. Memory is taken as bytes arrive, so a peer
// that announces a large frame and sends nothing costs nothing.
func readFrame(r io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := hsid.Bytes(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes, the bound is %d", ErrFrame, size, MaxFrame)
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
