package hsshare_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"hyssopseam/core/command/hsshare"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hswork"
)

// job is one request of a load. Its objective is twice its declared run time plus two seconds.
type job struct {
	workspace hsid.WorkspaceID
	priority  int
	need      hswork.Resources
	arrives   time.Duration
	declared  time.Duration
	// runs is the actual run time.
	runs time.Duration
	// givesUp is how long after its arrival the caller cancels it, waiting or running; 0 for never.
	givesUp time.Duration

	started, ended time.Duration
	running, over  bool
}

func (j *job) deadline() time.Duration { return j.arrives + 2*j.declared + 2*time.Second }

// late reports whether the caller waited for the result and got it after the objective.
func (j *job) late() bool { return j.givesUp == 0 && (!j.over || j.ended > j.deadline()) }

// scheme orders the waiting jobs of one priority, which are in the order of their deadlines, and learns what starts and ends.
type scheme interface {
	order(waiting, running []*job) []*job
	started(j *job)
}

// deadlineOrder is the order without shares.
type deadlineOrder struct{}

func (deadlineOrder) order(waiting, _ []*job) []*job { return waiting }
func (deadlineOrder) started(*job)                   {}

// dominantShares is the scheme of the package. It holds the last start of each workspace.
type dominantShares map[hsid.WorkspaceID]time.Duration

func (s dominantShares) order(waiting, running []*job) []*job {
	l := hsshare.New(capacity)
	for w, at := range s {
		l.Started(w, at)
	}
	for _, j := range running {
		l.Use(hsshare.Origin{Workspace: j.workspace}, j.need, 1)
	}
	var requests []hsshare.Request
	for _, j := range waiting {
		requests = append(requests, hsshare.Request{Origin: hsshare.Origin{Workspace: j.workspace}, Need: j.need, Tasks: 1})
	}
	ordered := make([]*job, 0, len(waiting))
	for _, i := range l.Order(requests) {
		ordered = append(ordered, waiting[i])
	}
	return ordered
}

func (s dominantShares) started(j *job) { s[j.workspace] = j.started }

// startTimes is start-time fair queueing. A job gets the virtual time at which its workspace has had its earlier work, but not
// less than that of the job that started last, as its start tag; the smallest start tag goes first. Work is declared run time
// times dominant demand.
type startTimes struct {
	virtual float64
	// finish holds the tag at which the last job that each workspace started ends.
	finish map[hsid.WorkspaceID]float64
}

func work(j *job) float64 {
	l := hsshare.New(capacity)
	l.Use(hsshare.Origin{}, j.need, 1)
	return float64(l.Workspace("")) * j.declared.Seconds()
}

func (s *startTimes) order(waiting, _ []*job) []*job {
	finish := map[hsid.WorkspaceID]float64{}
	tags := map[*job]float64{}
	for _, j := range waiting {
		if _, ok := finish[j.workspace]; !ok {
			finish[j.workspace] = max(s.finish[j.workspace], s.virtual)
		}
		tags[j] = finish[j.workspace]
		finish[j.workspace] += work(j)
	}
	ordered := slices.Clone(waiting)
	slices.SortStableFunc(ordered, func(a, b *job) int { return cmp.Compare(tags[a], tags[b]) })
	return ordered
}

func (s *startTimes) started(j *job) {
	tag := max(s.finish[j.workspace], s.virtual)
	s.virtual = max(s.virtual, tag)
	s.finish[j.workspace] = tag + work(j)
}

// simulate runs a load on the capacity. In each step the jobs start that fit, by priority and then as the scheme has them.
func simulate(s scheme, load []*job) {
	const step = 100 * time.Millisecond
	for now := time.Duration(0); now < 5*time.Minute; now += step {
		free := capacity
		var running []*job
		byPriority := make([][]*job, 3)
		for _, j := range load {
			gaveUp := j.givesUp > 0 && now-j.arrives >= j.givesUp
			if j.running && (gaveUp || now-j.started >= j.runs) {
				j.running, j.over, j.ended = false, true, now
			}
			switch {
			case j.running:
				running = append(running, j)
				free = free.Minus(j.need)
			case !j.over && !gaveUp && j.arrives <= now:
				byPriority[j.priority] = append(byPriority[j.priority], j)
			}
		}
		for _, waiting := range byPriority {
			slices.SortStableFunc(waiting, func(a, b *job) int { return cmp.Compare(a.deadline(), b.deadline()) })
			for _, j := range s.order(waiting, running) {
				if free.Holds(j.need) {
					free = free.Minus(j.need)
					j.running, j.started = true, now
					running = append(running, j)
					s.started(j)
				}
			}
		}
	}
}

// jobs returns a number of equal jobs that arrive at equal intervals.
func jobs(count int, every time.Duration, j job) []*job {
	var list []*job
	for i := range count {
		next := j
		next.arrives += time.Duration(i) * every
		next.declared = cmp.Or(next.declared, next.runs)
		list = append(list, &next)
	}
	return list
}

// TestSchemes compares schemes for fair shares over loads in which one workspace, heavy, competes with another, light. Light
// needs less than half of the capacity and none of its jobs may be late with the scheme that the package has; the others
// are logged. Nor may heavy be slowed more than by what light uses.
func TestSchemes(t *testing.T) {
	const s = time.Second
	small, whole := accelerators(4), accelerators(80)
	heavy := job{workspace: "heavy", need: small, runs: 2 * s}
	light := job{workspace: "light", need: small, runs: 2 * s}
	change := func(j job, change func(j *job)) job {
		change(&j)
		return j
	}
	tables := []struct {
		name string
		load [][]*job
		// ends is when heavy's jobs are all over at the latest.
		ends time.Duration
	}{
		{"a burst of heavy", [][]*job{jobs(400, 0, heavy), jobs(120, s/2, light)}, 50 * s},
		{"a heavy tail: heavy's runs take seven times as long as declared",
			[][]*job{jobs(200, s/10, change(heavy, func(j *job) { j.declared, j.runs = 2*s, 14*s })), jobs(120, s/2, light)}, 160 * s},
		{"light's callers give up", [][]*job{jobs(400, 0, heavy), jobs(60, s/2, light),
			jobs(60, s/2, change(light, func(j *job) { j.runs, j.givesUp = 20*s, s/5 }))}, 50 * s},
		{"heavy was alone before", [][]*job{jobs(400, s/10, heavy), jobs(60, s/2, change(light, func(j *job) { j.arrives = 20 * s }))}, 50 * s},
		{"jobs that need the whole fleet", [][]*job{jobs(60, 0, change(heavy, func(j *job) { j.need, j.runs = whole, s })),
			jobs(10, 4*s, change(light, func(j *job) { j.need, j.runs = whole, s }))}, 70 * s},
		{"heavy's small jobs against light's gangs", [][]*job{jobs(400, 0, change(heavy, func(j *job) { j.need = accelerators(2) })),
			jobs(10, 4*s, change(light, func(j *job) { j.need, j.runs = accelerators(32), s }))}, 25 * s},
		{"too little room for three priorities", [][]*job{jobs(100, s/5, heavy), jobs(400, s/20, change(heavy, func(j *job) { j.priority = 1 })),
			jobs(200, s/10, change(heavy, func(j *job) { j.priority = 2 })), jobs(60, s/2, light), jobs(40, s, change(light, func(j *job) { j.priority = 1 }))}, 82 * s},
		{"heavy alone", [][]*job{jobs(400, 0, heavy)}, 40 * s},
	}
	for _, tt := range tables {
		for _, sc := range []struct {
			name   string
			scheme scheme
			kept   bool
		}{
			{"dominant resource", dominantShares{}, true},
			{"start time", &startTimes{finish: map[hsid.WorkspaceID]float64{}}, false},
			{"deadline", deadlineOrder{}, false},
		} {
			var load []*job
			for _, list := range tt.load {
				for _, j := range list {
					again := *j
					load = append(load, &again)
				}
			}
			simulate(sc.scheme, load)
			late := 0
			var ended time.Duration
			for _, j := range load {
				switch {
				case j.workspace == "heavy":
					ended = max(ended, j.ended)
				case j.late():
					late++
				}
			}
			t.Logf("%s: %s: light has %d late, heavy ends after %s", tt.name, sc.name, late, ended)
			if sc.kept && (late > 0 || ended > tt.ends) {
				t.Errorf("%s: got %d late jobs of light and heavy's end after %s, want 0 and at most %s", tt.name, late, ended, tt.ends)
			}
		}
	}
}
