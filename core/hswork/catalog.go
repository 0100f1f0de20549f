package hswork

import (
	"slices"
	"strings"
	"time"

	"hyssopseam/core/hsid"
)

// Catalog is one version of the configuration of queues, pools and workspaces. The catalog in force when a step
// job is submitted decides whether the job is accepted, and under which settings.
type Catalog struct {
	Version Version
	// Content is the document exactly as the operator sent it; it is returned when the catalog is read back.
	Content    []byte
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace
}

// Queue accepts the jobs whose requests are addressed to its host and path prefix, and sets how they run.
type Queue struct {
	Name   QueueName
	Host   string
	Prefix string
	Pool   PoolName
	// Priority orders queues; 0 is served first, and guarantees cover only jobs of priority 0.
	Priority int
	// MaxAttempts is the number of failed runs of one task that makes its job fail.
	MaxAttempts int
	// Stretch and Target define the latency objective of a job: Stretch times the run time of its critical path,
	// plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout is the time limit of one request to the queue.
	Timeout time.Duration
	// Public is set for a queue that accepts requests without an API key.
	Public bool
	// NeedsPermit is set for a queue whose tasks start only on endpoints that the policy service allows.
	NeedsPermit bool
	Advice      Advice
}

// Advice holds the timing of the policy service: it answers a question within Decision plus PerWorker for each
// worker asked about, and its tickets are valid for Validity.
type Advice struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Pool is a set of endpoints that serve the same queues.
type Pool struct {
	Name PoolName
	// RejectsOverload is set when the pool's endpoints reject tasks that exceed their capacity.
	RejectsOverload bool
	// Standby is set for a pool of machines that are switched off.
	Standby bool
}

// Workspace is a tenant with the API keys of its callers.
type Workspace struct {
	Name hsid.WorkspaceID
	Keys []string
	// Guaranteed is the number of accelerators that are always available to its jobs of priority 0.
	Guaranteed hsid.Accelerators
}

// Match returns the queue that a request is addressed to, the one on the host with the longest prefix of the
// path, together with the rest of the path. It returns false when no queue matches.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// Owner returns the workspace that an API key belongs to, or nil for an unknown key.
func (c *Catalog) Owner(key string) *Workspace {
	for i := range c.Workspaces {
		if slices.Contains(c.Workspaces[i].Keys, key) {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// Guaranteed returns the number of accelerators that are guaranteed to a workspace; 0 for an unknown one.
func (c *Catalog) Guaranteed(w hsid.WorkspaceID) hsid.Accelerators {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == w {
			return c.Workspaces[i].Guaranteed
		}
	}
	return 0
}
