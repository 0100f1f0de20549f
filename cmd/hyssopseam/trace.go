package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/io/query/hstrace"
)

// traceCommand returns the command that searches log files; it needs no server.
func (t *tool) traceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "trace", ShortUsage: "hyssopseam trace ID LOG...", ShortHelp: "show the log lines of several processes about a job or request",
		LongHelp: "Each LOG is a file with the standard output of one process; the process gets the name of the file.",
		FlagSet:  t.flags("trace"),
		Exec:     func(_ context.Context, args []string) error { return t.trace(args) },
	}
}

func (t *tool) trace(args []string) error {
	if len(args) < 2 {
		return usagef("trace takes an identifier and at least one log file")
	}
	id := args[0]
	var lines []hstrace.Line
	for _, name := range args[1:] {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	matches := hstrace.Filter(id, lines)
	if len(matches) == 0 {
		return fmt.Errorf("none of the %d log lines names %s", len(lines), id)
	}
	for i := range matches {
		fmt.Fprintln(t.out, matches[i].String())
	}
	fmt.Fprintln(t.out, hstrace.Summarize(id, matches))
	return nil
}

func readLog(name string) ([]hstrace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &exitError{code: exitUsage, text: err.Error()}
	}
	defer func() { _ = file.Close() }()
	source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return hstrace.Read(file, source)
}
