package whole

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsdispatch"
	"hyssopseam/core/command/hsspeed"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
	"hyssopseam/internal/play"
)

// speedWorkers is the number of workers of a speedHarness; each third of them takes 2.4 times as long.
const speedWorkers = 18

// speedHarness is a simulated deployment with uneven workers and a steady load of gangs and single tasks.
type speedHarness struct {
	w    *play.World
	jobs int
}

func speedConfig(learn bool) hscontrol.Config {
	c := hscontrol.Config{
		Work:         hsdispatch.Config{Lease: 8 * time.Second, StopTimeout: 400 * time.Millisecond, Features: hsdispatch.Features{Speeds: learn}},
		ReplaceAfter: 1500 * time.Millisecond,
	}
	c.Quorum.SnapshotEntries = 50
	c.Quorum.RetainEntries = 8
	return c
}

func newSpeedHarness(learn bool) *speedHarness {
	h := &speedHarness{w: play.New(play.Config{Seed: 1, Controls: 3, Control: speedConfig(learn), Interval: 500 * time.Millisecond, PlatformJitter: 20 * time.Millisecond, EncodeMessages: true})}
	h.w.Work = func(t hswork.TaskID) play.WorkPlan {
		p := play.WorkPlan{Need: hswork.Resources{Cores: 1000, Accelerators: 2}, Duration: 4 * time.Second}
		if t.Step == 0 {
			p.Gang = 6
		}
		return p
	}
	for i := range speedWorkers {
		rack := hswork.Label(fmt.Sprintf("r1-%d", i/6+1))
		r := h.w.AddRunner(hsid.InstanceID(fmt.Sprintf("w%02d", i)), hsmessage.Endpoint{
			ID: hswork.EndpointID(fmt.Sprintf("e%d", i)), Pool: "pool", Labels: []hswork.Label{"a", rack}, Rack: rack,
			Capacity: hswork.Resources{Cores: 8000, Memory: 8 * hsid.GiB, Accelerators: 8},
		})
		r.Endpoint.Slowdown = 1
		if i%3 == 0 {
			r.Endpoint.Slowdown = 2.4
		}
	}
	h.w.Run(5 * time.Second)
	c := &hswork.Catalog{Version: 1, Pools: []hswork.Pool{{Name: "pool"}}}
	c.Queues = []hswork.Queue{{Name: "q", Host: workHost, Prefix: workPrefix + "/", Pool: "pool", MaxAttempts: 3, Stretch: 3, Target: time.Second, Timeout: 3 * time.Second}}
	c.Workspaces = []hswork.Workspace{{Name: "a", Keys: []string{workKey}}}
	h.do(&hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: c})
	h.w.Run(3 * time.Second)
	return h
}

func (h *speedHarness) do(q *hsmessage.WorkRequest) {
	h.w.Entry.Do(hsmessage.Request{Work: q}, func(hsmessage.Reply) {})
}

// load submits a job of a gang and of single tasks each half second, and lets time pass.
func (h *speedHarness) load(d time.Duration) {
	for range int(d / (500 * time.Millisecond)) {
		h.jobs++
		id := hswork.ID(fmt.Sprintf("%016x", h.jobs))
		need := hswork.Resources{Cores: 1000, Memory: hsid.GiB / 8, Accelerators: 2}
		s := &hswork.Submission{ID: id, Spec: "s", Steps: []hswork.Step{
			{Count: 6, Gang: true, Need: need, Estimate: 3 * time.Second},
			{Count: 4, Need: need, Estimate: 5 * time.Second},
		}}
		h.do(&hsmessage.WorkRequest{Action: hsmessage.WorkSubmit, Host: workHost, Path: workPrefix + "/" + string(id), Key: workKey, Submission: s})
		h.w.Run(500 * time.Millisecond)
	}
}

// leaderNode returns the node that leads, or nil.
func (h *speedHarness) leaderNode() *play.Control {
	for _, n := range h.w.Controls {
		if n.Role() != nil && n.Role().Leading() {
			return n
		}
	}
	return nil
}

// slow returns the number of workers that the leader regards as slow, and the number of those that are and of all that have a
// committed speed above that of the average worker.
func (h *speedHarness) slow() (classified, right, all int) {
	n := h.leaderNode()
	if n == nil {
		return 0, 0, 0
	}
	for id, s := range n.Role().State().Work.Speeds {
		if s.Slowdown > 0.2 {
			all++
			var i int
			if _, err := fmt.Sscanf(string(id), "w%02d", &i); err == nil && i%3 == 0 {
				right++
			}
		}
	}
	return n.Role().WorkersBySpeed()[hsspeed.Slow], right, all
}

// TestSpeedsSurvive checks that the leader knows the slow workers right after failures of control replicas. Urgent jobs were late
// again after each change of leader, as the speeds were lost with it.
func TestSpeedsSurvive(t *testing.T) {
	tables := []struct {
		name string
		fail func(h *speedHarness)
	}{
		{"nothing fails", func(*speedHarness) {}},
		{"the leader is killed while speeds are learned", func(h *speedHarness) {
			n := h.leaderNode()
			n.Crash(false)
			h.w.Run(4 * time.Second)
			n.Start()
		}},
		{"the leader is cut off from the others and keeps learning", func(h *speedHarness) {
			h.w.Isolate(h.leaderNode().Peer())
			h.load(6 * time.Second)
			h.w.Heal()
			h.w.Run(2 * time.Second)
		}},
		{"all control processes are restarted after the last run", func(h *speedHarness) {
			h.w.Run(20 * time.Second)
			for _, n := range h.w.Controls {
				n.Crash(true)
			}
			h.w.Run(2 * time.Second)
			for _, n := range h.w.Controls {
				n.Start()
			}
			h.w.Run(5 * time.Second)
		}},
		{"a follower's disk is lost and replaced by a snapshot", func(h *speedHarness) {
			for _, n := range h.w.Controls {
				if n != h.leaderNode() {
					n.Wipe()
					n.Start()
					break
				}
			}
			h.w.Run(10 * time.Second)
			h.leaderNode().Crash(false)
			h.w.Run(4 * time.Second)
		}},
	}
	for _, tt := range tables {
		h := newSpeedHarness(true)
		h.load(20 * time.Second)
		tt.fail(h)
		classified, right, all := h.slow()
		if classified < 5 || right < 5 || all > 7 {
			t.Errorf("%s: got %d slow workers, and %d right ones of %d in the state, want about 6 of 6", tt.name, classified, right, all)
		}
	}
}

// TestSpeedsAfterUpgrade restarts a cluster that learned no speeds, whose snapshots and logs are those of an earlier build, with
// speeds. It guards against a replica that can't read its own disk after an upgrade, and against speeds in the state while they
// are off.
func TestSpeedsAfterUpgrade(t *testing.T) {
	h := newSpeedHarness(false)
	h.load(15 * time.Second)
	if classified, _, all := h.slow(); classified != 0 || all != 0 || len(h.leaderNode().Role().State().Work.Speeds) != 0 {
		t.Errorf("got %d slow workers and %d in the state while speeds are off", classified, all)
	}
	h.w.Reconfigure(speedConfig(true))
	for _, n := range h.w.Controls {
		n.Crash(true)
	}
	for _, n := range h.w.Controls {
		n.Start()
	}
	h.w.Run(5 * time.Second)
	h.load(20 * time.Second)
	if classified, right, all := h.slow(); classified < 5 || right < 5 || all > 7 {
		t.Errorf("got %d slow workers, and %d right ones of %d in the state, want about 6 of 6", classified, right, all)
	}
}
