package hsjson_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"hyssopseam/io/hsjson"
)

// TestLimitDepth checks that only what is nested too deeply is replaced, wherever the reads are split.
func TestLimitDepth(t *testing.T) {
	nest := func(depth int, inner string) string {
		return strings.Repeat("[", depth) + inner + strings.Repeat("]", depth)
	}
	tables := []struct {
		name string
		text string
		want string
	}{
		{"flat", `{"a":[1,"b"]}`, `{"a":[1,"b"]}`},
		{"as deep as allowed", nest(hsjson.MaxDepth, "1"), nest(hsjson.MaxDepth, "1")},
		{"a level too deep", nest(hsjson.MaxDepth+1, "1"), nest(hsjson.MaxDepth, "null")},
		{"far too deep, beside others", "[1," + nest(100000, `{"a":1}`) + ",2]", "[1," + nest(hsjson.MaxDepth-1, "null") + ",2]"},
		{"brackets in strings", `["[[[{{", "]}", "\"]", "\\"]`, `["[[[{{", "]}", "\"]", "\\"]`},
		{"strings in what is dropped", nest(hsjson.MaxDepth, `["]]]\"]", 1]`), nest(hsjson.MaxDepth, "null")},
		{"two values too deep", nest(hsjson.MaxDepth, "[1],[2]"), nest(hsjson.MaxDepth, "null,null")},
		{"cut short", nest(hsjson.MaxDepth, "1")[:hsjson.MaxDepth+1], strings.Repeat("[", hsjson.MaxDepth) + "1"},
		{"empty", "", ""},
	}
	for _, tt := range tables {
		readers := []struct {
			name   string
			reader io.Reader
		}{
			{"whole", strings.NewReader(tt.text)},
			{"byte by byte", iotest.OneByteReader(strings.NewReader(tt.text))},
			{"end with the data", iotest.DataErrReader(strings.NewReader(tt.text))},
		}
		for _, r := range readers {
			got, err := io.ReadAll(hsjson.LimitDepth(r.reader))
			if err != nil || string(got) != tt.want {
				t.Errorf("%s, %s: got %.80q and %v, want %.80q", tt.name, r.name, got, err, tt.want)
			}
		}
	}
}
