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

// waitStep is how long one look at a job waits for its end.
const waitStep = 5 * time.Second

func (t *tool) jobCommand() *ffcli.Command {
	return group("job", "submit, follow and cancel jobs",
		t.jobSubmit(), t.jobGet(), t.jobAnswer(), t.jobCancel(), t.jobList())
}

// submission is the body of a submission.
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

func (s *submission) register(fs *flag.FlagSet) {
	fs.StringVar(&s.Workspace, "workspace", "", "the customer that the job belongs to")
	fs.StringVar(&s.Kind, "kind", "", "the kind of job, which rules name")
	fs.StringVar(&s.Shape, "shape", "1x1worker", "adjacent accelerators, such as 4x1worker or 8x3workers")
	fs.StringVar(&s.Class, "class", "normal", "urgent, normal or batch")
	fs.StringVar(&s.Expect, "expect", "", "the expected run time, a hint")
	fs.StringVar(&s.StartWithin, "startWithin", "", "how long the start may take")
	fs.Int64Var(&s.MilliCores, "milliCores", 0, "processor time on each worker")
	fs.Int64Var(&s.MemoryBytes, "memoryBytes", 0, "memory on each worker")
}

// accepted is the answer to an accepted job.
type accepted struct {
	ID      string `json:"id"`
	Verdict string `json:"verdict"`
	Rules   uint64 `json:"rules"`
}

func (t *tool) jobSubmit() *ffcli.Command {
	fs := t.flags("submit")
	c := newClient(fs)
	var s submission
	s.register(fs)
	key := fs.String("key", "", "idempotency key; one is made up when it is missing")
	input := fs.String("input", "", "file with the input, or - for standard input")
	wait := fs.Bool("wait", false, "wait for the end and print the answer")
	return &ffcli.Command{
		Name: "submit", ShortUsage: "hyssopseam job submit --workspace W --kind K --shape S [--class C] [--key KEY] [--input FILE|-] [--wait]",
		ShortHelp: "submit a job",
		LongHelp:  "Example: hyssopseam job submit --workspace kejetia --kind order --shape 4x1worker --key order-8841 --input scan.bin --wait",
		FlagSet:   fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%q isn't understood", args[0])
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
	data, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", body: body, kind: "application/json", key: key})
	if err != nil {
		return err
	}
	var a accepted
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
	fmt.Fprintf(t.note, "job %s is %s under rules %d\n", a.ID, a.Verdict, a.Rules)
	return t.await(ctx, c, a.ID)
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// await follows a job to its end, tells how it goes, and prints the answer.
func (t *tool) await(ctx context.Context, c *client, id string) error {
	path := fmt.Sprintf("%s?wait=%s", jobPath(id), waitStep)
	for {
		j, data, err := get[hsview.Job](ctx, c, path, waitStep)
		if err != nil {
			return err
		}
		if j.Phase == "finished" {
			return t.printEnd(c, &j, data)
		}
		fmt.Fprintf(t.note, "job %s is %s, attempt %d, waited %s\n", id, j.Phase, j.Attempt, short(j.Waited))
	}
}

// printEnd prints the answer of a job, or says how it ended.
func (t *tool) printEnd(c *client, j *hsview.Job, data []byte) error {
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

// withJob returns a command about one job.
func (t *tool) withJob(name, help string, do func(ctx context.Context, c *client, id string) error) *ffcli.Command {
	fs := t.flags(name)
	c := newClient(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "hyssopseam job " + name + " JOB", ShortHelp: help,
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("it takes one JOB")
			}
			return do(ctx, c, args[0])
		},
	}
}

func (t *tool) jobGet() *ffcli.Command {
	return t.withJob("get", "show a job", func(ctx context.Context, c *client, id string) error {
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
	return t.withJob("answer", "print the whole answer of a job", func(ctx context.Context, c *client, id string) error {
		data, err := c.do(ctx, call{method: http.MethodGet, path: jobPath(id) + "/answer"})
		if err != nil {
			return err
		}
		_, err = t.out.Write(data)
		return err
	})
}

func (t *tool) jobCancel() *ffcli.Command {
	return t.withJob("cancel", "cancel a job", func(ctx context.Context, c *client, id string) error {
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
