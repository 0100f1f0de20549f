package hstrace_test

import (
	"strings"
	"testing"

	"hyssopseam/io/query/hstrace"
)

const job = "0123456789abcdef"

// logs are the logs of two processes: a job preempts another one, loses its worker and runs again on a different one.
var logs = map[string]string{
	"core-1": `
time=2026-05-04T10:00:00.000Z level=INFO msg="app: process started" instance=core-1
time=2026-05-04T10:01:00.000Z level=INFO msg="work: request decided" request=e.1.7 action=submit path=/p/0123456789abcdef verdict=done catalog=3
time=2026-05-04T10:01:00.200Z level=INFO msg="work: run is stopped" run=00000000000000aa.0.0.0/1 worker=w1 reason=priority ran=1s for=0123456789abcdef
time=2026-05-04T10:01:00.500Z level=INFO msg="work: task placed" run=0123456789abcdef.0.0.0/1 worker=w1 life=1 waited=500ms
time=2026-05-04T10:01:02.000Z level=INFO msg="work: worker changed" worker=w2 usable=false
time=2026-05-04T10:01:03.000Z level=INFO msg="work: run ended" run=0123456789abcdef.0.0.0/1 how=lost worker=w1 checkpoint=""
goroutine 1 [running]:
time=2026-05-04T10:01:03.100Z level=INFO msg="work: task placed" run=0123456789abcdef.0.0.0/2 worker=w3 life=1 waited=100ms
time=2026-05-04T10:01:04.000Z level=INFO msg="work: run ended" run=0123456789abcdef.0.0.0/2 how=done worker=w3 checkpoint=""
`,
	"w1": `
time=2026-05-04T10:01:00.510Z level=INFO msg="work: start answered" run=0123456789abcdef.0.0.0/1 verdict=done reason=""
time=2026-05-04T10:01:02.900Z level=WARN msg="work: endpoint is over" endpoint=i-1 reason="it is silent and its lease is over"
time=2026-05-04T10:01:02.950Z level=INFO msg="link: peer connected" peer=core-1
`,
}

func lines(t *testing.T) []hstrace.Line {
	t.Helper()
	var all []hstrace.Line
	for source, text := range logs {
		read, err := hstrace.Read(strings.NewReader(text), source)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, read...)
	}
	return all
}

func TestFilter(t *testing.T) {
	tables := []struct {
		name string
		id   string
		want []string
	}{
		{"a job, with the end of its endpoint", job, []string{
			"request decided", "run is stopped", "task placed", "start answered", "endpoint is over", "run ended", "task placed", "run ended",
		}},
		{"a request", "e.1.7", []string{"request decided"}},
		{"an unknown identifier", "ffffffffffffffff", nil},
	}
	for _, tt := range tables {
		var got []string
		for _, l := range hstrace.Filter(tt.id, lines(t)) {
			_, text, _ := strings.Cut(l.Message, ": ")
			got = append(got, text)
		}
		if strings.Join(got, "|") != strings.Join(tt.want, "|") {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestSummarize(t *testing.T) {
	got := hstrace.Summarize(job, hstrace.Filter(job, lines(t))).String()
	want := "decided: submit done; 2 starts, longest wait 500ms; ends: 1 done, 1 lost; 0 preempted, 0 stalled"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
