// Package hscodec writes messages, states and records as MessagePack and reads them back.
//
// Structs are written as arrays in the order of their fields, so a field may be added at the end
// without breaking older readers, and none may be moved. Every message starts with a byte that names
// its type.
//
// All functions are safe for concurrent use.
//
// # Usage
//
//	data, err := hscodec.EncodeMessage(hsmessage.Renew{Instance: "w1"})
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

// ErrMessage is wrapped by every error about bytes that are no message.
var ErrMessage = errors.New("hscodec: not a message")

// kind names a message type on the wire.
type kind byte

// entry is one message type that can be written.
type entry struct {
	kind   kind
	typeOf reflect.Type
	decode func(data []byte) (hsmessage.Message, error)
}

// register lists a message type under its kind. A kind is never given to another type.
func register[T hsmessage.Message](k kind) entry {
	return entry{
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

var entries = []entry{
	register[hsmessage.VoteRequest](1),
	register[hsmessage.VoteReply](2),
	register[hsmessage.AppendRequest](3),
	register[hsmessage.AppendReply](4),
	register[hsmessage.SnapshotChunk](5),
	register[hsmessage.SnapshotReply](6),
	register[hsmessage.TransferLeadership](7),
	register[hsmessage.Newcomer](8),
	register[hsmessage.Renew](9),
	register[hsmessage.Lease](10),
	register[hsmessage.Report](11),
	register[hsmessage.Orders](12),
	register[hsmessage.Redirect](13),
	register[hsmessage.Request](14),
	register[hsmessage.Reply](15),
	register[hsmessage.Tally](16),
	register[hsmessage.Plan](17),
}

var (
	byType = map[reflect.Type]kind{}
	byKind = map[kind]entry{}
)

func init() {
	for _, e := range entries {
		byType[e.typeOf] = e.kind
		byKind[e.kind] = e
	}
}

// Marshal writes a value.
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
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("hscodec: encode %T: %w", v, err)
	}
	return nil
}

// Unmarshal reads a value that Marshal wrote.
func Unmarshal[T any](data []byte) (T, error) {
	var v T
	if err := msgpack.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("hscodec: decode %T: %w", v, err)
	}
	return v, nil
}

// UnmarshalPeer is Unmarshal for bytes that come from a peer; it checks their lengths first.
func UnmarshalPeer[T any](data []byte) (T, error) {
	if err := checkLengths(data); err != nil {
		var none T
		return none, err
	}
	return Unmarshal[T](data)
}

// EncodeMessage writes a message with its type.
func EncodeMessage(m hsmessage.Message) ([]byte, error) {
	k, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("%w: no kind for %T", ErrMessage, m)
	}
	var b bytes.Buffer
	b.WriteByte(byte(k))
	if err := marshalTo(&b, m); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecodeMessage reads a message. Bytes from a broken or hostile peer give an error, never a panic, and take no
// more memory than a message within the bounds.
func DecodeMessage(data []byte) (m hsmessage.Message, err error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("%w: it is empty", ErrMessage)
	}
	e, ok := byKind[kind(data[0])]
	if !ok {
		return nil, fmt.Errorf("%w: kind %d is unknown", ErrMessage, data[0])
	}
	if err := checkLengths(data[1:]); err != nil {
		return nil, err
	}
	defer func() {
		if r := recover(); r != nil {
			m, err = nil, fmt.Errorf("%w: %v", ErrMessage, r)
		}
	}()
	return e.decode(data[1:])
}

// State writes and reads snapshots.
type State struct{}

// EncodeState returns the encoded state. It panics when the state can't be encoded, which no state of
// this program is.
func (State) EncodeState(s *hsstate.State) []byte {
	data, err := Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeState reads an encoded state.
func (State) DecodeState(data []byte) (*hsstate.State, error) {
	s := hsstate.New()
	decoded, err := Unmarshal[hsstate.State](data)
	if err != nil {
		return nil, err
	}
	maps := *s
	*s = decoded
	if s.Jobs == nil {
		s.Jobs = maps.Jobs
	}
	if s.Queued == nil {
		s.Queued = maps.Queued
	}
	if s.Work == nil {
		s.Work = maps.Work
	}
	if s.Work.Jobs == nil {
		s.Work.Jobs = maps.Work.Jobs
	}
	if s.Work.Experiences == nil {
		s.Work.Experiences = maps.Work.Experiences
	}
	return s, nil
}
