package hsdisk

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// saveAndWait writes one save and waits for its result.
func saveAndWait(t *testing.T, d *Disk, done chan error, s hsquorum.Save) error {
	t.Helper()
	d.Save(s)
	return <-done
}

func openTest(t *testing.T, f folder) (*Disk, Contents, chan error) {
	t.Helper()
	done := make(chan error, 1)
	d, c, err := open(f, func(_ hsid.Sequence, err error) { done <- err })
	if err != nil {
		t.Fatal(err)
	}
	return d, c, done
}

func entries(from, to hsid.LogIndex, term hsid.Term) []hsstate.Entry {
	var all []hsstate.Entry
	for i := from; i <= to; i++ {
		all = append(all, hsstate.Entry{Index: i, Term: term})
	}
	return all
}

func logFile(t *testing.T, path string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(path, logPrefix+"*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("got log files %v %v, want one", files, err)
	}
	return files[0]
}

// writeSixEntries writes entries 1 to 6 in three saves and closes the folder.
func writeSixEntries(t *testing.T) folder {
	t.Helper()
	f := folder{path: t.TempDir(), sync: (*os.File).Sync, write: (*os.File).Write}
	d, _, done := openTest(t, f)
	for i := range hsid.LogIndex(3) {
		s := hsquorum.Save{HardState: hsquorum.HardState{Term: 2, Vote: 7}, Entries: entries(2*i+1, 2*i+2, 1)}
		if err := saveAndWait(t, d, done, s); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return f
}

// TestDamage changes the log file and opens it again: only a torn or garbage tail is cut off, any other damage is an
// error.
func TestDamage(t *testing.T) {
	tables := []struct {
		name    string
		change  func(data []byte) []byte
		entries int
		damaged bool
	}{
		{"untouched", func(data []byte) []byte { return data }, 6, false},
		{"torn tail", func(data []byte) []byte { return data[:len(data)-3] }, 4, false},
		{"garbage after the last record", func(data []byte) []byte { return append(data, "HSRCgarbage"...) }, 6, false},
		{"zeros after the last record", func(data []byte) []byte { return append(data, make([]byte, 100)...) }, 6, false},
		{"flipped bit before the tail", func(data []byte) []byte { data[60] ^= 1; return data }, 0, true},
		{"flipped bit in the first record", func(data []byte) []byte { data[22] ^= 1; return data }, 0, true},
		{"file of another program", func(data []byte) []byte { data[0] = 'x'; return data }, 0, true},
		{"record missing in the middle", func(data []byte) []byte { return append(data[:50:50], data[56:]...) }, 0, true},
	}
	for _, tt := range tables {
		f := writeSixEntries(t)
		name := logFile(t, f.path)
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, tt.change(data), fileMode); err != nil {
			t.Fatal(err)
		}
		d, c, err := open(f, func(hsid.Sequence, error) {})
		if errors.Is(err, ErrDamaged) != tt.damaged {
			t.Errorf("%s: got %v, want ErrDamaged %v", tt.name, err, tt.damaged)
		}
		if tt.damaged && err != nil && !strings.Contains(err.Error(), "offset") {
			t.Errorf("%s: got %v, want file and offset", tt.name, err)
		}
		if err != nil {
			continue
		}
		if got := len(c.Stored.Entries); got != tt.entries || c.Stored.HardState.Vote != 7 {
			t.Errorf("%s: got %d entries and vote %d, want %d and 7", tt.name, got, c.Stored.HardState.Vote, tt.entries)
		}
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestSnapshotFiles checks that a snapshot starts a new log, that older files are removed, and that overwritten entries
// stay overwritten.
func TestSnapshotFiles(t *testing.T) {
	f := writeSixEntries(t)
	d, first, done := openTest(t, f)
	overwrite := hsquorum.Save{HardState: hsquorum.HardState{Term: 3}, Entries: entries(5, 7, 3)}
	if err := saveAndWait(t, d, done, overwrite); err != nil {
		t.Fatal(err)
	}
	s := hsquorum.Save{
		HardState: hsquorum.HardState{Term: 3},
		Snapshot:  &hsquorum.Snapshot{Index: 6, Term: 3, Cluster: "c", Data: []byte("state")},
		Entries:   entries(5, 7, 3),
	}
	if err := saveAndWait(t, d, done, s); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	logFile(t, f.path)
	d, c, _ := openTest(t, f)
	if c.Replica != first.Replica {
		t.Errorf("got replica %d, want %d", c.Replica, first.Replica)
	}
	if string(c.Stored.Snapshot.Data) != "state" || len(c.Stored.Entries) != 3 || c.Stored.Entries[0].Term != 3 {
		t.Errorf("got snapshot %q and %d entries, want state and 3", c.Stored.Snapshot.Data, len(c.Stored.Entries))
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
}

// TestFailedSync checks that nothing is written after a failed sync.
func TestFailedSync(t *testing.T) {
	failing := false
	f := folder{path: t.TempDir(), write: (*os.File).Write, sync: func(x *os.File) error {
		if failing {
			return errors.New("input/output error")
		}
		return x.Sync()
	}}
	d, _, done := openTest(t, f)
	failing = true
	if err := saveAndWait(t, d, done, hsquorum.Save{Entries: entries(1, 1, 1)}); err == nil {
		t.Error("got no error from a failed sync")
	}
	failing = false
	if err := saveAndWait(t, d, done, hsquorum.Save{Entries: entries(2, 2, 1)}); err == nil {
		t.Error("got a save after a failed sync, want none")
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
}

// TestFullDisk checks that a save is retried while the disk is full, and complete once there is space. The writes that
// fail leave half of their data in the log.
func TestFullDisk(t *testing.T) {
	fullWrites := 2
	f := folder{path: t.TempDir(), sync: (*os.File).Sync, write: (*os.File).Write}
	f.write = func(x *os.File, data []byte) (int, error) {
		if fullWrites == 0 {
			return x.Write(data)
		}
		fullWrites--
		n, err := x.Write(data[:len(data)/2])
		return n, errors.Join(syscall.ENOSPC, err)
	}
	d, _, done := openTest(t, f)
	if err := saveAndWait(t, d, done, hsquorum.Save{Entries: entries(1, 3, 1)}); err != nil {
		t.Errorf("got %v from a save on a disk that was temporarily full, want nil", err)
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	_, c, _ := openTest(t, folder{path: f.path, sync: (*os.File).Sync, write: (*os.File).Write})
	if got := len(c.Stored.Entries); got != 3 || c.TruncatedBytes != 0 {
		t.Errorf("got %d entries and %d bytes cut off, want 3 and none", got, c.TruncatedBytes)
	}
}

// TestBootstrap checks that a cluster is formed in a folder only once, and that a log without its identity file is
// damage.
func TestBootstrap(t *testing.T) {
	path := t.TempDir()
	if _, err := Bootstrap(path, "a", "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	if _, err := Bootstrap(path, "a", "127.0.0.1:1"); !errors.Is(err, ErrAlreadyBootstrapped) {
		t.Errorf("got %v, want %v", err, ErrAlreadyBootstrapped)
	}
	if err := os.Remove(filepath.Join(path, identityFile)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, func(hsid.Sequence, error) {}); !errors.Is(err, ErrDamaged) {
		t.Errorf("got %v, want %v", err, ErrDamaged)
	}
}
