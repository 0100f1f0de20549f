package hscodec_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

// fill sets everything in a value to something else than zero: numbers to 1, slices and maps to one element.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("a")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	}
}

func filled[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem())
	return v
}

// formats returns the encoding of a filled value of each type that is sent or stored, in hexadecimal digits.
func formats(t *testing.T) []string {
	t.Helper()
	var lines []string
	for _, m := range []hsmessage.Message{
		filled[hsmessage.VoteRequest](), filled[hsmessage.VoteReply](), filled[hsmessage.AppendRequest](), filled[hsmessage.AppendReply](),
		filled[hsmessage.SnapshotChunk](), filled[hsmessage.SnapshotReply](), filled[hsmessage.TransferLeadership](), filled[hsmessage.JoinRequest](),
		filled[hsmessage.Renewal](), filled[hsmessage.Lease](), filled[hsmessage.AgentReport](), filled[hsmessage.Orders](),
		filled[hsmessage.Redirect](), filled[hsmessage.Request](), filled[hsmessage.Reply](), filled[hsmessage.RunnerReport](), filled[hsmessage.Plan](),
	} {
		data, err := hscodec.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%T %s", m, hex.EncodeToString(data)))
	}
	state := filled[hsstate.State]()
	lines = append(lines, fmt.Sprintf("%T %s", state, hex.EncodeToString(hscodec.State{}.EncodeState(&state))))
	return lines
}

// TestFormat compares the encodings with those of an earlier build. Where they differ, a build doesn't read what the other one
// stored, and processes of both can't talk to each other: a replica wouldn't start after an upgrade.
func TestFormat(t *testing.T) {
	stored, err := os.ReadFile("testdata/format.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(stored)), "\n")
	got := formats(t)
	if len(got) != len(want) {
		t.Fatalf("got %d types, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("got %.120s, want %.120s", got[i], want[i])
		}
	}
}
