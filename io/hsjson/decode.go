package hsjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// Unmarshal reads what Marshal wrote into the value that into points to. Unknown names are passed over.
func Unmarshal(data []byte, into any) error {
	var tree any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("hsjson: %w", err)
	}
	if err := assign(reflect.ValueOf(into).Elem(), tree); err != nil {
		return fmt.Errorf("hsjson: %w", err)
	}
	return nil
}

func assign(v reflect.Value, tree any) error {
	if tree == nil {
		return nil
	}
	if text, ok := tree.(string); ok && v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		v.SetInt(int64(d))
		return nil
	}
	switch x := tree.(type) {
	case map[string]any:
		return assignObject(v, x)
	case []any:
		return assignList(v, x)
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v.Addr().Interface())
}

func assignObject(v reflect.Value, object map[string]any) error {
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if v.Kind() != reflect.Struct {
		return fmt.Errorf("an object can't be read into %s", v.Type())
	}
	for i := range v.NumField() {
		if child, ok := object[Name(v.Type().Field(i).Name)]; ok {
			if err := assign(v.Field(i), child); err != nil {
				return err
			}
		}
	}
	return nil
}

func assignList(v reflect.Value, list []any) error {
	if v.Kind() != reflect.Slice {
		return fmt.Errorf("a list can't be read into %s", v.Type())
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, child := range list {
		if err := assign(v.Index(i), child); err != nil {
			return err
		}
	}
	return nil
}
