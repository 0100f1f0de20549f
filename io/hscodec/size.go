package hscodec

import (
	"github.com/vmihailenco/msgpack/v5"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// EntrySizer measures entries of the replicated log.
type EntrySizer struct{}

// EntrySize returns the number of bytes that an entry takes in a message or record. It panics if encoding fails, which can't
// happen for the types of an entry.
func (EntrySizer) EntrySize(e *hsstate.Entry) hsid.Bytes {
	var c byteCounter
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&c)
	configure(encoder)
	if err := encoder.Encode(e); err != nil {
		panic(err)
	}
	return c.written
}

// byteCounter is a writer that only counts.
type byteCounter struct {
	written hsid.Bytes
}

// Write counts the bytes of p.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.written += hsid.Bytes(len(p))
	return len(p), nil
}

// WriteByte counts one byte.
func (c *byteCounter) WriteByte(byte) error {
	c.written++
	return nil
}
