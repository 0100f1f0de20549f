package hsrunner_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
)

// bed holds a runner whose calls are answered by hand.
type bed struct {
	t       *testing.T
	now     time.Time
	runner  *hsrunner.Runner
	calls   []string
	holds   []hsrunner.HoldCall
	starts  []hsrunner.StartCall
	tally   hsmessage.Tally
	serial  hsid.Sequence
	running []hsmessage.RunningTask
	ended   []hsmessage.EndedTask
}

const born = hswork.Life(77)

func (b *bed) Now() time.Time { return b.now }

func (b *bed) Send(_ hsstate.Peer, m hsmessage.Message) {
	if t, ok := m.(hsmessage.Tally); ok {
		b.tally = t
	}
}

func (b *bed) Start(c hsrunner.StartCall) {
	b.calls = append(b.calls, "start "+c.Run.String())
	b.starts = append(b.starts, c)
}

func (b *bed) Stop(c hsrunner.StopCall) { b.calls = append(b.calls, "stop "+c.Run.String()) }
func (b *bed) Hold(c hsrunner.HoldCall) { b.holds = append(b.holds, c) }
func (b *bed) Pace(c hsrunner.PaceCall) {
	b.calls = append(b.calls, fmt.Sprintf("pace %s %d", c.Run, c.Pace))
}

func (b *bed) EndpointChanged(hsrunner.Announcement)        {}
func (b *bed) EndpointOver(hswork.EndpointID, string)       {}
func (b *bed) RunStarted(hswork.RunID, hsrunner.CallResult) {}
func (b *bed) RunStopped(hswork.RunID, hsrunner.CallResult) {}
func (b *bed) Listed(hsmessage.EndedTask)                   {}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, now: time.UnixMilli(1_000_000)}
	c := hsrunner.Config{Instance: "w", Incarnation: 5, Controls: []hsstate.Peer{"c"}}
	b.runner = hsrunner.New(c, hsrunner.Ports{Clock: b, Sender: b, Endpoint: b, Observer: b})
	b.announce(born, 1, false)
	b.answer()
	return b
}

func (b *bed) announce(life hswork.Life, sequence uint64, leaving bool) {
	e := hsmessage.Endpoint{ID: "e", Life: life, Pool: "pool", Leaving: leaving}
	b.runner.Announce(hsrunner.Announcement{Endpoint: e, Address: "a", Sequence: sequence, Clock: b.reading()})
	b.runner.Wake()
}

func (b *bed) reading() hsrunner.Reading {
	return hsrunner.Reading(b.now.Sub(time.UnixMilli(1_000_000)) + time.Second)
}

// answer answers all holds that wait, with the lists as they stand.
func (b *bed) answer() {
	holds := b.holds
	b.holds = nil
	for _, h := range holds {
		r := hsrunner.HoldResult{Number: h.Number, Main: h.Main, Life: born, Running: b.running, Ended: b.ended}
		r.Turn = h.Target.Turn
		r.Verdict = hsrunner.CallDone
		r.Clock = b.reading()
		b.runner.Held(r)
	}
	b.runner.Wake()
}

// silence leaves all holds that wait unanswered.
func (b *bed) silence() {
	holds := b.holds
	b.holds = nil
	for _, h := range holds {
		r := hsrunner.HoldResult{Number: h.Number, Main: h.Main}
		r.Turn = h.Target.Turn
		r.Verdict = hsrunner.CallNoAnswer
		b.runner.Held(r)
	}
}

// plan sends the next plan, with a lease that is granted now.
func (b *bed) plan(change func(p *hsmessage.Plan)) {
	b.runner.Wake()
	b.serial++
	p := hsmessage.Plan{Term: 3, Serial: b.serial, Incarnation: 5, Sequence: b.tally.Sequence, For: 8 * time.Second, Life: born}
	change(&p)
	b.runner.Receive("c", p)
	b.runner.Wake()
}

func (b *bed) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.runner.Wake()
	}
}

func run(index int) hswork.RunID {
	return hswork.RunID{Task: hswork.TaskID{Work: "j", Index: index}, Number: 1}
}

func planned(index int) hsmessage.PlannedRun { return hsmessage.PlannedRun{Run: run(index), Spec: "s"} }

func (b *bed) started(v hsrunner.Verdict) {
	c := b.starts[len(b.starts)-1]
	b.runner.Started(c.Run, hsrunner.CallResult{Turn: c.Target.Turn, Verdict: v, Clock: b.reading(), Reason: string(v)})
	b.runner.Wake()
}

func (b *bed) want(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// TestCalls checks which calls the endpoint gets in each situation.
func TestCalls(t *testing.T) {
	one := func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{planned(0)} }
	tables := []struct {
		name string
		play func(b *bed)
		want []string
	}{
		{"a planned run is started once", func(b *bed) { b.plan(one); b.plan(one) }, []string{"start j.0.0.0/1"}},
		{"a start without an answer is repeated once the endpoint is known to go on", func(b *bed) {
			b.plan(one)
			b.started(hsrunner.CallNoAnswer)
			b.pass(300 * time.Millisecond)
			b.want("while it isn't sure", len(b.starts), 1)
			b.answer()
		}, []string{"start j.0.0.0/1", "start j.0.0.0/1"}},
		{"a refused start isn't repeated", func(b *bed) {
			b.plan(one)
			b.started(hsrunner.CallRefused)
			b.pass(time.Second)
			b.want("refused", len(b.tally.Refused), 1)
		}, []string{"start j.0.0.0/1"}},
		{"a run that isn't planned is stopped", func(b *bed) {
			b.running = []hsmessage.RunningTask{{Run: run(4)}}
			b.answer()
			b.plan(func(*hsmessage.Plan) {})
		}, []string{"stop j.0.0.4/1"}},
		{"nothing is started on an endpoint that leaves", func(b *bed) {
			b.announce(born, 2, true)
			b.plan(one)
		}, nil},
		{"nothing is started by a plan for another life", func(b *bed) {
			b.plan(func(p *hsmessage.Plan) { one(p); p.Life = born - 1 })
		}, nil},
		{"nothing is started by an older plan", func(b *bed) {
			b.plan(func(*hsmessage.Plan) {})
			b.serial = 0
			b.plan(one)
		}, nil},
		{"nothing is started after the lease", func(b *bed) {
			b.plan(func(*hsmessage.Plan) {})
			b.pass(9 * time.Second)
			b.plan(func(p *hsmessage.Plan) { one(p); p.Sequence = 0 })
		}, nil},
		{"a run without a description is started", func(b *bed) {
			b.plan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{{Run: run(0)}} })
		}, []string{"start j.0.0.0/1"}},
		{"a run that the leader takes to be there waits for the next plan", func(b *bed) {
			b.plan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{{Run: run(0), Known: true}} })
		}, nil},
		{"a run that ended isn't started again", func(b *bed) {
			b.ended = []hsmessage.EndedTask{{Number: 1, Run: run(0), How: hswork.EndDone}}
			b.answer()
			b.plan(one)
		}, nil},
	}
	for _, tt := range tables {
		b := newBed(t)
		tt.play(b)
		b.want(tt.name, b.calls, tt.want)
	}
}

// TestNever checks that a run counts as never begun only by lists that were asked for after its stop.
func TestNever(t *testing.T) {
	b := newBed(t)
	b.plan(func(p *hsmessage.Plan) { p.Stops = []hswork.RunID{run(0)} })
	b.want("calls", b.calls, []string{"stop j.0.0.0/1"})
	early := b.holds
	b.runner.Stopped(run(0), hsrunner.CallResult{Turn: 1, Verdict: hsrunner.CallDone, Clock: b.reading()})
	late := b.holds[len(early):]
	b.holds = early
	b.answer()
	b.want("by lists from before", len(b.tally.Never), 0)
	b.holds = late
	b.answer()
	b.want("by lists from after", b.tally.Never, []hswork.RunID{run(0)})
}

// TestNoted checks that ends are acknowledged only as far as the leader said, and not while the endpoint may
// have begun another life.
func TestNoted(t *testing.T) {
	b := newBed(t)
	b.ended = []hsmessage.EndedTask{{Number: 1, Run: run(0), How: hswork.EndDone}, {Number: 2, Run: run(1), How: hswork.EndDone}}
	b.answer()
	noted := func() hswork.EndNumber {
		var most hswork.EndNumber
		for _, h := range b.holds {
			most = max(most, h.Noted)
		}
		return most
	}
	b.want("before the leader said so", noted(), 0)
	b.plan(func(p *hsmessage.Plan) { p.Noted = 1 })
	b.want("after it", noted(), 1)
	b.silence()
	b.plan(func(p *hsmessage.Plan) { p.Noted = 2 })
	b.pass(300 * time.Millisecond)
	b.want("after a hold without an answer", noted(), 0)
	b.answer()
	b.pass(300 * time.Millisecond)
	b.want("once the life is seen to go on", noted(), 2)
}

// TestOver checks that an endpoint counts as over only when every lease that was set has run out, and that its
// runs aren't started after that.
func TestOver(t *testing.T) {
	b := newBed(t)
	b.plan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{planned(0)} })
	b.started(hsrunner.CallDone)
	b.silence()
	for range 70 {
		b.pass(100 * time.Millisecond)
		b.silence()
	}
	b.want("while the lease may last", b.tally.Over, false)
	for range 30 {
		b.pass(100 * time.Millisecond)
		b.silence()
	}
	b.want("after it", b.tally.Over, true)
	b.want("runs that are over", b.tally.Never, []hswork.RunID{run(0)})
	b.running = nil
	b.pass(time.Second)
	b.answer()
	b.plan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{planned(0)} })
	b.pass(time.Second)
	b.want("starts", len(b.starts), 1)
}

// TestLateAnnouncement checks that an announcement of an earlier life is dropped while the later one answers.
func TestLateAnnouncement(t *testing.T) {
	b := newBed(t)
	old := hsmessage.Endpoint{ID: "e", Life: born - 10, Pool: "pool"}
	if b.runner.Announce(hsrunner.Announcement{Endpoint: old, Address: "a", Sequence: 99}) {
		t.Errorf("got an earlier life taken, want it dropped")
	}
	b.want("life", b.tally.Endpoint.Life, born)
}

// TestPace checks that filling runs give way to a serving one that misses its target, and come back slowly.
func TestPace(t *testing.T) {
	b := newBed(t)
	serving, filling := planned(0), planned(1)
	serving.TailTarget = 100 * time.Millisecond
	filling.Fills = true
	b.plan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{serving, filling} })
	tables := []struct {
		name string
		tail int64
		want []string
	}{
		{"room", 50, nil},
		{"near the target", 90, []string{"pace j.0.0.1/1 50"}},
		{"in between", 70, nil},
		{"over the target", 120, []string{"pace j.0.0.1/1 0"}},
		{"still over", 120, nil},
		{"room again", 40, []string{"pace j.0.0.1/1 10"}},
		{"more room", 40, []string{"pace j.0.0.1/1 20"}},
	}
	for _, tt := range tables {
		b.calls = nil
		b.running = []hsmessage.RunningTask{{Run: run(0), Percent: 100, Load: tt.tail}, {Run: run(1)}}
		b.pass(500 * time.Millisecond)
		b.answer()
		b.want(tt.name, b.calls, tt.want)
	}
}
