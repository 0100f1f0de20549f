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

// harness runs a runner on a fake clock. It records the runner's calls, which the test answers.
type harness struct {
	t       *testing.T
	now     time.Time
	runner  *hsrunner.Runner
	calls   []string
	holds   []hsrunner.HoldCall
	starts  []hsrunner.StartCall
	report  hsmessage.RunnerReport
	serial  hsid.Sequence
	running []hsmessage.RunningTask
	ended   []hsmessage.EndedTask
	// truncated is set while the endpoint has more ends than it lists.
	truncated bool
}

const initialIncarnation = hswork.EndpointIncarnation(77)

func (h *harness) Now() time.Time { return h.now }

func (h *harness) Send(_ hsstate.Peer, m hsmessage.Message) {
	if t, ok := m.(hsmessage.RunnerReport); ok {
		h.report = t
	}
}

func (h *harness) Start(c hsrunner.StartCall) {
	h.calls = append(h.calls, "start "+c.Run.String())
	h.starts = append(h.starts, c)
}

func (h *harness) Stop(c hsrunner.StopCall) { h.calls = append(h.calls, "stop "+c.Run.String()) }
func (h *harness) Hold(c hsrunner.HoldCall) { h.holds = append(h.holds, c) }
func (h *harness) Pace(c hsrunner.PaceCall) {
	h.calls = append(h.calls, fmt.Sprintf("pace %s %d", c.Run, c.Pace))
}

func (h *harness) EndpointChanged(hsrunner.Announcement)         {}
func (h *harness) AnnouncementIgnored(hsrunner.Announcement)     {}
func (h *harness) EndpointTerminated(hswork.EndpointID, string)  {}
func (h *harness) ShutdownNoticed(hsrunner.ShutdownNotice, bool) {}

func (h *harness) RunStarted(hswork.RunID, hsrunner.CallResult) {}
func (h *harness) RunStopped(hswork.RunID, hsrunner.CallResult) {}
func (h *harness) RunEndListed(hsmessage.EndedTask)             {}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.UnixMilli(1_000_000)}
	c := hsrunner.Config{Instance: "w", Incarnation: 5, Controls: []hsstate.Peer{"c"}}
	h.runner = hsrunner.New(c, hsrunner.Ports{Clock: h, Sender: h, Endpoint: h, Observer: h})
	h.announce(initialIncarnation, 1, false)
	h.answerHolds()
	return h
}

func (h *harness) announce(incarnation hswork.EndpointIncarnation, sequence uint64, leaving bool) {
	e := hsmessage.Endpoint{ID: "e", Incarnation: incarnation, Pool: "pool", Leaving: leaving}
	h.runner.HandleAnnouncement(hsrunner.Announcement{Endpoint: e, Address: "a", Sequence: sequence, Clock: h.reading()})
	h.runner.Wake()
}

func (h *harness) reading() hsrunner.ClockReading {
	return hsrunner.ClockReading(h.now.Sub(time.UnixMilli(1_000_000)) + time.Second)
}

// answerHolds answers all pending holds with the current lists.
func (h *harness) answerHolds() {
	pending := h.holds
	h.holds = nil
	for _, hold := range pending {
		result := hsrunner.HoldResult{Number: hold.Number, LongPoll: hold.LongPoll, EndpointIncarnation: initialIncarnation, Running: h.running, Ended: h.ended, EndsTruncated: h.truncated}
		result.Generation = hold.Target.Generation
		result.Verdict = hsrunner.CallDone
		result.Clock = h.reading()
		h.runner.HandleHoldResult(result)
	}
	h.runner.Wake()
}

// dropHolds lets all pending holds fail without an answer.
func (h *harness) dropHolds() {
	pending := h.holds
	h.holds = nil
	for _, hold := range pending {
		result := hsrunner.HoldResult{Number: hold.Number, LongPoll: hold.LongPoll}
		result.Generation = hold.Target.Generation
		result.Verdict = hsrunner.CallNoAnswer
		h.runner.HandleHoldResult(result)
	}
}

// sendPlan sends the next plan, with a lease that starts now.
func (h *harness) sendPlan(change func(p *hsmessage.Plan)) {
	h.runner.Wake()
	h.serial++
	p := hsmessage.Plan{Term: 3, Serial: h.serial, Incarnation: 5, Sequence: h.report.Sequence, RunLease: 8 * time.Second, EndpointIncarnation: initialIncarnation}
	change(&p)
	h.runner.Receive("c", p)
	h.runner.Wake()
}

// advance moves the clock forward in steps of 50 ms and wakes the runner at each.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		h.runner.Wake()
	}
}

func runID(index int) hswork.RunID {
	return hswork.RunID{Task: hswork.TaskID{Job: "j", Index: index}, Number: 1}
}

func plannedRun(index int) hsmessage.PlannedRun {
	return hsmessage.PlannedRun{Run: runID(index), Spec: "s"}
}

// answerStart answers the newest start.
func (h *harness) answerStart(v hsrunner.Verdict) {
	c := h.starts[len(h.starts)-1]
	h.runner.HandleStartResult(c.Run, hsrunner.CallResult{Generation: c.Target.Generation, Verdict: v, Clock: h.reading(), Reason: string(v)})
	h.runner.Wake()
}

func (h *harness) check(what string, got, want any) {
	h.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// TestCalls checks which starts and stops the endpoint receives.
func TestCalls(t *testing.T) {
	one := func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} }
	tables := []struct {
		name string
		play func(h *harness)
		want []string
	}{
		{"a planned run is started once", func(h *harness) { h.sendPlan(one); h.sendPlan(one) }, []string{"start j.0.0.0/1"}},
		{"a start without an answer is retried once the endpoint has answered a hold", func(h *harness) {
			h.sendPlan(one)
			h.answerStart(hsrunner.CallNoAnswer)
			h.advance(300 * time.Millisecond)
			h.check("starts before the endpoint has answered", len(h.starts), 1)
			h.answerHolds()
		}, []string{"start j.0.0.0/1", "start j.0.0.0/1"}},
		{"a refused start isn't retried", func(h *harness) {
			h.sendPlan(one)
			h.answerStart(hsrunner.CallRefused)
			h.advance(time.Second)
			h.check("refused runs", len(h.report.Refused), 1)
		}, []string{"start j.0.0.0/1"}},
		{"a run that isn't planned is stopped", func(h *harness) {
			h.running = []hsmessage.RunningTask{{Run: runID(4)}}
			h.answerHolds()
			h.sendPlan(func(*hsmessage.Plan) {})
		}, []string{"stop j.0.0.4/1"}},
		{"nothing is started on a leaving endpoint", func(h *harness) {
			h.announce(initialIncarnation, 2, true)
			h.sendPlan(one)
		}, nil},
		{"nothing is started by a plan for another incarnation", func(h *harness) {
			h.sendPlan(func(p *hsmessage.Plan) { one(p); p.EndpointIncarnation = initialIncarnation - 1 })
		}, nil},
		{"nothing is started by an older plan", func(h *harness) {
			h.sendPlan(func(*hsmessage.Plan) {})
			h.serial = 0
			h.sendPlan(one)
		}, nil},
		{"nothing is started after the lease has expired", func(h *harness) {
			h.sendPlan(func(*hsmessage.Plan) {})
			h.advance(9 * time.Second)
			h.sendPlan(func(p *hsmessage.Plan) { one(p); p.Sequence = 0 })
		}, nil},
		{"a run with an empty spec is started", func(h *harness) {
			h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{{Run: runID(0)}} })
		}, []string{"start j.0.0.0/1"}},
		{"a run that the leader marks as known isn't started", func(h *harness) {
			h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{{Run: runID(0), Listed: true}} })
		}, nil},
		{"a run that ended isn't started again", func(h *harness) {
			h.ended = []hsmessage.EndedTask{{Number: 1, Run: runID(0), Kind: hswork.EndDone}}
			h.answerHolds()
			h.sendPlan(one)
		}, nil},
	}
	for _, tt := range tables {
		h := newHarness(t)
		tt.play(h)
		h.check(tt.name, h.calls, tt.want)
	}
}

// TestNeverStarted checks that a stopped run is reported as never started only on the evidence of lists that were
// requested after the stop was confirmed. Earlier lists may miss a start that arrives in between.
func TestNeverStarted(t *testing.T) {
	h := newHarness(t)
	h.sendPlan(func(p *hsmessage.Plan) { p.Stops = []hswork.RunID{runID(0)} })
	h.check("calls", h.calls, []string{"stop j.0.0.0/1"})
	early := h.holds
	h.runner.HandleStopResult(runID(0), hsrunner.CallResult{Generation: 1, Verdict: hsrunner.CallDone, Clock: h.reading()})
	late := h.holds[len(early):]
	h.holds = early
	h.answerHolds()
	h.check("never started, by lists requested before the stop", len(h.report.NeverStarted), 0)
	h.holds = late
	h.answerHolds()
	h.check("never started, by lists requested after the stop", h.report.NeverStarted, []hswork.RunID{runID(0)})
}

// TestTruncatedEnds checks that a run isn't taken for one that never started, nor started again, while its end may be
// among those that the endpoint hasn't listed yet. Guards against done tasks that run again (review case 9).
func TestTruncatedEnds(t *testing.T) {
	other := hsmessage.EndedTask{Number: 1, Run: runID(7), Kind: hswork.EndDone}
	own := hsmessage.EndedTask{Number: 2, Run: runID(0), Kind: hswork.EndDone}
	stop := func(h *harness) {
		h.sendPlan(func(p *hsmessage.Plan) { p.Stops = []hswork.RunID{runID(0)} })
		h.runner.HandleStopResult(runID(0), hsrunner.CallResult{Generation: 1, Verdict: hsrunner.CallDone, Clock: h.reading()})
	}
	start := func(h *harness) {
		h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} })
	}
	tables := []struct {
		name string
		plan func(h *harness)
		// next are the ends behind the first ones.
		next         []hsmessage.EndedTask
		neverStarted []hswork.RunID
		starts       int
	}{
		{"a stopped run that ended", stop, []hsmessage.EndedTask{own}, nil, 0},
		{"a stopped run that never started", stop, nil, []hswork.RunID{runID(0)}, 0},
		{"a planned run that ended", start, []hsmessage.EndedTask{own}, nil, 0},
		{"a planned run that never started", start, nil, nil, 1},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.ended, h.truncated = []hsmessage.EndedTask{other}, true
		h.answerHolds()
		tt.plan(h)
		h.answerHolds()
		h.check(tt.name+": never started, with truncated lists", len(h.report.NeverStarted), 0)
		h.check(tt.name+": starts, with truncated lists", len(h.starts), 0)
		h.ended, h.truncated = tt.next, false
		h.advance(time.Second)
		h.answerHolds()
		h.check(tt.name+": never started", h.report.NeverStarted, tt.neverStarted)
		h.check(tt.name+": starts", len(h.starts), tt.starts)
	}
}

// TestEndForgottenByNextLeader checks that a run that can't start is reported again when a plan names it again: the leader
// that was told of it left it out of its plans before its end was committed, and lost the leadership.
func TestEndForgottenByNextLeader(t *testing.T) {
	planRun := func(h *harness) {
		h.sendPlan(func(p *hsmessage.Plan) { p.Term, p.Runs = 4, []hsmessage.PlannedRun{plannedRun(0)} })
	}
	stopResult := func(h *harness, v hsrunner.Verdict) {
		h.runner.HandleStopResult(runID(0), hsrunner.CallResult{Generation: 1, Verdict: v, Clock: h.reading()})
	}
	tables := []struct {
		name string
		play func(h *harness)
	}{
		{"a run that was reported as never started", func(h *harness) {
			stopResult(h, hsrunner.CallDone)
			h.answerHolds()
			h.check("never started, to the first leader", h.report.NeverStarted, []hswork.RunID{runID(0)})
			h.sendPlan(func(*hsmessage.Plan) {})
			h.advance(time.Second)
			h.check("never started, once the plan leaves it out", len(h.report.NeverStarted), 0)
			planRun(h)
		}},
		{"a run whose stop was refused", func(h *harness) {
			stopResult(h, hsrunner.CallRefused)
			planRun(h)
			h.advance(time.Second)
			h.check("calls until the stop is answered", h.calls, []string{"stop j.0.0.0/1", "stop j.0.0.0/1"})
			stopResult(h, hsrunner.CallDone)
			h.answerHolds()
		}},
		{"a run whose stop got no answer", func(h *harness) {
			stopResult(h, hsrunner.CallNoAnswer)
			planRun(h)
			h.advance(time.Second)
			h.check("calls until the stop is answered", h.calls, []string{"stop j.0.0.0/1", "stop j.0.0.0/1"})
			stopResult(h, hsrunner.CallDone)
			h.answerHolds()
		}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.sendPlan(func(p *hsmessage.Plan) { p.Stops = []hswork.RunID{runID(0)} })
		tt.play(h)
		h.advance(time.Second)
		h.check(tt.name+": never started", h.report.NeverStarted, []hswork.RunID{runID(0)})
		h.check(tt.name+": starts", len(h.starts), 0)
	}
}

// TestEndAcknowledgement checks that ends are acknowledged only up to the number in the plan, and not while the
// endpoint may have restarted.
func TestEndAcknowledgement(t *testing.T) {
	h := newHarness(t)
	h.ended = []hsmessage.EndedTask{{Number: 1, Run: runID(0), Kind: hswork.EndDone}, {Number: 2, Run: runID(1), Kind: hswork.EndDone}}
	h.answerHolds()
	acknowledged := func() hswork.EndNumber {
		var highest hswork.EndNumber
		for _, hold := range h.holds {
			highest = max(highest, hold.AckedEnd)
		}
		return highest
	}
	h.check("acknowledged before a plan", acknowledged(), 0)
	h.sendPlan(func(p *hsmessage.Plan) { p.AckedEnd = 1 })
	h.check("acknowledged after a plan", acknowledged(), 1)
	h.dropHolds()
	h.sendPlan(func(p *hsmessage.Plan) { p.AckedEnd = 2 })
	h.advance(300 * time.Millisecond)
	h.check("acknowledged after a hold without an answer", acknowledged(), 0)
	h.answerHolds()
	h.advance(300 * time.Millisecond)
	h.check("acknowledged once the endpoint has answered again", acknowledged(), 2)
}

// TestEndpointTerminated checks that a silent endpoint counts as terminated only after every lease that it was given
// has expired, which are only those of this process once it runs for longer than a lease, and that the planned runs aren't started on it when it answers again.
func TestEndpointTerminated(t *testing.T) {
	h := newHarness(t)
	for range 22 {
		h.advance(500 * time.Millisecond)
		h.answerHolds()
	}
	h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} })
	h.answerStart(hsrunner.CallDone)
	h.dropHolds()
	for range 70 {
		h.advance(100 * time.Millisecond)
		h.dropHolds()
	}
	h.check("terminated while the lease may still be valid", h.report.EndpointTerminated, false)
	for range 30 {
		h.advance(100 * time.Millisecond)
		h.dropHolds()
	}
	h.check("terminated after the lease", h.report.EndpointTerminated, true)
	h.check("runs reported as never started", h.report.NeverStarted, []hswork.RunID{runID(0)})
	h.running = nil
	h.advance(time.Second)
	h.answerHolds()
	h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} })
	h.advance(time.Second)
	h.check("starts", len(h.starts), 1)
}

// TestLateStart freezes the runner between a start and its answer until the lease is over, and lets the endpoint answer
// again while the start may still be under way. The lease must not be extended by a call with the fence of that start:
// the endpoint would begin the run although it was given up and may have been done elsewhere.
func TestLateStart(t *testing.T) {
	tables := []struct {
		name  string
		fence hswork.Fence
		want  bool
	}{
		{"the fence of the start", hswork.NewFence(3, 4), false},
		{"the fence of an earlier plan", hswork.NewFence(3, 3), false},
		{"a higher fence", hswork.NewFence(3, 5), true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.sendPlan(func(p *hsmessage.Plan) {
			p.Fence = hswork.NewFence(3, 4)
			p.Runs = []hsmessage.PlannedRun{plannedRun(0)}
		})
		h.check("fence of the start", h.starts[0].Fence, hswork.NewFence(3, 4))
		h.now = h.now.Add(12 * time.Second)
		h.answerStart(hsrunner.CallNoAnswer)
		h.dropHolds()
		h.runner.Wake()
		h.check("terminated", h.report.EndpointTerminated, true)
		h.check("lowest accepted fence", h.report.MinFence, hswork.NewFence(3, 5))
		h.advance(300 * time.Millisecond)
		h.answerHolds()
		h.sendPlan(func(p *hsmessage.Plan) { p.Fence = tt.fence })
		h.advance(time.Second)
		h.answerHolds()
		extended := false
		for _, hold := range h.holds {
			if hold.Deadline > 0 {
				extended = true
				h.check(tt.name+": fence of the hold that extends the lease", hold.Fence, tt.fence)
			}
		}
		h.check(tt.name+": lease extended", extended, tt.want)
	}
}

// TestRestartBesideSilentEndpoint restarts the runner while its endpoint is silent. The lease that the process before it
// set lasts up to MaxLease, so the runs of the endpoint must not be given up earlier.
func TestRestartBesideSilentEndpoint(t *testing.T) {
	tables := []struct {
		name   string
		silent time.Duration
		want   bool
	}{
		{"until the endpoint counts as unhealthy", 3 * time.Second, false},
		{"until just before the lease of the earlier process ends", hsrunner.DefaultMaxLease, false},
		{"until that lease has ended on a slow clock", hsrunner.DefaultMaxLease + time.Second, true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.advance(50 * time.Millisecond)
		for end := h.now.Add(tt.silent); h.now.Before(end); {
			h.advance(100 * time.Millisecond)
			h.dropHolds()
		}
		h.check(tt.name, h.report.EndpointTerminated, tt.want)
	}
}

// TestLateAnnouncement checks that an announcement of an earlier incarnation is ignored while the later one is
// healthy.
func TestLateAnnouncement(t *testing.T) {
	h := newHarness(t)
	old := hsmessage.Endpoint{ID: "e", Incarnation: initialIncarnation - 10, Pool: "pool"}
	if h.runner.HandleAnnouncement(hsrunner.Announcement{Endpoint: old, Address: "a", Sequence: 99}) {
		t.Errorf("got the announcement of an earlier incarnation accepted, want it ignored")
	}
	h.check("incarnation", h.report.Endpoint.Incarnation, initialIncarnation)
}

// TestLateAnnouncementBesideSilentEndpoint checks that an announcement of an earlier incarnation, which arrives while the
// later one is silent, doesn't shorten the time for which the lease of the later one is awaited. Its runs would be given
// up and started elsewhere while they run.
func TestLateAnnouncementBesideSilentEndpoint(t *testing.T) {
	tables := []struct {
		name   string
		silent time.Duration
		want   bool
	}{
		{"before the lease has expired", 7 * time.Second, false},
		{"after it has expired on a slow clock", 11 * time.Second, true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		for range 22 {
			h.advance(500 * time.Millisecond)
			h.answerHolds()
		}
		h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} })
		h.answerStart(hsrunner.CallDone)
		h.running = []hsmessage.RunningTask{{Run: runID(0)}}
		h.answerHolds()
		terminated := false
		silentUntil := h.now.Add(tt.silent)
		silence := func(until time.Time) {
			for h.now.Before(until) {
				h.advance(100 * time.Millisecond)
				h.dropHolds()
				terminated = terminated || h.report.EndpointTerminated
			}
		}
		silence(h.now.Add(2600 * time.Millisecond))
		h.announce(initialIncarnation-10, 99, false)
		h.dropHolds()
		h.sendPlan(func(p *hsmessage.Plan) { p.EndpointIncarnation = h.report.Endpoint.Incarnation })
		h.announce(initialIncarnation, 2, false)
		h.answerHolds()
		silence(silentUntil)
		h.check(tt.name+": terminated", terminated, tt.want)
	}
}

// TestAnnouncementOfAnotherService checks that announcements of another writer, which name another service and have a count of
// their own, neither take an endpoint out of its service nor make its own announcements count as older. Guards
// against a worker on which nothing runs until its count has caught up (review case 8).
func TestAnnouncementOfAnotherService(t *testing.T) {
	const foreign, foreignCount = hswork.PoolName("legacy"), 57600
	tables := []struct {
		name string
		// pools are the services named by one announcement after another; the last one is the endpoint's own and
		// announces that it leaves.
		pools []hswork.PoolName
	}{
		{"one after those of the endpoint", []hswork.PoolName{"pool", foreign, "pool"}},
		{"one before those of the endpoint", []hswork.PoolName{foreign, "pool", "pool", "pool"}},
		{"several after many of the endpoint", []hswork.PoolName{"pool", "pool", "pool", foreign, foreign, "pool"}},
		{"one in two", []hswork.PoolName{"pool", foreign, "pool", foreign, "pool", foreign, "pool"}},
		{"of two other services", []hswork.PoolName{"pool", "pool", foreign, "other", "pool"}},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.now = h.now.Add(time.Second)
		for i, pool := range tt.pools {
			e := hsmessage.Endpoint{ID: "e", Incarnation: initialIncarnation + 1, Pool: pool, Leaving: i == len(tt.pools)-1}
			a := hsrunner.Announcement{Endpoint: e, Address: "a", Sequence: uint64(i + 1), Clock: h.reading()}
			if pool != "pool" {
				a.Sequence = uint64(foreignCount + i)
			}
			h.runner.HandleAnnouncement(a)
			h.runner.Wake()
		}
		h.check(tt.name+": service and leaving", []any{h.report.Endpoint.Pool, h.report.Endpoint.Leaving}, []any{"pool", true})
	}
}

// TestAnnouncementOfNobody checks that an announcement with a start far in the future, as another writer may send, doesn't
// keep the runner from its endpoint once that has answered.
func TestAnnouncementOfNobody(t *testing.T) {
	h := newHarness(t)
	h.announce(initialIncarnation+1_000_000, 1, false)
	h.check("incarnation before the endpoint has answered", h.report.Endpoint.Incarnation, initialIncarnation+1_000_000)
	h.answerHolds()
	h.announce(initialIncarnation, 2, false)
	h.advance(time.Second)
	h.check("incarnation after the endpoint's next announcement", h.report.Endpoint.Incarnation, initialIncarnation)
}

// TestLateShutdownNotice checks that a shutdown notice of another incarnation doesn't end the present one, whose runs
// would be started a second time elsewhere.
func TestLateShutdownNotice(t *testing.T) {
	const earlier = initialIncarnation - 10
	tables := []struct {
		name    string
		leaving bool
		after   time.Duration
		notice  hsrunner.ShutdownNotice
		want    bool
	}{
		{"of the present incarnation", false, 0, hsrunner.ShutdownNotice{Endpoint: "e", Incarnation: initialIncarnation}, true},
		{"of an earlier incarnation", false, 0, hsrunner.ShutdownNotice{Endpoint: "e", Incarnation: earlier}, false},
		{"of an earlier incarnation, while the present one leaves", true, 3 * time.Second, hsrunner.ShutdownNotice{Endpoint: "e", Incarnation: earlier}, false},
		{"of another endpoint", true, 3 * time.Second, hsrunner.ShutdownNotice{Endpoint: "x", Incarnation: initialIncarnation}, false},
		{"of no incarnation, by an endpoint that doesn't leave", false, 0, hsrunner.ShutdownNotice{Endpoint: "e"}, false},
		{"of no incarnation, long before the endpoint leaves", true, time.Second, hsrunner.ShutdownNotice{Endpoint: "e"}, false},
		{"of no incarnation, when the endpoint leaves", true, 3 * time.Second, hsrunner.ShutdownNotice{Endpoint: "e"}, true},
	}
	for _, tt := range tables {
		h := newHarness(t)
		h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{plannedRun(0)} })
		h.answerStart(hsrunner.CallDone)
		h.running = []hsmessage.RunningTask{{Run: runID(0)}}
		h.answerHolds()
		if tt.leaving {
			e := hsmessage.Endpoint{ID: "e", Incarnation: initialIncarnation, Pool: "pool", Leaving: true, LeavesIn: 3 * time.Second}
			h.runner.HandleAnnouncement(hsrunner.Announcement{Endpoint: e, Address: "a", Sequence: 2, Clock: h.reading()})
		}
		wait := func(d time.Duration) {
			for end := h.now.Add(d); h.now.Before(end); {
				h.advance(500 * time.Millisecond)
				h.answerHolds()
			}
		}
		wait(tt.after)
		h.runner.HandleShutdownNotice(tt.notice)
		wait(time.Second)
		h.check(tt.name+": terminated", h.report.EndpointTerminated, tt.want)
		h.check(tt.name+": leaving", h.report.Endpoint.Leaving, tt.want || tt.leaving)
	}
}

// TestPace checks that best-effort runs are throttled or paused when a serving run nears or misses its target, and
// sped up again step by step.
func TestPace(t *testing.T) {
	h := newHarness(t)
	serving, bestEffort := plannedRun(0), plannedRun(1)
	serving.TailTarget = 100 * time.Millisecond
	bestEffort.BestEffort = true
	h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{serving, bestEffort} })
	tables := []struct {
		name string
		tail int64
		want []string
	}{
		{"well below the target", 50, nil},
		{"near the target", 90, []string{"pace j.0.0.1/1 50"}},
		{"between the thresholds", 70, nil},
		{"over the target", 120, []string{"pace j.0.0.1/1 0"}},
		{"still over the target", 120, nil},
		{"well below the target again", 40, []string{"pace j.0.0.1/1 10"}},
		{"still well below the target", 40, []string{"pace j.0.0.1/1 20"}},
	}
	for _, tt := range tables {
		h.calls = nil
		h.running = []hsmessage.RunningTask{{Run: runID(0), Percent: 100, Load: tt.tail}, {Run: runID(1)}}
		h.advance(500 * time.Millisecond)
		h.answerHolds()
		h.check(tt.name, h.calls, tt.want)
	}
}

// TestUnconfirmedPace checks that a pace without an answer is set again with the next lists, also when the run is to work
// at full speed: it may still be paused.
func TestUnconfirmedPace(t *testing.T) {
	h := newHarness(t)
	serving, bestEffort := plannedRun(0), plannedRun(1)
	serving.TailTarget = 100 * time.Millisecond
	bestEffort.BestEffort = true
	h.sendPlan(func(p *hsmessage.Plan) { p.Runs = []hsmessage.PlannedRun{serving, bestEffort} })
	list := func(tail int64) {
		h.calls = nil
		h.running = []hsmessage.RunningTask{{Run: runID(0), Percent: 100, Load: tail}, {Run: runID(1)}}
		h.advance(500 * time.Millisecond)
		h.answerHolds()
	}
	list(120)
	h.check("over the target", h.calls, []string{"pace j.0.0.1/1 0"})
	list(40)
	h.check("well below it", h.calls, []string{"pace j.0.0.1/1 10"})
	h.runner.HandlePaceResult(runID(1), hsrunner.CallResult{Generation: 1, Verdict: hsrunner.CallNoAnswer})
	list(40)
	h.check("after no answer", h.calls, []string{"pace j.0.0.1/1 100"})
	list(40)
	h.check("once more", len(h.calls), 0)
}
