package hsquorum_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
)

// TestStateful runs random operations on clusters of 3 and 5 voters and checks the result against a list of the
// acknowledged commands. The operations include lost, duplicated, delayed and reordered messages, crashes before and
// after each sync, drifting clocks, network partitions and membership changes.
func TestStateful(t *testing.T) {
	tables := []struct {
		name     string
		voters   int
		learners int
	}{
		{"three", 3, 2},
		{"five", 5, 1},
	}
	for _, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				config := hsquorum.Config{
					SnapshotEntries:    rapid.SampledFrom([]int{5, 20, 1000}).Draw(t, "snapshotEvery"),
					RetainEntries:      rapid.SampledFrom([]int{1, 4}).Draw(t, "retain"),
					MaxBatch:           rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "maxBatch"),
					SnapshotChunkBytes: hsid.Bytes(rapid.SampledFrom([]int{16, 4096}).Draw(t, "chunk")),
				}
				c := newCluster(t, rapid.Uint64().Draw(t, "seed"), tt.voters, tt.learners, config)
				steps := rapid.IntRange(50, 600).Draw(t, "steps")
				for range steps {
					randomStep(t, c)
				}
				c.healAndCheck()
			})
		})
	}
}

// randomStep performs one random operation. Most operations let the cluster make progress, so that the rare faults
// hit it in all its states.
func randomStep(t *rapid.T, c *cluster) {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	switch kind := rapid.IntRange(0, 99).Draw(t, "kind"); {
	case kind < 30:
		c.runTicks(rapid.IntRange(1, 40).Draw(t, "rounds"), 25*time.Millisecond)
	case kind < 45:
		for range min(len(c.inFlight), rapid.IntRange(1, 12).Draw(t, "messages")) {
			c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "flight"), kind < 33)
		}
	case kind < 55:
		for _, x := range c.nodes {
			x.finishSave()
		}
	case kind < 63:
		c.advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "milliseconds")) * time.Millisecond)
	case kind < 66:
		c.advance(time.Duration(rapid.IntRange(300, 1500).Draw(t, "milliseconds")) * time.Millisecond)
	case kind < 75:
		c.propose()
	case kind < 79:
		if n.replica != nil {
			n.crash(rapid.Bool().Draw(t, "written"))
		}
	case kind < 84:
		if n.replica == nil {
			n.start()
		}
	case kind < 86:
		c.cutLinks[[2]hsid.ReplicaID{n.id, c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "other")].id}] = true
	case kind < 89:
		c.isolate(n.id)
	case kind < 91:
		for _, l := range c.leaders() {
			c.isolate(l.id)
		}
	case kind < 94:
		clear(c.cutLinks)
	case kind < 96:
		if n.replica != nil {
			n.replica.TransferLeadership()
		}
	default:
		c.proposeChange(n.id, rapid.IntRange(0, 2).Draw(t, "change"))
	}
}
