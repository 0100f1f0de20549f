package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hyssopseam/examples"
	"hyssopseam/internal/demo"
)

func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	code := (&tool{out: &out, errOut: &errOut}).run(context.Background(), []string{"demo"})
	if code != exitDone || !strings.Contains(out.String(), "pair-cut") || !strings.Contains(errOut.String(), "stopped gracefully") {
		t.Errorf("got exit %d, want %d with the answers\n%s\n%s", code, exitDone, out.String(), errOut.String())
	}
}

// TestExitCodes runs command lines in order against a small deployment, and checks the exit code and a part of the
// output of each.
func TestExitCodes(t *testing.T) {
	const network = "127.160.0"
	folder := t.TempDir()
	d, err := demo.Start(demo.Config{Folder: folder, Network: network})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	if err := d.Ready(context.Background(), time.Minute); err != nil {
		t.Fatal(err)
	}
	write := func(name, content string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	rules := write("rules.txt", examples.KumasiRules)
	other := write("other.txt", "number 1\nonce job=other # other\n")
	faulty := write("faulty.txt", "number 1\nonce job=other\nfoo\n")
	input := write("input", "sleep=50ms answer=done")
	submit := []string{"job", "submit", "--workspace", "kejetia", "--kind", "fittingBlock", "--input", input}
	tables := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, exitUsage, ""},
		{"zone evacuate without a zone", []string{"zone", "evacuate"}, exitUsage, ""},
		{"unknown flag", []string{"status", "--colour"}, exitUsage, ""},
		{"check", []string{"rules", "check", rules}, exitDone, "no faults"},
		{"check faulty", []string{"rules", "check", faulty}, exitUsage, "faulty.txt:3:1"},
		{"push faulty", []string{"rules", "push", faulty}, exitUsage, "3 faults"},
		{"push", []string{"rules", "push", "--operator", "ama", rules}, exitDone, "in force everywhere"},
		{"push again", []string{"rules", "push", "--operator", "ama", rules}, exitDone, "in force everywhere"},
		{"push another under the number", []string{"rules", "push", "--operator", "kofi", other}, exitConflict, "pushed by ama"},
		{"show", []string{"rules", "show", "--everywhere"}, exitDone, "worker-1"},
		{"history", []string{"rules", "history"}, exitDone, "number 1 by ama"},
		{"submit and wait", append(submit, "--key", "k1", "--wait"), exitDone, "done"},
		{"same key, other body", append(submit, "--key", "k1", "--shape", "2x1worker"), exitConflict, "another body"},
		{"never fits", append(submit, "--shape", "64x1worker"), exitNotRun, "can ever hold"},
		{"bad shape", append(submit, "--shape", "x"), exitUsage, "not a shape"},
		{"missing job", []string{"job", "get", "none"}, exitFailure, "missing"},
		{"list", []string{"job", "list"}, exitDone, "fittingBlock"},
		{"status", []string{"status"}, exitDone, "GUARANTEE"},
		{"workers", []string{"workers", "--json"}, exitDone, `"instance":"worker-1"`},
		{"dump", []string{"dump"}, exitDone, `"control"`},
		{"members", []string{"members", "list"}, exitDone, "leader"},
		{"evacuate a zone", []string{"zone", "evacuate", "zone-a"}, exitDone, ""},
		{"evacuate it again", []string{"zone", "evacuate", "zone-a"}, exitDone, ""},
		{"status during an evacuation", []string{"status"}, exitDone, "evacuated zones: [zone-a]"},
		{"list the evacuated zones", []string{"zone", "list"}, exitDone, "zone-a"},
		{"restore the zone", []string{"zone", "restore", "zone-a"}, exitDone, ""},
		{"list after it", []string{"zone", "list", "--json"}, exitDone, "[]"},
		{"remove the only member", []string{"members", "remove", "1"}, exitFailure, "isn't a member"},
		{"next server is tried", []string{"status", "--server", "127.160.0.99:1,"}, exitDone, "leader"},
		{"no server", []string{"status", "--server", "127.160.0.99:1"}, exitFailure, ""},
	}
	for _, tt := range tables {
		var out bytes.Buffer
		args := tt.args
		for i, a := range args {
			args[i] = strings.Replace(a, "99:1,", "99:1,"+d.HTTP(), 1)
		}
		passAsIs := len(args) < 2 || args[1] == "check" || args[1] == "--colour" || strings.Contains(strings.Join(args, " "), "--server")
		if !passAsIs {
			insertAt := 2
			if args[0] == "status" || args[0] == "workers" || args[0] == "dump" {
				insertAt = 1
			}
			args = append(append(append([]string{}, args[:insertAt]...), "--server", d.HTTP()), args[insertAt:]...)
		} else if len(args) == 1 {
			args = []string{args[0], "--server", d.HTTP()}
		}
		code := (&tool{out: &out, errOut: &out}).run(context.Background(), args)
		if code != tt.code || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%s: got exit %d, want %d and %q in:\n%s", tt.name, code, tt.code, tt.want, out.String())
		}
	}
}
