package hssettings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"hyssopseam/io/hssettings"
)

const valid = `instance = "a"
zone = "z"
roles = ["entry", "control"]
http = "127.0.0.1:8100"
link = "127.0.0.1:7100"
controls = ["127.0.0.1:7100"]
dataFolder = "data"
`

func TestParse(t *testing.T) {
	tables := []struct {
		name    string
		content string
		want    []string
	}{
		{"valid", valid, nil},
		{"unknown key", valid + "colour = 1\n", []string{"line 8", "colour"}},
		{"unknown table key", valid + "[control]\nrunlease = \"1s\"\n", []string{"line 9", "runlease"}},
		{"host name", strings.Replace(valid, "127.0.0.1:8100", "localhost:8100", 1), []string{"line 4: http", "IP address"}},
		{"no port", strings.Replace(valid, "127.0.0.1:8100", "127.0.0.1", 1), []string{"line 4: http"}},
		{"unspecified address", strings.Replace(valid, "127.0.0.1:8100", "0.0.0.0:8100", 1), []string{"line 4: http"}},
		{"wrong type", strings.Replace(valid, `zone = "z"`, "zone = 7", 1), []string{"line 2"}},
		{"wrong role", strings.Replace(valid, `"entry"`, `"manager"`, 1), []string{"line 3: roles", "manager"}},
		{"no roles", strings.Replace(valid, `["entry", "control"]`, "[]", 1), []string{"roles"}},
		{"no data folder", strings.Replace(valid, "dataFolder = \"data\"\n", "", 1), []string{"dataFolder"}},
		{"own address missing", strings.Replace(valid, `controls = ["127.0.0.1:7100"]`, `controls = ["127.0.0.2:7100"]`, 1), []string{"line 6: controls"}},
		{"bad time", valid + "drainDelay = \"soon\"\n", []string{"line 8"}},
		{"time out of bounds", valid + "[control]\nrunLease = \"200h\"\n", []string{"line 9: control.runLease"}},
		{"election too short", valid + "[control]\nheartbeat = \"100ms\"\nelection = \"200ms\"\n", []string{"line 10: control.election"}},
		{"bad weight", valid + "[control]\ncompletionWeight = -1.0\n", []string{"line 9: control.completionWeight"}},
		{"incomplete TLS", valid + "[tls]\ncertificate = \"x\"\n", []string{"line 9: tls.certificate"}},
		{"address of the gateway", valid + "[gateway]\ncallers = \"front:80\"\n", []string{"line 9: gateway.callers", "IP address"}},
		{"too many tolerated failures", valid + "[control]\ntolerate = 4\n", []string{"line 9: control.tolerate"}},
		{"link port", valid + "linkPort = 70000\n", []string{"line 8: linkPort"}},
		{"memory below zero", valid + "memoryMb = -1\n", []string{"line 8: memoryMb"}},
		{"several faults", "instance = \"\"\nroles = [\"x\"]\n", []string{"instance", "zone", "roles", "http", "controls"}},
	}
	for _, tt := range tables {
		_, err := hssettings.Parse([]byte(tt.content))
		if (err == nil) != (tt.want == nil) {
			t.Errorf("%s: got %v, want faults %v", tt.name, err, tt.want)
			continue
		}
		for _, w := range tt.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: got %v, want it to contain %q", tt.name, err, w)
			}
		}
	}
}

// TestExamples checks the settings of both example deployments.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "*.toml"))
	if err != nil || len(files) != 14 {
		t.Fatalf("got %d files %v, want 14", len(files), err)
	}
	for _, f := range files {
		if _, err := hssettings.Load(f); err != nil {
			t.Errorf("%s: got %v, want no faults", f, err)
		}
	}
}

// TestSeeds checks what is derived from seeds and tolerated failures: the controls, the replicas, and which process
// forms the cluster.
func TestSeeds(t *testing.T) {
	const seeded = `instance = "a"
zone = "z"
roles = ["control"]
http = "127.0.0.1:8100"
link = "127.0.0.1:7100"
seeds = ["127.0.0.1:8526", "127.0.0.2:8526"]
linkPort = 7100
found = true
dataFolder = "data"
[control]
tolerate = 2
`
	tables := []struct {
		name    string
		content string
		founder bool
	}{
		{"the first seed", seeded, true},
		{"another seed", strings.Replace(seeded, `link = "127.0.0.1`, `link = "127.0.0.2`, 1), false},
		{"not a seed", strings.Replace(seeded, `link = "127.0.0.1`, `link = "127.0.0.3`, 1), false},
		{"found not set", strings.Replace(seeded, "found = true", "found = false", 1), false},
	}
	for _, tt := range tables {
		s, err := hssettings.Parse([]byte(tt.content))
		if err != nil {
			t.Errorf("%s: got %v, want settings", tt.name, err)
			continue
		}
		if got := s.IsFounder(); got != tt.founder {
			t.Errorf("%s: got founder %v, want %v", tt.name, got, tt.founder)
		}
		if got, want := len(s.Controls), 2; got != want || s.Controls[1] != "127.0.0.2:7100" {
			t.Errorf("%s: got controls %v, want those of the seeds on the link port", tt.name, s.Controls)
		}
		if got, want := s.Control.Replicas, 5; got != want {
			t.Errorf("%s: got %d replicas, want %d", tt.name, got, want)
		}
	}
}
