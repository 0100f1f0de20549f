package hsjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// Unmarshal decodes JSON that Marshal wrote into the value that into points to. Unknown names are ignored.
func Unmarshal(data []byte, into any) error {
	var value any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&value); err != nil {
		return fmt.Errorf("hsjson: %w", err)
	}
	if err := decodeInto(reflect.ValueOf(into).Elem(), value); err != nil {
		return fmt.Errorf("hsjson: %w", err)
	}
	return nil
}

func decodeInto(v reflect.Value, value any) error {
	if value == nil {
		return nil
	}
	if text, ok := value.(string); ok && v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		v.SetInt(int64(d))
		return nil
	}
	switch x := value.(type) {
	case map[string]any:
		return decodeObject(v, x)
	case []any:
		return decodeList(v, x)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v.Addr().Interface())
}

func decodeObject(v reflect.Value, object map[string]any) error {
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if v.Kind() != reflect.Struct {
		return fmt.Errorf("cannot decode an object into %s", v.Type())
	}
	for i := range v.NumField() {
		if child, ok := object[Name(v.Type().Field(i).Name)]; ok {
			if err := decodeInto(v.Field(i), child); err != nil {
				return err
			}
		}
	}
	return nil
}

func decodeList(v reflect.Value, list []any) error {
	if v.Kind() != reflect.Slice {
		return fmt.Errorf("cannot decode an array into %s", v.Type())
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, child := range list {
		if err := decodeInto(v.Index(i), child); err != nil {
			return err
		}
	}
	return nil
}
