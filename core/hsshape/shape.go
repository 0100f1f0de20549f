// Package hsshape defines the shapes of jobs and guarantees, and sets of adjacent accelerators.
//
// A shape is a number of adjacent accelerators on each of a number of workers in one rack. Its text form is
// COUNTx1worker for a single worker and COUNTxMworkers for several. Both commands and queries use the package, which
// depends on hsid only.
//
// # Usage
//
//	s, err := hsshape.Parse("8x3workers")
//	if err != nil {
//		return err
//	}
//	total := s.Total() // 24
package hsshape

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hyssopseam/core/hsid"
)

// Limits of a shape.
const (
	MaxPerWorker hsid.Accelerators = 64
	MaxWorkers   hsid.WorkerCount  = 64
)

// ErrShape is wrapped by every error of Parse.
var ErrShape = errors.New("hsshape: not a shape")

// Shape is a demand for PerWorker adjacent accelerators on each of Workers workers in one rack.
type Shape struct {
	PerWorker hsid.Accelerators
	Workers   hsid.WorkerCount
}

// Total returns the number of accelerators over all workers.
func (s Shape) Total() hsid.Accelerators {
	return s.PerWorker * hsid.Accelerators(s.Workers)
}

// Fits reports whether s fits into o: it has at most as many workers, and at most as many accelerators on each.
func (s Shape) Fits(o Shape) bool {
	return s.Workers <= o.Workers && s.PerWorker <= o.PerWorker
}

// String returns the text form that Parse accepts.
func (s Shape) String() string {
	if s.Workers == 1 {
		return fmt.Sprintf("%dx1worker", s.PerWorker)
	}
	return fmt.Sprintf("%dx%dworkers", s.PerWorker, s.Workers)
}

// Parse parses the text form of a shape. It returns an error that wraps ErrShape when the text is malformed or a
// number exceeds the limits.
func Parse(text string) (Shape, error) {
	count, rest, ok := strings.Cut(text, "x")
	if !ok {
		return Shape{}, fmt.Errorf("%w: %q does not have the form 4x1worker or 8x3workers", ErrShape, text)
	}
	workersText := strings.TrimSuffix(strings.TrimSuffix(rest, "s"), "worker")
	if workersText == rest {
		return Shape{}, fmt.Errorf("%w: %q does not end in worker or workers", ErrShape, text)
	}
	perWorker, err := parseCount(count, int(MaxPerWorker))
	if err != nil {
		return Shape{}, fmt.Errorf("%w: accelerators in %q: %w", ErrShape, text, err)
	}
	workers, err := parseCount(workersText, int(MaxWorkers))
	if err != nil {
		return Shape{}, fmt.Errorf("%w: workers in %q: %w", ErrShape, text, err)
	}
	return Shape{PerWorker: hsid.Accelerators(perWorker), Workers: hsid.WorkerCount(workers)}, nil
}

// parseCount parses a whole number from 1 to limit without leading zeros.
func parseCount(text string, limit int) (int, error) {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || text[0] == '0' {
		return 0, fmt.Errorf("%q is not a whole number from 1", text)
	}
	if int(n) > limit {
		return 0, fmt.Errorf("%d exceeds the limit of %d", n, limit)
	}
	return int(n), nil
}
