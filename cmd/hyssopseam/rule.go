package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsview"
)

// rulesPollWait is how long the server may wait in each poll until the rules are in force everywhere.
const rulesPollWait = time.Second

func (t *tool) rulesCommand() *ffcli.Command {
	return group("rules", "check, push and show rule files",
		t.rulesCheck(), t.rulesPush(), t.rulesShow(), t.rulesHistory())
}

func readFile(args []string) (string, error) {
	if len(args) != 1 {
		return "", usagef("expected one FILE")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return "", usagef("%v", err)
	}
	return string(data), nil
}

func checkContent(name, content string) error {
	_, faults := hsrule.Parse(content)
	if len(faults) == 0 {
		return nil
	}
	var text strings.Builder
	for _, f := range faults {
		fmt.Fprintf(&text, "\n  %s:%s", name, f.Error())
	}
	return usagef("the rule file has %d faults:%s", len(faults), text.String())
}

func (t *tool) rulesCheck() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "hyssopseam rules check FILE", ShortHelp: "check a rule file without pushing it",
		FlagSet: t.flags("check"),
		Exec: func(_ context.Context, args []string) error {
			content, err := readFile(args)
			if err != nil {
				return err
			}
			if err := checkContent(args[0], content); err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s: no faults\n", args[0])
			return nil
		},
	}
}

func (t *tool) rulesPush() *ffcli.Command {
	fs := t.flags("push")
	c := newClient(fs)
	operator := fs.String("operator", userName(), "name of the operator who pushes the rules")
	timeout := fs.Duration("timeout", 30*time.Second, "how long to wait until the rules are in force everywhere; 0 doesn't wait")
	return &ffcli.Command{
		Name: "push", ShortUsage: "hyssopseam rules push [--operator NAME] FILE", ShortHelp: "put a rule file in force and wait until it is in force everywhere",
		LongHelp: "Example: hyssopseam rules push --server 127.10.1.2:8100 examples/kumasi/rules.txt",
		FlagSet:  fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			content, err := readFile(args)
			if err != nil {
				return err
			}
			if err := checkContent(args[0], content); err != nil {
				return err
			}
			return t.push(ctx, c, content, *operator, *timeout)
		},
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "operator"
	}
	return u.Username
}

// pushResponse is the response to an accepted push.
type pushResponse struct {
	Number  hsid.RuleNumber `json:"number"`
	InForce hsid.RuleNumber `json:"inForce"`
	Sum     string          `json:"sum"`
}

func (t *tool) push(ctx context.Context, c *client, content, operator string, timeout time.Duration) error {
	data, err := c.do(ctx, call{
		method:      http.MethodPut,
		path:        "/v1/rules?operator=" + url.QueryEscape(operator),
		body:        []byte(content),
		contentType: "text/plain",
	})
	if err != nil {
		return err
	}
	var p pushResponse
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	fmt.Fprintf(t.errOut, "rules %d are accepted; number %d is in force\n", p.Number, p.InForce)
	if timeout > 0 {
		if err := t.awaitEverywhere(ctx, c, p.Number, timeout); err != nil {
			return err
		}
	}
	if c.json {
		fmt.Fprintf(t.out, "%s\n", data)
	}
	return nil
}

// awaitEverywhere waits until no process uses rules with a lower number than n, and prints the processes that lag. The
// timeout is an error.
func (t *tool) awaitEverywhere(ctx context.Context, c *client, n hsid.RuleNumber, timeout time.Duration) error {
	began := time.Now()
	path := fmt.Sprintf("/v1/rules?everywhere=%d&wait=%s", n, rulesPollWait)
	for {
		v, _, err := get[hsview.Rules](ctx, c, path, rulesPollWait)
		if err != nil {
			return err
		}
		if v.Everywhere && v.File.Number >= n {
			fmt.Fprintf(t.errOut, "rules %d are in force everywhere after %s\n", n, time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) > timeout {
			return fmt.Errorf("rules %d are accepted, but not in force everywhere after %s; lagging: %v", n, timeout, v.Lagging)
		}
		fmt.Fprintf(t.errOut, "waiting for %d processes: %v\n", len(v.Lagging), v.Lagging)
	}
}

func (t *tool) rulesShow() *ffcli.Command {
	fs := t.flags("show")
	c := newClient(fs)
	everywhere := fs.Bool("everywhere", false, "list the number of the rules that each process uses")
	return &ffcli.Command{
		Name: "show", ShortUsage: "hyssopseam rules show [--everywhere]", ShortHelp: "show the rules in force",
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			v, data, err := get[hsview.Rules](ctx, c, "/v1/rules", 0)
			if err != nil {
				return err
			}
			if c.json {
				fmt.Fprintf(t.out, "%s\n", data)
				return nil
			}
			t.printRules(&v, *everywhere)
			return nil
		},
	}
}

func (t *tool) printRules(v *hsview.Rules, everywhere bool) {
	if v.File.Number == 0 {
		fmt.Fprintln(t.out, "no rules are in force")
	} else {
		fmt.Fprintf(t.out, "# pushed by %s, in force everywhere: %v\n%s", v.File.Operator, v.Everywhere, v.File.Content)
	}
	if !everywhere {
		return
	}
	table := t.table("PROCESS", "ROLE", "RULES", "SILENT")
	for _, p := range v.Processes {
		table.row(string(p.Instance), p.Role, fmt.Sprint(p.Rules), formatDuration(p.Silent))
	}
	table.flush()
}

func (t *tool) rulesHistory() *ffcli.Command {
	fs := t.flags("history")
	c := newClient(fs)
	number := fs.Uint64("number", 0, "show the content of one file")
	return &ffcli.Command{
		Name: "history", ShortUsage: "hyssopseam rules history [--number N]", ShortHelp: "list the accepted rule files",
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			path := "/v1/rules/history"
			if *number > 0 {
				path += fmt.Sprintf("?number=%d", *number)
			}
			files, data, err := get[[]hsview.RuleFile](ctx, c, path, 0)
			if err != nil {
				return err
			}
			if c.json {
				fmt.Fprintf(t.out, "%s\n", data)
				return nil
			}
			for _, f := range files {
				fmt.Fprintf(t.out, "number %d by %s sum %.12s\n%s", f.Number, f.Operator, f.Sum, f.Content)
			}
			return nil
		},
	}
}
