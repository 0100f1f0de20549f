package hscodec_test

import (
	"testing"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/io/hscodec"
	"hyssopseam/io/hslink"
)

// catalogEntry returns an entry with a catalog whose content has the given size.
func catalogEntry(size hsid.Bytes) hsstate.Entry {
	return hsstate.Entry{Command: hsstate.Command{Work: &hswork.Command{Catalog: &hswork.Catalog{Content: make([]byte, size)}}}}
}

// TestEntrySize checks that the size of an entry is that of its encoding.
func TestEntrySize(t *testing.T) {
	tables := []struct {
		name  string
		entry hsstate.Entry
	}{
		{"empty", hsstate.Entry{}},
		{"every field", filled[hsstate.Entry]()},
		{"a large catalog", catalogEntry(3 * hsid.MiB)},
	}
	for _, tt := range tables {
		data, err := hscodec.Marshal(tt.entry)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := (hscodec.EntrySizer{}).EntrySize(&tt.entry), hsid.Bytes(len(data)); got != want {
			t.Errorf("%s: got %d bytes, want %d", tt.name, got, want)
		}
	}
}

// TestLargestEntry checks that a message with the largest entry that replicas accept fits into a frame of their links. Guards
// against an entry that is accepted and never replicated (review case 10).
func TestLargestEntry(t *testing.T) {
	m := filled[hsmessage.AppendRequest]()
	m.Entries = []hsstate.Entry{catalogEntry(hsquorum.DefaultMaxEntryBytes)}
	data, err := hscodec.EncodeMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	if got := hsid.Bytes(len(data)); got > hslink.MaxFrame {
		t.Errorf("got a message of %d bytes, want at most %d", got, hslink.MaxFrame)
	}
}
