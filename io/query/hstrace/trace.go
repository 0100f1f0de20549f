package hstrace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// margin is how long before the first and after the last line about an identifier other events are included.
const margin = 5 * time.Second

// contextMessages are the messages that may explain what happened to any job.
var contextMessages = []string{
	"leader changed", "leadership changed", "contact with the leader changed", "members changed",
	"process started", "process is stopping", "process stopped",
}

// workerMessages are the messages that may explain what happened to the runs on a worker.
var workerMessages = []string{"worker changed", "endpoint announced", "endpoint is over"}

// Filter returns the lines about a job or request, sorted by time, along with the lines from that period about its
// workers, the leader and the processes. It returns nil when no line mentions the identifier.
func Filter(id string, lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	workers := map[string]bool{}
	var first, last time.Time
	for i := range lines {
		if !mentions(&lines[i], id) {
			continue
		}
		if w := lines[i].Get("worker"); w != "" {
			workers[w] = true
		}
		if first.IsZero() {
			first = lines[i].Time
		}
		last = lines[i].Time
	}
	if first.IsZero() {
		return nil
	}
	return slices.DeleteFunc(lines, func(l Line) bool {
		if mentions(&l, id) {
			return false
		}
		if l.Time.Before(first.Add(-margin)) || l.Time.After(last.Add(margin)) {
			return true
		}
		worker := cmp.Or(l.Get("worker"), l.Source)
		return !hasMessage(&l, contextMessages) && !(workers[worker] && hasMessage(&l, workerMessages))
	})
}

// mentions reports whether a line mentions an identifier: as a whole value, as the last part of a path, or as the job
// of a run.
func mentions(l *Line, id string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool {
		return f.Value == id || strings.HasSuffix(f.Value, "/"+id) || strings.HasPrefix(f.Value, id+".")
	})
}

// hasMessage reports whether a line's message, without the prefix of the part that logged it, is one of several.
func hasMessage(l *Line, messages []string) bool {
	_, text, _ := strings.Cut(l.Message, ": ")
	return slices.Contains(messages, text)
}

// Summary aggregates the lines about a job.
type Summary struct {
	// Decisions are the verdicts on requests, by action, in order.
	Decisions []string
	// Starts is the number of tasks that were placed, and Waited is the longest time that one waited for placement.
	Starts int
	Waited time.Duration
	// Ends counts the runs by how they ended.
	Ends map[string]int
	// Preempted counts the runs that were preempted, and Stalled those that were stopped because they made no
	// progress.
	Preempted int
	Stalled   int
}

// Summarize aggregates the lines that mention an identifier.
func Summarize(id string, lines []Line) Summary {
	s := Summary{Ends: map[string]int{}}
	for i := range lines {
		l := &lines[i]
		if !mentions(l, id) {
			continue
		}
		switch _, text, _ := strings.Cut(l.Message, ": "); text {
		case "request decided":
			s.Decisions = append(s.Decisions, fmt.Sprintf("%s %s", l.Get("action"), l.Get("verdict")))
		case "task placed":
			s.Starts++
			if waited, err := time.ParseDuration(l.Get("waited")); err == nil {
				s.Waited = max(s.Waited, waited)
			}
		case "run ended":
			s.Ends[l.Get("how")]++
		case "run is stopped":
			if !strings.HasPrefix(l.Get("run"), id+".") {
				continue
			}
			switch l.Get("reason") {
			case "guarantee", "priority":
				s.Preempted++
			case "stalled":
				s.Stalled++
			}
		}
	}
	return s
}

// String returns the summary in one line.
func (s Summary) String() string {
	var ends []string
	for how, n := range s.Ends {
		ends = append(ends, fmt.Sprintf("%d %s", n, how))
	}
	slices.Sort(ends)
	return fmt.Sprintf("decided: %s; %d starts, longest wait %s; ends: %s; %d preempted, %d stalled",
		strings.Join(s.Decisions, ", "), s.Starts, s.Waited, strings.Join(ends, ", "), s.Preempted, s.Stalled)
}
