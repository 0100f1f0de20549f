package hswork

import (
	"slices"
	"strings"
	"time"

	"hyssopseam/core/hsid"
)

// Catalog is one version of the document that step jobs are accepted under.
type Catalog struct {
	Version Version
	// Content is the document as its operator sent it, for reading it back.
	Content    []byte
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace
}

// Queue takes the jobs whose requests go to its host and path prefix.
type Queue struct {
	Name   QueueName
	Host   string
	Prefix string
	Pool   PoolName
	// Priority orders queues; 0 goes first and is what guarantees cover.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job has failed.
	MaxAttempts int
	// Stretch and Target give the latency objective: Stretch times the longest chain of work, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout bounds one request to the queue.
	Timeout time.Duration
	// Public queues ask for no key.
	Public bool
	// Advised queues start tasks only where the policy service allows it.
	Advised bool
	Advice  Advice
}

// Advice tells how long the policy service takes for an answer, and how long its tickets are valid.
type Advice struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Pool is a set of endpoints.
type Pool struct {
	Name PoolName
	// Guards is set when its endpoints refuse what exceeds their capacity.
	Guards bool
	// Standby pools consist of machines that are switched off.
	Standby bool
}

// Workspace is a customer with the keys of its callers.
type Workspace struct {
	Name hsid.WorkspaceID
	Keys []string
	// Guaranteed accelerators can always be had for its jobs of priority 0.
	Guaranteed hsid.Accelerators
}

// Match returns the queue with the longest prefix of a path on a host, and the rest of the path.
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

// Owner returns the workspace that holds a key, or nil.
func (c *Catalog) Owner(key string) *Workspace {
	for i := range c.Workspaces {
		if slices.Contains(c.Workspaces[i].Keys, key) {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// Guaranteed returns the accelerators that a workspace can always have.
func (c *Catalog) Guaranteed(w hsid.WorkspaceID) hsid.Accelerators {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == w {
			return c.Workspaces[i].Guaranteed
		}
	}
	return 0
}
