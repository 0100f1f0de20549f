// Package hscatalog checks catalogs and submissions before they are accepted.
//
// The checks are pure functions of their arguments, so that every replica and every front end gets the same
// result.
//
// # Usage
//
//	if err := hscatalog.Check(catalog); err != nil {
//		refuse(err)
//	}
package hscatalog

import (
	"errors"
	"fmt"
	"slices"

	"hyssopseam/core/hswork"
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("hscatalog: invalid catalog")

// Limits of a submission.
const (
	maxSpecBytes = 4000
	maxSteps     = 64
	// maxTasks is the largest number of tasks of all steps together.
	maxTasks       = 10000
	maxOccurrences = 10000
	idLength       = 16
)

// Check returns an error for the first fault of a catalog: no version, a queue with an unknown pool, two queues with the
// same host and prefix, a queue without a timeout, or an API key that two workspaces share. The error wraps ErrInvalid.
func Check(c *hswork.Catalog) error {
	if c == nil || c.Version == 0 {
		return fmt.Errorf("%w: it has no version", ErrInvalid)
	}
	pools := map[hswork.PoolName]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	type location struct{ host, prefix string }
	queues := map[location]hswork.QueueName{}
	for i := range c.Queues {
		q := &c.Queues[i]
		at := location{q.Host, q.Prefix}
		if other, ok := queues[at]; ok {
			return fmt.Errorf("%w: queues %s and %s share host and prefix", ErrInvalid, other, q.Name)
		}
		queues[at] = q.Name
		switch {
		case !pools[q.Pool]:
			return fmt.Errorf("%w: queue %s names the unknown pool %q", ErrInvalid, q.Name, q.Pool)
		case q.Timeout <= 0:
			return fmt.Errorf("%w: queue %s has no timeout", ErrInvalid, q.Name)
		}
	}
	return checkKeys(c)
}

func checkKeys(c *hswork.Catalog) error {
	owners := map[string]int{}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			if other, ok := owners[k]; ok && other != i {
				return fmt.Errorf("%w: workspaces %s and %s share a key", ErrInvalid, c.Workspaces[other].Name, c.Workspaces[i].Name)
			}
			owners[k] = i
		}
	}
	return nil
}

// ValidSubmission reports whether a step job is well-formed: its identifier has 16 hexadecimal digits, it has at least
// one step, its numbers are within the limits, and its steps depend on earlier steps only.
func ValidSubmission(id hswork.ID, s *hswork.Submission) bool {
	if !validID(id) || len(s.Spec) > maxSpecBytes || len(s.Steps) == 0 || len(s.Steps) > maxSteps || s.RepeatCount < 0 || s.RepeatCount > maxOccurrences || s.Interval < 0 {
		return false
	}
	tasks := 0
	for i := range s.Steps {
		p := &s.Steps[i]
		n := p.Need
		if p.Count < 1 || p.Count > maxTasks || n.Cores < 0 || n.Memory < 0 || n.Accelerators < 0 || p.Spread < 0 || p.MaxUnavailable < 0 {
			return false
		}
		if slices.ContainsFunc(p.After, func(before int) bool { return before < 0 || before >= i }) {
			return false
		}
		tasks += p.Count
	}
	return tasks <= maxTasks
}

// JobID returns the identifier of the step job that a path names, whatever queue the path belongs to: its end. It isn't
// checked.
func JobID(path string) hswork.ID { return hswork.ID(path[max(0, len(path)-idLength):]) }

func validID(id hswork.ID) bool {
	if len(id) != idLength {
		return false
	}
	for _, r := range string(id) {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'f' || r >= 'A' && r <= 'F') {
			return false
		}
	}
	return true
}
