package hsflow_test

import (
	"testing"
	"time"

	"hyssopseam/core/command/hsflow"
	"hyssopseam/core/hswork"
)

const job = hswork.ID("0123456789abcdef")

// world is a state with one job of two steps: two tasks, and a gang of two after them.
func world(times int) (*hswork.State, func(c *hswork.Command)) {
	s := hswork.NewState()
	apply := func(c *hswork.Command) { hsflow.Apply(s, c, 1, time.Second) }
	steps := []hswork.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}
	submission := hswork.Submission{ID: job, Steps: steps, Times: times}
	apply(&hswork.Command{Submit: &hswork.Submit{Submission: submission, Attempts: 2}})
	return s, apply
}

func at(step, index int) hswork.TaskID { return hswork.TaskID{Work: job, Step: step, Index: index} }

func start(n hswork.RunNumber, tasks ...hswork.TaskID) *hswork.Command {
	s := &hswork.Start{Number: n}
	for _, t := range tasks {
		s.Members = append(s.Members, hswork.Member{Task: t, Worker: "w", Life: 1})
	}
	return &hswork.Command{Start: s}
}

func end(t hswork.TaskID, n hswork.RunNumber, how hswork.How) *hswork.Command {
	return &hswork.Command{End: &hswork.Ends{Ends: []hswork.End{{Run: hswork.RunID{Task: t, Number: n}, How: how, Checkpoint: "c"}}}}
}

func TestApply(t *testing.T) {
	a, b, g, h := at(0, 0), at(0, 1), at(1, 0), at(1, 1)
	tables := []struct {
		name     string
		times    int
		commands []*hswork.Command
		phase    hswork.Phase
		placed   int
	}{
		{"accepted", 1, nil, hswork.Open, 0},
		{"started", 1, []*hswork.Command{start(1, a)}, hswork.Open, 1},
		{"started twice", 1, []*hswork.Command{start(1, a), start(2, a)}, hswork.Open, 1},
		{"a start that isn't later", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndLost), start(1, a)}, hswork.Open, 0},
		{"started again after a loss", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndLost), start(2, a)}, hswork.Open, 1},
		{"started after it is done", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndDone), start(2, a)}, hswork.Open, 0},
		{"a gang starts whole or not at all", 1, []*hswork.Command{start(1, g), start(2, g, h)}, hswork.Open, 1},
		{"done", 1, []*hswork.Command{
			start(1, a), start(1, b), end(a, 1, hswork.EndDone), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Completed, 1},
		{"a second occurrence is to come", 2, []*hswork.Command{
			start(1, a), start(1, b), end(a, 1, hswork.EndDone), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Open, 1},
		{"done by a run that was given up", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 1, hswork.EndDone),
		}, hswork.Open, 1},
		{"and the step after it goes on", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 1, hswork.EndDone), end(a, 2, hswork.EndStopped),
			start(1, b), end(b, 1, hswork.EndDone), start(1, g, h), end(g, 1, hswork.EndDone),
		}, hswork.Completed, 1},
		{"failed once", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndFailed)}, hswork.Open, 0},
		{"one failure told twice", 1, []*hswork.Command{start(1, a), end(a, 1, hswork.EndFailed), end(a, 1, hswork.EndFailed)}, hswork.Open, 0},
		{"failed as often as allowed", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndFailed), start(2, a), end(a, 2, hswork.EndFailed),
		}, hswork.Failed, 0},
		{"a late failure of a run that was given up counts", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndLost), start(2, a), end(a, 2, hswork.EndFailed), end(a, 1, hswork.EndFailed),
		}, hswork.Failed, 0},
		{"stops and losses don't count", 1, []*hswork.Command{
			start(1, a), end(a, 1, hswork.EndStopped), start(2, a), end(a, 2, hswork.EndLapsed), start(3, a), end(a, 3, hswork.EndBroken),
		}, hswork.Open, 0},
		{"cancelled", 1, []*hswork.Command{start(1, a), {Cancel: &hswork.Cancel{ID: job}}, start(1, b)}, hswork.Cancelled, 1},
	}
	for _, tt := range tables {
		s, apply := world(tt.times)
		for _, c := range tt.commands {
			apply(c)
		}
		j := s.Jobs[job]
		if got := j.Phase; got != tt.phase {
			t.Errorf("%s: got phase %s, want %s", tt.name, got, tt.phase)
		}
		placed := 0
		j.EachPlace(func(hswork.TaskID, *hswork.Task, hswork.Place) { placed++ })
		if placed != tt.placed {
			t.Errorf("%s: got %d placed runs, want %d", tt.name, placed, tt.placed)
		}
	}
}

// TestCatalogNeverGoesBack checks that only a newer catalog takes effect.
func TestCatalogNeverGoesBack(t *testing.T) {
	s := hswork.NewState()
	for _, v := range []hswork.Version{2, 5, 5, 3} {
		hsflow.Apply(s, &hswork.Command{Catalog: &hswork.Catalog{Version: v, Content: []byte{byte(v)}}}, 1, 0)
	}
	if got := s.Catalog.Version; got != 5 {
		t.Errorf("got catalog %d, want 5", got)
	}
}

// TestForget checks that ended jobs are forgotten after a while, but not while something of them is placed.
func TestForget(t *testing.T) {
	s, apply := world(1)
	apply(start(1, at(0, 0)))
	apply(&hswork.Command{Cancel: &hswork.Cancel{ID: job}})
	later := func(c *hswork.Command) { hsflow.Apply(s, c, 2, time.Hour) }
	later(&hswork.Command{Cancel: &hswork.Cancel{ID: "other"}})
	if s.Jobs[job] == nil {
		t.Errorf("got the job forgotten, want it kept while a run is placed")
	}
	later(end(at(0, 0), 1, hswork.EndStopped))
	if s.Jobs[job] != nil {
		t.Errorf("got the job kept, want it forgotten")
	}
}

// TestExperience checks what is learned of a queue, and that it goes with the queue.
func TestExperience(t *testing.T) {
	took := func(n hswork.RunNumber, d time.Duration) *hswork.Command {
		c := end(at(0, 0), n, hswork.EndDone)
		c.End.Ends[0].Took = d
		return c
	}
	tables := []struct {
		name     string
		commands []*hswork.Command
		want     int
	}{
		{"a run that is done", []*hswork.Command{start(1, at(0, 0)), took(1, time.Second)}, 1},
		{"one whose begin wasn't seen", []*hswork.Command{start(1, at(0, 0)), took(1, 0)}, 0},
		{"one that may have gone on from a checkpoint", []*hswork.Command{
			start(1, at(0, 0)), end(at(0, 0), 1, hswork.EndStopped), start(2, at(0, 0)), took(2, time.Second),
		}, 0},
		{"one told twice", []*hswork.Command{start(1, at(0, 0)), took(1, time.Second), took(1, time.Second)}, 1},
		{"a queue that is gone", []*hswork.Command{
			start(1, at(0, 0)), took(1, time.Second), {Catalog: &hswork.Catalog{Version: 2}},
		}, 0},
	}
	for _, tt := range tables {
		s, apply := world(1)
		for _, c := range tt.commands {
			apply(c)
		}
		got := 0
		if e := s.Experiences[""]; e != nil {
			got = e.Samples
		}
		if got != tt.want {
			t.Errorf("%s: got %d observations, want %d", tt.name, got, tt.want)
		}
	}
}
