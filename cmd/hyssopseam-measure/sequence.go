package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/play"
)

// stream is a random stream of arrivals of one kind of job.
type stream struct {
	workspaces []hsid.WorkspaceID
	kind       hsid.JobKind
	shape      hsshape.Shape
	class      hsstate.Class
	// meanGap is the mean time between two arrivals, and medianRun the median run time. About two thirds of the run
	// times lie between medianRun / spread and medianRun * spread. stopTime is how long a task takes to stop.
	meanGap   time.Duration
	medianRun time.Duration
	spread    float64
	stopTime  time.Duration
	// burst is the number of jobs that arrive together.
	burst int
	// startWithin is the time to start that callers request; zero for none.
	startWithin time.Duration
}

// sequence describes a deployment and the jobs that arrive in it.
type sequence struct {
	name           string
	workers        int
	workersPerRack int
	accelerators   hsid.Accelerators
	rules          string
	streams        []stream
	length         time.Duration
	// weights are the weights of completion and fragmentation, in this order.
	weights        [2]float64
	sampleInterval time.Duration
	reportInterval time.Duration
}

// arrival is one job of a sequence.
type arrival struct {
	at   time.Duration
	spec hsstate.Spec
}

func shape(per, workers int) hsshape.Shape {
	return hsshape.Shape{PerWorker: hsid.Accelerators(per), Workers: hsid.WorkerCount(workers)}
}

func sequences() []sequence {
	return []sequence{kumasi(), portLouis(), saturated(), target()}
}

func kumasi() sequence {
	all := []hsid.WorkspaceID{"kejetia", "suame", "bantama", "accra"}
	return sequence{
		name: "kumasi", workers: 10, workersPerRack: 3, accelerators: 8, length: 12 * time.Hour, weights: [2]float64{2, 1},
		sampleInterval: time.Minute, reportInterval: 5 * time.Second,
		rules: "guarantee workspace=kejetia shape=8x1worker within=1.4s # a\n" +
			"guarantee workspace=suame shape=4x1worker within=1.4s # a\n" +
			"guarantee workspace=bantama shape=4x1worker within=5s # a\n" +
			"guarantee workspace=accra shape=2x1worker within=5s # a\n" +
			"refuse job=sizeRun # a\nonce job=order # a\n",
		streams: []stream{
			{all, "counterCheck", shape(1, 1), hsstate.Urgent, 15 * time.Second, 8 * time.Second, 2, 50 * time.Millisecond, 1, 0},
			{all, "counterCheck", shape(1, 1), hsstate.Urgent, 90 * time.Minute, 8 * time.Second, 2, 50 * time.Millisecond, 60, 0},
			{all, "order", shape(2, 1), hsstate.Normal, 4 * time.Minute, 2 * time.Minute, 2, time.Second, 1, 0},
			{all, "fittingBlock", shape(4, 1), hsstate.Normal, 10 * time.Minute, 15 * time.Minute, 2, 400 * time.Millisecond, 1, 0},
			{all[:1], "fittingBlock", shape(8, 1), hsstate.Normal, 30 * time.Minute, 15 * time.Minute, 2, 400 * time.Millisecond, 1, 0},
			{all, "batchMeasure", shape(1, 1), hsstate.Batch, 40 * time.Second, 10 * time.Minute, 3, 300 * time.Millisecond, 1, 0},
			{all, "sizeRun", shape(8, 2), hsstate.Batch, 75 * time.Minute, time.Hour, 1.5, 800 * time.Millisecond, 1, 3 * time.Hour},
		},
	}
}

func portLouis() sequence {
	all := []hsid.WorkspaceID{"harbour", "sugar", "freight", "agents"}
	return sequence{
		name: "portLouis", workers: 10, workersPerRack: 3, accelerators: 8, length: 12 * time.Hour, weights: [2]float64{1, 2},
		sampleInterval: time.Minute, reportInterval: 5 * time.Second,
		rules: "guarantee workspace=harbour shape=8x2workers within=10s # a\n" +
			"guarantee workspace=freight shape=4x1worker within=5s # a\n" +
			"guarantee workspace=agents shape=2x1worker within=1.4s # a\n" +
			"refuse job=forecast # a\nonce job=booking # a\n",
		streams: []stream{
			{all, "booking", shape(1, 1), hsstate.Urgent, 10 * time.Second, 20 * time.Second, 2, time.Second, 1, 0},
			{all, "sidingCheck", shape(1, 1), hsstate.Normal, 30 * time.Second, 4 * time.Minute, 3, 200 * time.Millisecond, 1, 0},
			{all, "sidingCheck", shape(1, 1), hsstate.Normal, 2 * time.Hour, 4 * time.Minute, 3, 200 * time.Millisecond, 80, 0},
			{all[:1], "allocationPass", shape(8, 2), hsstate.Normal, 100 * time.Minute, 50 * time.Minute, 1.5, 2 * time.Second, 1, 0},
			{all, "allocationPass", shape(8, 3), hsstate.Normal, 3 * time.Hour, 40 * time.Minute, 1.5, 2 * time.Second, 1, 0},
			{all, "yardPlan", shape(4, 1), hsstate.Normal, 8 * time.Minute, 15 * time.Minute, 2, time.Second, 1, 0},
			{all, "forecast", shape(2, 1), hsstate.Batch, 100 * time.Second, 12 * time.Minute, 3, 500 * time.Millisecond, 1, time.Hour},
		},
	}
}

// saturated is the Kumasi deployment with more long jobs of three workspaces than fit, while the fourth workspace only
// now and then submits a job that its guarantee covers.
func saturated() sequence {
	s := kumasi()
	s.name = "saturated"
	s.length = 6 * time.Hour
	busy := []hsid.WorkspaceID{"suame", "bantama", "accra"}
	s.streams = []stream{
		{busy, "order", shape(2, 1), hsstate.Normal, 90 * time.Second, 30 * time.Minute, 2, time.Second, 1, 0},
		{busy, "batchMeasure", shape(1, 1), hsstate.Batch, 30 * time.Second, 40 * time.Minute, 3, 300 * time.Millisecond, 1, 0},
		{[]hsid.WorkspaceID{"kejetia"}, "fittingBlock", shape(8, 1), hsstate.Urgent, 20 * time.Minute, 5 * time.Minute, 1.5, 400 * time.Millisecond, 1, 0},
	}
	return s
}

// target is modelled on the deployment in two years: 770 workers, about 590 jobs a day, most of which run for hours,
// and about 7,900 running tasks.
func target() sequence {
	var all []hsid.WorkspaceID
	rules := ""
	for i := range 25 {
		w := hsid.WorkspaceID(fmt.Sprintf("team-%02d", i))
		all = append(all, w)
		rules += fmt.Sprintf("quota workspace=%s accelerators=2000 # a\nguarantee workspace=%s shape=8x%dworkers within=1.4s # a\n", w, w, 2+i%3)
	}
	return sequence{
		name: "target", workers: 770, workersPerRack: 70, accelerators: 8, length: 24 * time.Hour, weights: [2]float64{2, 1},
		sampleInterval: 30 * time.Minute, reportInterval: 20 * time.Second,
		rules: rules + "refuse job=sweep # a\nonce job=order # a\n",
		streams: []stream{
			{all, "train", shape(8, 64), hsstate.Normal, 140 * time.Minute, 9 * time.Hour, 1.5, 900 * time.Millisecond, 1, 0},
			{all, "tune", shape(8, 16), hsstate.Normal, 40 * time.Minute, 7 * time.Hour, 2, 900 * time.Millisecond, 1, 0},
			{all, "sweep", shape(1, 1), hsstate.Batch, 5 * time.Minute, 6 * time.Hour, 2, 300 * time.Millisecond, 1, 0},
			{all, "fit", shape(8, 2), hsstate.Urgent, 10 * time.Minute, 20 * time.Minute, 2, 300 * time.Millisecond, 1, 0},
			{all, "order", shape(2, 1), hsstate.Normal, 20 * time.Minute, 10 * time.Minute, 2, 300 * time.Millisecond, 1, 0},
		},
	}
}

// arrivals draws the jobs of a sequence at random. The expected run times that callers declare are wrong by up to a
// factor of ten in either direction.
func (s *sequence) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 77))
	var all []arrival
	for _, x := range s.streams {
		for at := exponentialGap(r, x.meanGap); at < s.length; at += exponentialGap(r, x.meanGap) {
			for range x.burst {
				run := time.Duration(float64(x.medianRun) * math.Exp(r.NormFloat64()*math.Log(x.spread)))
				all = append(all, arrival{at: at, spec: hsstate.Spec{
					Workspace:   x.workspaces[r.IntN(len(x.workspaces))],
					Kind:        x.kind,
					Shape:       x.shape,
					Class:       x.class,
					Key:         hsid.IdempotencyKey(fmt.Sprintf("%s-%d", x.kind, len(all))),
					Expect:      time.Duration(float64(run) * math.Pow(10, 2*r.Float64()-1)),
					StartWithin: x.startWithin,
					Input:       fmt.Appendf(nil, "%d %d", run, x.stopTime),
				}})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func exponentialGap(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// parsePlan reads the run time and the stop time of a job's tasks from its input. An invalid input gives a zero plan.
func parsePlan(_ hsid.JobKind, input []byte) play.Plan {
	var run, stop int64
	if _, err := fmt.Sscan(string(input), &run, &stop); err != nil {
		return play.Plan{}
	}
	return play.Plan{Run: time.Duration(run), Stop: time.Duration(stop)}
}
