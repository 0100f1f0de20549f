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
	"hyssopseam/core/hsview"
	"hyssopseam/core/hswork"
	"hyssopseam/io/hscodec"
)

// required holds the number of fields that structs with optional trailing fields had in the build that wrote
// testdata/format.txt.
var required = map[reflect.Type]int{
	reflect.TypeFor[hswork.State]():   6,
	reflect.TypeFor[hswork.Command](): 9,
	reflect.TypeFor[hswork.Submit]():  9,
	reflect.TypeFor[hswork.Job]():     15,
	reflect.TypeFor[hsview.Status]():  19,
}

// fill sets everything in a value to something else than zero: numbers to 1, slices and maps to one element. It leaves out
// optional fields unless optional is set.
func fill(v reflect.Value, optional bool) {
	switch v.Kind() {
	case reflect.Struct:
		fields := v.NumField()
		if n, ok := required[v.Type()]; ok && !optional {
			fields = n
		}
		for i := range fields {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), optional)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), optional)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), optional)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), optional)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, optional)
		fill(value, optional)
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

// filled returns a value with all its fields set, and filledAs one with or without the optional fields.
func filled[T any]() T { return filledAs[T](true) }

func filledAs[T any](optional bool) T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), optional)
	return v
}

// formats returns the encoding of a filled value of each type that is sent or stored, in hexadecimal digits.
func formats(t *testing.T, optional bool) []string {
	t.Helper()
	var lines []string
	for _, m := range []hsmessage.Message{
		filledAs[hsmessage.VoteRequest](optional), filledAs[hsmessage.VoteReply](optional), filledAs[hsmessage.AppendRequest](optional), filledAs[hsmessage.AppendReply](optional),
		filledAs[hsmessage.SnapshotChunk](optional), filledAs[hsmessage.SnapshotReply](optional), filledAs[hsmessage.TransferLeadership](optional), filledAs[hsmessage.JoinRequest](optional),
		filledAs[hsmessage.Renewal](optional), filledAs[hsmessage.Lease](optional), filledAs[hsmessage.AgentReport](optional), filledAs[hsmessage.Orders](optional),
		filledAs[hsmessage.Redirect](optional), filledAs[hsmessage.Request](optional), filledAs[hsmessage.Reply](optional), filledAs[hsmessage.RunnerReport](optional), filledAs[hsmessage.Plan](optional),
	} {
		data, err := hscodec.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%T %s", m, hex.EncodeToString(data)))
	}
	state := filledAs[hsstate.State](optional)
	lines = append(lines, fmt.Sprintf("%T %s", state, hex.EncodeToString(hscodec.State{}.EncodeState(&state))))
	return lines
}

// TestFormat compares the encodings with those of an earlier build. Where they differ, a build doesn't read what the other one
// stored, and processes of both can't talk to each other: a replica wouldn't start after an upgrade.
func TestFormat(t *testing.T) {
	tables := []struct {
		file     string
		optional bool
	}{
		{"testdata/format.txt", false},
		{"testdata/format-optional.txt", true},
	}
	for _, tt := range tables {
		stored, err := os.ReadFile(tt.file)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Split(strings.TrimSpace(string(stored)), "\n")
		got := formats(t, tt.optional)
		if len(got) != len(want) {
			t.Fatalf("%s: got %d types, want %d", tt.file, len(got), len(want))
		}
		for i := range got {
			if got[i] != want[i] {
				t.Errorf("%s: got %.120s, want %.120s", tt.file, got[i], want[i])
			}
		}
	}
}

// TestOptionalFields decodes what a build without the optional fields stored, and checks that a state and a command without
// speeds are encoded as such a build encodes them. A replica with the data folder of an earlier build wouldn't start
// otherwise.
func TestOptionalFields(t *testing.T) {
	stored, err := os.ReadFile("testdata/format.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string][]byte{}
	for line := range strings.Lines(string(stored)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if lines[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	state, err := hscodec.State{}.DecodeState(lines["hsstate.State"])
	if err != nil || state.Work.Speeds == nil || len(state.Work.Speeds) != 0 || len(state.Work.EvacuatedZones) != 1 {
		t.Errorf("got %+v, %v, want the state without speeds", state.Work, err)
	}
	if got := (hscodec.State{}).EncodeState(state); string(got) != string(lines["hsstate.State"]) {
		t.Errorf("state: got %x, want %x", got, lines["hsstate.State"])
	}
	m, err := hscodec.DecodeMessage(lines["hsmessage.AppendRequest"])
	if err != nil {
		t.Fatal(err)
	}
	command := m.(hsmessage.AppendRequest).Entries[0].Command.Work
	if command.Speeds != nil || command.Zone == nil {
		t.Errorf("got %+v, want a command without speeds", command)
	}
	if got, err := hscodec.EncodeMessage(m); err != nil || string(got) != string(lines["hsmessage.AppendRequest"]) {
		t.Errorf("entry: got %x, %v, want %x", got, err, lines["hsmessage.AppendRequest"])
	}
}

// TestOptionalLengths checks that a struct with too few or too many fields is refused, as it comes from a build of another
// format.
func TestOptionalLengths(t *testing.T) {
	tables := []struct {
		name   string
		fields int
		ok     bool
	}{
		{"none", 0, true},
		{"one required field is missing", 8, false},
		{"no optional field", 9, true},
		{"all optional fields", 10, true},
		{"one too many", 11, false},
	}
	for _, tt := range tables {
		data := append([]byte{0x90 | byte(tt.fields)}, make([]byte, tt.fields)...)
		for i := range tt.fields {
			data[i+1] = 0xc0 // nil
		}
		if _, err := hscodec.Unmarshal[hswork.Command](data); (err == nil) != tt.ok {
			t.Errorf("%s: got %v, want success %v", tt.name, err, tt.ok)
		}
	}
}
