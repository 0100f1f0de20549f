// Package hsjson encodes and decodes views as JSON, with names in camel case and durations as text.
//
// The views have no struct tags, so that the packages under core don't depend on their encoding. Fields keep their
// order; empty slices, empty strings and nil pointers are omitted. Bytes are encoded as base64.
//
// # Usage
//
//	data, err := hsjson.Marshal(view)
//	err = hsjson.Unmarshal(data, &view)
package hsjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"time"
	"unicode"
	"unicode/utf8"
)

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := encode(&b, reflect.ValueOf(v)); err != nil {
		return nil, fmt.Errorf("hsjson: %w", err)
	}
	return b.Bytes(), nil
}

var durationType = reflect.TypeFor[time.Duration]()

func encode(b *bytes.Buffer, v reflect.Value) error {
	if !v.IsValid() {
		b.WriteString("null")
		return nil
	}
	if v.Type() == durationType {
		return encodePlain(b, time.Duration(v.Int()).String())
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return encode(b, v.Elem())
	case reflect.Struct:
		return encodeStruct(b, v)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return encodePlain(b, v.Bytes())
		}
		return encodeSlice(b, v)
	}
	return encodePlain(b, v.Interface())
}

func encodePlain(b *bytes.Buffer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.Write(data)
	return nil
}

func encodeStruct(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('{')
	first := true
	for i := range v.NumField() {
		if isOmitted(v.Field(i)) {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		if err := encodePlain(b, Name(v.Type().Field(i).Name)); err != nil {
			return err
		}
		b.WriteByte(':')
		if err := encode(b, v.Field(i)); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

func isOmitted(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Slice, reflect.String:
		return v.Len() == 0
	case reflect.Pointer, reflect.Interface:
		return v.IsNil()
	}
	return false
}

func encodeSlice(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := encode(b, v.Index(i)); err != nil {
			return err
		}
	}
	b.WriteByte(']')
	return nil
}

// Name returns the JSON name of a field, in camel case: ID becomes id, AnswerSum becomes answerSum.
func Name(field string) string {
	first, size := utf8.DecodeRuneInString(field)
	if field == "ID" {
		return "id"
	}
	return string(unicode.ToLower(first)) + field[size:]
}
