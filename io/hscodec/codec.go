// Package hscodec encodes and decodes messages, states and records as MessagePack.
//
// Structs are encoded as arrays in the order of their fields. A reader refuses an array of another length, so no field may be
// removed or moved in what is stored or sent between processes of different builds. A field may be added only as an optional one
// at the end, see optionalTypes: it is left out while it is zero, so that builds without it read the rest. Every message starts
// with a byte that identifies its type.
//
// All functions are safe for concurrent use.
//
// # Usage
//
//	data, err := hscodec.EncodeMessage(hsmessage.Renewal{Instance: "w1"})
//	m, err := hscodec.DecodeMessage(data)
package hscodec

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// ErrMessage is wrapped by errors about bytes that aren't a valid message.
var ErrMessage = errors.New("hscodec: not a message")

// kind identifies a message type on the wire.
type kind byte

// messageType describes a message type and how to decode it.
type messageType struct {
	kind   kind
	typeOf reflect.Type
	decode func(data []byte) (hsmessage.Message, error)
}

// newMessageType assigns a kind to a message type. A kind must never be reused for another type.
func newMessageType[T hsmessage.Message](k kind) messageType {
	return messageType{
		kind:   k,
		typeOf: reflect.TypeFor[T](),
		decode: func(data []byte) (hsmessage.Message, error) {
			m, err := Unmarshal[T](data)
			if err != nil {
				return nil, err
			}
			return m, nil
		},
	}
}

var messageTypes = []messageType{
	newMessageType[hsmessage.VoteRequest](1),
	newMessageType[hsmessage.VoteReply](2),
	newMessageType[hsmessage.AppendRequest](3),
	newMessageType[hsmessage.AppendReply](4),
	newMessageType[hsmessage.SnapshotChunk](5),
	newMessageType[hsmessage.SnapshotReply](6),
	newMessageType[hsmessage.TransferLeadership](7),
	newMessageType[hsmessage.JoinRequest](8),
	newMessageType[hsmessage.Renewal](9),
	newMessageType[hsmessage.Lease](10),
	newMessageType[hsmessage.AgentReport](11),
	newMessageType[hsmessage.Orders](12),
	newMessageType[hsmessage.Redirect](13),
	newMessageType[hsmessage.Request](14),
	newMessageType[hsmessage.Reply](15),
	newMessageType[hsmessage.RunnerReport](16),
	newMessageType[hsmessage.Plan](17),
}

var (
	byType = map[reflect.Type]kind{}
	byKind = map[kind]messageType{}
)

func init() {
	for _, e := range messageTypes {
		byType[e.typeOf] = e.kind
		byKind[e.kind] = e
	}
}

// Marshal encodes a value.
func Marshal[T any](v T) ([]byte, error) {
	var b bytes.Buffer
	if err := marshalTo(&b, v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func marshalTo[T any](b *bytes.Buffer, v T) error {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(b)
	configure(e)
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("hscodec: encode %T: %w", v, err)
	}
	return nil
}

// configure sets the format of an encoder that was reset.
func configure(e *msgpack.Encoder) {
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
}

// Unmarshal decodes a value that Marshal encoded. It trusts the lengths in the data; see UnmarshalUntrusted.
func Unmarshal[T any](data []byte) (T, error) {
	var v T
	if err := msgpack.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("hscodec: decode %T: %w", v, err)
	}
	return v, nil
}

// UnmarshalUntrusted is Unmarshal for data from a peer; it checks the lengths in the data first.
func UnmarshalUntrusted[T any](data []byte) (T, error) {
	if err := checkLengths(data); err != nil {
		var zero T
		return zero, err
	}
	return Unmarshal[T](data)
}

// EncodeMessage encodes a message, prefixed with its kind. It fails for a type without a kind.
func EncodeMessage(m hsmessage.Message) ([]byte, error) {
	k, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("%w: %T has no kind", ErrMessage, m)
	}
	var b bytes.Buffer
	b.WriteByte(byte(k))
	if err := marshalTo(&b, m); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// CheckMessage reports whether the lengths in an encoded message are within what DecodeMessage accepts.
func CheckMessage(data []byte) error {
	if len(data) == 0 {
		return fmt.Errorf("%w: empty", ErrMessage)
	}
	return checkLengths(data[1:])
}

// DecodeMessage decodes a message. Data from a faulty or hostile peer causes an error, never a panic, and uses no more
// memory than a message within the limits.
func DecodeMessage(data []byte) (m hsmessage.Message, err error) {
	if err := CheckMessage(data); err != nil {
		return nil, err
	}
	e, ok := byKind[kind(data[0])]
	if !ok {
		return nil, fmt.Errorf("%w: unknown kind %d", ErrMessage, data[0])
	}
	defer func() {
		if r := recover(); r != nil {
			m, err = nil, fmt.Errorf("%w: %v", ErrMessage, r)
		}
	}()
	return e.decode(data[1:])
}

// State encodes and decodes the state of a snapshot.
type State struct{}

// EncodeState returns the encoded state. It panics if encoding fails, which can't happen for the types of a state.
func (State) EncodeState(s *hsstate.State) []byte {
	data, err := Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeState decodes a state. Maps that are nil in the encoded state become empty ones.
func (State) DecodeState(data []byte) (*hsstate.State, error) {
	s := hsstate.New()
	decoded, err := Unmarshal[hsstate.State](data)
	if err != nil {
		return nil, err
	}
	empty := *s
	*s = decoded
	if s.Jobs == nil {
		s.Jobs = empty.Jobs
	}
	if s.Queued == nil {
		s.Queued = empty.Queued
	}
	if s.Work == nil {
		s.Work = empty.Work
	}
	if s.Work.Jobs == nil {
		s.Work.Jobs = empty.Work.Jobs
	}
	if s.Work.RunTimes == nil {
		s.Work.RunTimes = empty.Work.RunTimes
	}
	if s.Work.Speeds == nil {
		s.Work.Speeds = empty.Work.Speeds
	}
	return s, nil
}
