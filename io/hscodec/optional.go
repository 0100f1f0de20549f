package hscodec

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"hyssopseam/core/hsview"
	"hyssopseam/core/hswork"
)

// optionalFields is a struct whose last fields are optional.
type optionalFields struct {
	typeOf reflect.Type
	// required is the number of fields that are always encoded: those of the builds before the first optional one. The fields of
	// an embedded struct count as those of the struct itself.
	required int
}

// withOptional describes a struct that has optional fields after the given number of required ones. That number must never
// change.
func withOptional[T any](required int) optionalFields {
	return optionalFields{typeOf: reflect.TypeFor[T](), required: required}
}

// optionalTypes lists the structs with optional trailing fields. A new field goes at the end of its struct, which is added
// here with the number of fields that it had before.
var optionalTypes = []optionalFields{
	withOptional[hswork.State](6),
	withOptional[hswork.Command](9),
	withOptional[hswork.Submit](9),
	withOptional[hswork.Job](20),
	withOptional[hsview.Status](19),
}

func init() {
	for _, o := range optionalTypes {
		msgpack.Register(reflect.Zero(o.typeOf).Interface(), o.encode, o.decode)
	}
}

// encode writes the fields up to the last one that isn't zero, and at least the required ones.
func (o optionalFields) encode(e *msgpack.Encoder, v reflect.Value) error {
	fields := fieldsOf(v)
	count := len(fields)
	for count > o.required && isAbsent(fields[count-1]) {
		count--
	}
	if err := e.EncodeArrayLen(count); err != nil {
		return fmt.Errorf("hscodec: %w", err)
	}
	for i := range count {
		if err := e.EncodeValue(fields[i]); err != nil {
			return fmt.Errorf("hscodec: encode field %d of %s: %w", i, o.typeOf, err)
		}
	}
	return nil
}

// decode reads a struct without some or all of its optional fields, which become zero.
func (o optionalFields) decode(d *msgpack.Decoder, v reflect.Value) error {
	count, err := d.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("hscodec: decode %s: %w", o.typeOf, err)
	}
	v.SetZero()
	if count <= 0 {
		return nil // nil, which stands for the zero value.
	}
	fields := fieldsOf(v)
	if count < o.required || count > len(fields) {
		return fmt.Errorf("hscodec: %s has %d fields, want %d to %d", o.typeOf, count, o.required, len(fields))
	}
	for i := range count {
		if err := d.DecodeValue(fields[i]); err != nil {
			return fmt.Errorf("hscodec: decode field %d of %s: %w", i, o.typeOf, err)
		}
	}
	return nil
}

// fieldsOf returns the fields of a struct in the order in which they are encoded, with those of embedded structs in their
// place, as the encoder has them in structs without optional fields.
func fieldsOf(v reflect.Value) []reflect.Value {
	fields := make([]reflect.Value, 0, v.NumField())
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.Anonymous && f.Type.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(v.Field(i))...)
		} else {
			fields = append(fields, v.Field(i))
		}
	}
	return fields
}

// isAbsent reports whether an optional field is left out: it is zero, or an empty map or slice.
func isAbsent(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Map, reflect.Slice:
		return v.Len() == 0
	}
	return v.IsZero()
}
