package hssettings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"hyssopseam/io/hssettings"
)

const good = `instance = "a"
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
		{"good", good, nil},
		{"unknown key", good + "colour = 1\n", []string{"line 8", "colour"}},
		{"unknown table key", good + "[control]\nrunlease = \"1s\"\n", []string{"line 9", "runlease"}},
		{"host name", strings.Replace(good, "127.0.0.1:8100", "localhost:8100", 1), []string{"line 4: http", "IP number"}},
		{"no port", strings.Replace(good, "127.0.0.1:8100", "127.0.0.1", 1), []string{"line 4: http"}},
		{"any address", strings.Replace(good, "127.0.0.1:8100", "0.0.0.0:8100", 1), []string{"line 4: http"}},
		{"wrong type", strings.Replace(good, `zone = "z"`, "zone = 7", 1), []string{"line 2"}},
		{"wrong role", strings.Replace(good, `"entry"`, `"manager"`, 1), []string{"line 3: roles", "manager"}},
		{"no roles", strings.Replace(good, `["entry", "control"]`, "[]", 1), []string{"roles"}},
		{"no folder", strings.Replace(good, "dataFolder = \"data\"\n", "", 1), []string{"dataFolder"}},
		{"own address missing", strings.Replace(good, `controls = ["127.0.0.1:7100"]`, `controls = ["127.0.0.2:7100"]`, 1), []string{"line 6: controls"}},
		{"bad time", good + "drainDelay = \"soon\"\n", []string{"line 8"}},
		{"time out of bounds", good + "[control]\nrunLease = \"200h\"\n", []string{"line 9: control.runLease"}},
		{"election too short", good + "[control]\nheartbeat = \"100ms\"\nelection = \"200ms\"\n", []string{"line 10: control.election"}},
		{"bad weight", good + "[control]\ncompletionWeight = -1.0\n", []string{"line 9: control.completionWeight"}},
		{"half of TLS", good + "[tls]\ncertificate = \"x\"\n", []string{"line 9: tls.certificate"}},
		{"several", "instance = \"\"\nroles = [\"x\"]\n", []string{"instance", "zone", "roles", "http", "controls"}},
	}
	for _, tt := range tables {
		_, err := hssettings.Parse([]byte(tt.content))
		if (err == nil) != (tt.want == nil) {
			t.Errorf("%s: got %v, want faults %v", tt.name, err, tt.want)
			continue
		}
		for _, w := range tt.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: got %v, want it to say %q", tt.name, err, w)
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
