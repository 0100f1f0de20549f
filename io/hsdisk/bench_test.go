package hsdisk

import (
	"fmt"
	"os"
	"testing"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// BenchmarkOpen measures opening a data folder that holds either a log of the given number of entries, or a snapshot of
// comparable size and a log of 100 entries.
func BenchmarkOpen(b *testing.B) {
	tables := []struct {
		entries  int
		snapshot bool
	}{
		{1000, false}, {10000, false}, {100000, false},
		{1000, true}, {10000, true}, {100000, true},
	}
	for _, tt := range tables {
		b.Run(fmt.Sprintf("entries%d/snapshot_%v", tt.entries, tt.snapshot), func(b *testing.B) {
			f := folder{path: b.TempDir(), sync: (*os.File).Sync, write: (*os.File).Write}
			done := make(chan error, 1)
			report := func(_ hsid.Sequence, err error) { done <- err }
			d, _, err := open(f, report)
			if err != nil {
				b.Fatal(err)
			}
			var log []hsstate.Entry
			for i := range tt.entries {
				submit := &hsstate.SubmitJob{ID: hsid.JobID(fmt.Sprint(i)), Spec: hsstate.Spec{Workspace: "w", Kind: "k", Input: make([]byte, 200)}}
				log = append(log, hsstate.Entry{Index: hsid.LogIndex(i + 1), Term: 1, Command: hsstate.Command{Submit: submit}})
			}
			s := hsquorum.Save{Entries: log}
			if tt.snapshot {
				last := hsid.LogIndex(tt.entries)
				s.Snapshot = &hsquorum.Snapshot{Index: last, Term: 1, Data: make([]byte, 400*min(tt.entries, 10000))}
				s.Entries = log[tt.entries-100:]
			}
			d.Save(s)
			if err := <-done; err != nil {
				b.Fatal(err)
			}
			if err := d.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				d, _, err := open(f, report)
				if err != nil {
					b.Fatal(err)
				}
				if err := d.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
