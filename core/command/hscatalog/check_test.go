package hscatalog_test

import (
	"strings"
	"testing"
	"time"

	"hyssopseam/core/command/hscatalog"
	"hyssopseam/core/hswork"
)

func validCatalog() *hswork.Catalog {
	return &hswork.Catalog{
		Version: 1,
		Pools:   []hswork.Pool{{Name: "pool"}},
		Queues: []hswork.Queue{
			{Name: "a", Host: "h", Prefix: "/a/", Pool: "pool", Timeout: time.Second},
			{Name: "b", Host: "h", Prefix: "/b/", Pool: "pool", Timeout: time.Second},
		},
		Workspaces: []hswork.Workspace{{Name: "x", Keys: []string{"k1", "k1"}}, {Name: "y", Keys: []string{"k2"}}},
	}
}

func TestCheck(t *testing.T) {
	tables := []struct {
		name   string
		change func(c *hswork.Catalog)
		want   string
	}{
		{"valid", func(*hswork.Catalog) {}, ""},
		{"no version", func(c *hswork.Catalog) { c.Version = 0 }, "version"},
		{"unknown pool", func(c *hswork.Catalog) { c.Queues[0].Pool = "other" }, "unknown pool"},
		{"same host and prefix", func(c *hswork.Catalog) { c.Queues[1].Prefix = "/a/" }, "share host"},
		{"no timeout", func(c *hswork.Catalog) { c.Queues[1].Timeout = 0 }, "timeout"},
		{"shared key", func(c *hswork.Catalog) { c.Workspaces[1].Keys = []string{"k1"} }, "share a key"},
	}
	for _, tt := range tables {
		c := validCatalog()
		tt.change(c)
		err := hscatalog.Check(c)
		if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want an error about %q", tt.name, err, tt.want)
		}
	}
}

func TestValidSubmission(t *testing.T) {
	const id = hswork.ID("0123456789abcdef")
	one := hswork.Step{Count: 1}
	tables := []struct {
		name string
		id   hswork.ID
		job  hswork.Submission
		want bool
	}{
		{"valid", id, hswork.Submission{Steps: []hswork.Step{one, {Count: 2, After: []int{0}}}}, true},
		{"short identifier", "0123", hswork.Submission{Steps: []hswork.Step{one}}, false},
		{"identifier with other letters", "0123456789abcdeg", hswork.Submission{Steps: []hswork.Step{one}}, false},
		{"no steps", id, hswork.Submission{}, false},
		{"negative number of unavailable tasks", id, hswork.Submission{Steps: []hswork.Step{{Count: 1, MaxUnavailable: -1}}}, false},
		{"no tasks", id, hswork.Submission{Steps: []hswork.Step{{}}}, false},
		{"after itself", id, hswork.Submission{Steps: []hswork.Step{{Count: 1, After: []int{0}}}}, false},
		{"after a negative step", id, hswork.Submission{Steps: []hswork.Step{{Count: 1, After: []int{-1}}}}, false},
		{"too many tasks", id, hswork.Submission{Steps: []hswork.Step{{Count: 1 << 62}, {Count: 1 << 62}}}, false},
		{"long spec", id, hswork.Submission{Spec: strings.Repeat("x", 4001), Steps: []hswork.Step{one}}, false},
		{"negative number of occurrences", id, hswork.Submission{Steps: []hswork.Step{one}, RepeatCount: -1}, false},
	}
	for _, tt := range tables {
		if got := hscatalog.ValidSubmission(tt.id, &tt.job); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
