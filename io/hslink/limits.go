package hslink

import (
	"errors"
	"fmt"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hscodec"
)

// ErrTooLarge is wrapped by errors about messages that exceed a limit of the links.
var ErrTooLarge = errors.New("hslink: message too large")

// Limits checks messages against the limits of the links: MaxFrame, and the lengths of lists that a receiver accepts.
type Limits struct{}

// Check returns an ErrTooLarge for a message that Send would drop or that its receiver would refuse.
func (Limits) Check(m hsmessage.Message) error {
	payload, err := encode(m)
	if err != nil {
		return err
	}
	if err := hscodec.CheckMessage(payload); err != nil {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	return nil
}

// encode encodes a message. With an ErrTooLarge it also returns the payload that doesn't fit into a frame.
func encode(m hsmessage.Message) ([]byte, error) {
	payload, err := hscodec.EncodeMessage(m)
	if err != nil {
		return nil, err
	}
	if size := hsid.Bytes(len(payload)); size > MaxFrame {
		return payload, fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, size, MaxFrame)
	}
	return payload, nil
}
