package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsview"
	"hyssopseam/io/hsjson"
)

// table prints rows in aligned columns; flush writes them out.
type table struct {
	w *tabwriter.Writer
}

func (t *tool) table(columns ...string) table {
	x := table{w: tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)}
	x.row(columns...)
	return x
}

func (x table) row(cells ...string) { fmt.Fprintln(x.w, strings.Join(cells, "\t")) }

func (x table) flush() { _ = x.w.Flush() }

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

// viewCommand returns a command that fetches one view and prints it with show. It prints the JSON instead with --json,
// or when show is nil.
func (t *tool) viewCommand(name, help, path string, show func(data []byte) error) *ffcli.Command {
	fs := t.flags(name)
	c := newClient(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "hyssopseam " + name, ShortHelp: "show " + help,
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			data, err := c.do(ctx, call{method: http.MethodGet, path: path})
			if err != nil {
				return err
			}
			if c.json || show == nil {
				fmt.Fprintf(t.out, "%s\n", data)
				return nil
			}
			return show(data)
		},
	}
}

func (t *tool) printStatus(data []byte) error {
	var s hsview.Status
	if err := hsjson.Unmarshal(data, &s); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "leader %s in term %d; rules %d, everywhere %v %v\n", s.Leader, s.Term, s.Rules, s.Everywhere, s.Lagging)
	fmt.Fprintf(t.out, "%d workers, %d accelerators, %d free, fragmentation %.2f for %s\n", s.Workers, s.Accelerators, s.Free, s.Fragmentation, s.LargestDemand)
	fmt.Fprintf(t.out, "%d jobs queued (oldest waits %s), %d running, %d finished\n", s.Queued, formatDuration(s.OldestWait), s.Running, s.Finished)
	if len(s.EvacuatedZones) > 0 {
		fmt.Fprintf(t.out, "evacuated zones: %v\n", s.EvacuatedZones)
	}
	if len(s.Quarantined) > 0 {
		fmt.Fprintf(t.out, "quarantined: %v\n", s.Quarantined)
	}
	if len(s.Guarantees) > 0 {
		x := t.table("GUARANTEE", "SHAPE", "WITHIN", "BACKED", "RECLAIM", "HOME", "REMARKS")
		for _, g := range s.Guarantees {
			remarks := g.Reason
			if len(g.Fragile) > 0 {
				remarks += " unbacked after the loss of " + strings.Join(g.Fragile, " or ")
			}
			x.row(string(g.Workspace), g.Shape, g.Within.String(), fmt.Sprint(g.Backed), formatDuration(g.Reclaim), formatPlacements(g.Home), remarks)
		}
		x.flush()
	}
	if len(s.WorkShares) > 0 {
		x := t.table("WORKSPACE", "CALLERS' ZONE", "SHARE")
		for _, w := range s.WorkShares {
			x.row(string(w.Workspace), string(w.Zone), fmt.Sprintf("%.2f", w.Share))
		}
		x.flush()
	}
	if len(s.Completion) > 0 {
		x := t.table("CLASS", "WORKSPACE", "ANSWERED", "P50", "P99", "MAX")
		for _, c := range s.Completion {
			x.row(c.Class, string(c.Workspace), fmt.Sprint(c.Spread.Count), formatDuration(c.Spread.P50), formatDuration(c.Spread.P99), formatDuration(c.Spread.Max))
		}
		x.flush()
	}
	return nil
}

func formatPlacements(parts []hsview.Placement) string {
	var texts []string
	for _, p := range parts {
		texts = append(texts, fmt.Sprintf("%s%v", p.Worker, p.Accelerators))
	}
	return strings.Join(texts, " ")
}

func (t *tool) printWorkers(data []byte) error {
	var workers []hsview.Worker
	if err := hsjson.Unmarshal(data, &workers); err != nil {
		return err
	}
	x := t.table("WORKER", "ZONE", "RACK", "ACCELERATORS", "FREE", "STATE", "RULES", "TASKS")
	for _, w := range workers {
		x.row(string(w.Instance), string(w.Zone), string(w.Rack), fmt.Sprint(w.Accelerators), fmt.Sprint(w.Free), w.State, fmt.Sprint(w.Rules), strings.Join(w.Tasks, ", "))
	}
	x.flush()
	return nil
}

func (t *tool) printJobs(jobs []hsview.Job) {
	x := t.table("JOB", "WORKSPACE", "KIND", "SHAPE", "CLASS", "PHASE", "OUTCOME", "ATTEMPT", "WAITED", "WORKERS")
	for _, j := range jobs {
		x.row(string(j.ID), string(j.Workspace), string(j.Kind), j.Shape, j.Class, j.Phase, j.Outcome, fmt.Sprint(j.Attempt), formatDuration(j.Waited), formatPlacements(j.Workers))
	}
	x.flush()
}

func (t *tool) explainCommand() *ffcli.Command {
	command := t.newJobCommand("explain", "say why a job waits, runs or was refused", func(ctx context.Context, c *client, id string) error {
		e, data, err := get[hsview.Explanation](ctx, c, jobPath(id)+"/explanation", 0)
		if err != nil {
			return err
		}
		if c.json {
			fmt.Fprintf(t.out, "%s\n", data)
			return nil
		}
		fmt.Fprintf(t.out, "job %s (%s %s %s): %s\n", e.Job.ID, e.Job.Kind, e.Job.Shape, e.Job.Class, e.Summary)
		for _, o := range e.Obstacles {
			fmt.Fprintf(t.out, "  because %s\n", o)
		}
		for _, p := range e.Candidates {
			fmt.Fprintf(t.out, "  place: %s\n", p)
		}
		return nil
	})
	command.ShortUsage = "hyssopseam explain JOB"
	return command
}
