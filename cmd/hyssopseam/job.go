package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsview"
)

// jobPollWait is how long the server may wait in each poll until the job has finished.
const jobPollWait = 5 * time.Second

func (t *tool) jobCommand() *ffcli.Command {
	return group("job", "submit, follow and cancel jobs",
		t.jobSubmit(), t.jobGet(), t.jobAnswer(), t.jobCancel(), t.jobList())
}

// submission is the request body that submits a job.
type submission struct {
	Workspace   string `json:"workspace"`
	Kind        string `json:"kind"`
	Shape       string `json:"shape"`
	Class       string `json:"class,omitempty"`
	Input       []byte `json:"input,omitempty"`
	Expect      string `json:"expect,omitempty"`
	StartWithin string `json:"startWithin,omitempty"`
	MilliCores  int64  `json:"milliCores,omitempty"`
	MemoryBytes int64  `json:"memoryBytes,omitempty"`
}

func (s *submission) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Workspace, "workspace", "", "workspace that the job belongs to")
	fs.StringVar(&s.Kind, "kind", "", "kind of the job, which rules refer to")
	fs.StringVar(&s.Shape, "shape", "1x1worker", "adjacent accelerators, such as 4x1worker or 8x3workers")
	fs.StringVar(&s.Class, "class", "normal", "urgent, normal or batch")
	fs.StringVar(&s.Expect, "expect", "", "expected run time, such as 90s; a hint for the scheduler")
	fs.StringVar(&s.StartWithin, "startWithin", "", "longest acceptable time until the start, such as 90s")
	fs.Int64Var(&s.MilliCores, "milliCores", 0, "thousandths of a core on each worker")
	fs.Int64Var(&s.MemoryBytes, "memoryBytes", 0, "bytes of memory on each worker")
}

// submitResponse is the response to a submission that was accepted.
type submitResponse struct {
	ID      string `json:"id"`
	Verdict string `json:"verdict"`
	Rules   uint64 `json:"rules"`
}

func (t *tool) jobSubmit() *ffcli.Command {
	fs := t.flags("submit")
	c := newClient(fs)
	var s submission
	s.registerFlags(fs)
	key := fs.String("key", "", "idempotency key; the default is a random one")
	input := fs.String("input", "", "file with the input, or - for standard input")
	wait := fs.Bool("wait", false, "wait for the end and print the answer")
	return &ffcli.Command{
		Name: "submit", ShortUsage: "hyssopseam job submit --workspace W --kind K --shape S [--class C] [--key KEY] [--input FILE|-] [--wait]",
		ShortHelp: "submit a job",
		LongHelp:  "Example: hyssopseam job submit --workspace kejetia --kind order --shape 4x1worker --key order-8841 --input scan.bin --wait",
		FlagSet:   fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unexpected argument %q", args[0])
			}
			var err error
			if s.Input, err = readInput(*input); err != nil {
				return err
			}
			if *key == "" {
				*key = fmt.Sprintf("cli-%016x", rand.Uint64())
			}
			return t.submit(ctx, c, &s, *key, *wait)
		},
	}
}

func readInput(name string) (data []byte, err error) {
	switch name {
	case "":
		return nil, nil
	case "-":
		data, err = io.ReadAll(os.Stdin)
	default:
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usagef("%v", err)
	}
	return data, nil
}

func (t *tool) submit(ctx context.Context, c *client, s *submission, key string, wait bool) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	data, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", body: body, contentType: "application/json", idempotencyKey: key})
	if err != nil {
		return err
	}
	var a submitResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return err
	}
	if !wait {
		if c.json {
			fmt.Fprintf(t.out, "%s\n", data)
			return nil
		}
		fmt.Fprintln(t.out, a.ID)
		return nil
	}
	fmt.Fprintf(t.errOut, "job %s is %s under rules %d\n", a.ID, a.Verdict, a.Rules)
	return t.await(ctx, c, a.ID)
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// await polls a job until it has finished, prints its phase after each poll, and then prints the outcome.
func (t *tool) await(ctx context.Context, c *client, id string) error {
	path := fmt.Sprintf("%s?wait=%s", jobPath(id), jobPollWait)
	for {
		j, data, err := get[hsview.Job](ctx, c, path, jobPollWait)
		if err != nil {
			return err
		}
		if j.Phase == "finished" {
			return t.printOutcome(c, &j, data)
		}
		fmt.Fprintf(t.errOut, "job %s is %s, attempt %d, waited %s\n", id, j.Phase, j.Attempt, formatDuration(j.Waited))
	}
}

// printOutcome prints the answer of a finished job. When the job wasn't answered, it returns an exitError for the
// outcome.
func (t *tool) printOutcome(c *client, j *hsview.Job, data []byte) error {
	if c.json {
		fmt.Fprintf(t.out, "%s\n", data)
	}
	text := fmt.Sprintf("job %s: %s: %s", j.ID, j.Outcome, j.Detail)
	switch {
	case j.Outcome == "answered":
		if !c.json {
			fmt.Fprintf(t.out, "%s\n", j.Answer)
		}
		return nil
	case j.Outcome == "notRun" || j.Outcome == "cancelled" && !j.Ran:
		return &exitError{code: exitNotRun, text: text}
	case j.Outcome == "unknown":
		return &exitError{code: exitUnknown, text: text}
	}
	return &exitError{code: exitFailure, text: text}
}

// newJobCommand returns a command that takes the identifier of one job.
func (t *tool) newJobCommand(name, help string, do func(ctx context.Context, c *client, id string) error) *ffcli.Command {
	fs := t.flags(name)
	c := newClient(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "hyssopseam job " + name + " JOB", ShortHelp: help,
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("expected one JOB")
			}
			return do(ctx, c, args[0])
		},
	}
}

func (t *tool) jobGet() *ffcli.Command {
	return t.newJobCommand("get", "show a job", func(ctx context.Context, c *client, id string) error {
		j, data, err := get[hsview.Job](ctx, c, jobPath(id), 0)
		if err != nil {
			return err
		}
		if c.json {
			fmt.Fprintf(t.out, "%s\n", data)
			return nil
		}
		t.printJobs([]hsview.Job{j})
		if j.Detail != "" {
			fmt.Fprintln(t.out, j.Detail)
		}
		return nil
	})
}

func (t *tool) jobAnswer() *ffcli.Command {
	return t.newJobCommand("answer", "print the whole answer of a job", func(ctx context.Context, c *client, id string) error {
		data, err := c.do(ctx, call{method: http.MethodGet, path: jobPath(id) + "/answer"})
		if err != nil {
			return err
		}
		_, err = t.out.Write(data)
		return err
	})
}

func (t *tool) jobCancel() *ffcli.Command {
	return t.newJobCommand("cancel", "cancel a job", func(ctx context.Context, c *client, id string) error {
		data, err := c.do(ctx, call{method: http.MethodDelete, path: jobPath(id)})
		if err != nil {
			return err
		}
		if c.json {
			fmt.Fprintf(t.out, "%s\n", data)
		}
		return nil
	})
}

func (t *tool) jobList() *ffcli.Command {
	fs := t.flags("list")
	c := newClient(fs)
	return &ffcli.Command{
		Name: "list", ShortUsage: "hyssopseam job list", ShortHelp: "list the newest jobs",
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			jobs, data, err := get[[]hsview.Job](ctx, c, "/v1/jobs", 0)
			if err != nil {
				return err
			}
			if c.json {
				fmt.Fprintf(t.out, "%s\n", data)
				return nil
			}
			t.printJobs(jobs)
			return nil
		},
	}
}
