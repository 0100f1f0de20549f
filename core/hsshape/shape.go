// Package hsshape describes shapes of adjacent accelerators and tells whether a worker can hold one.
//
// A shape asks for a number of accelerators on each of a number of workers of one rack. The text form
// is COUNTx1worker for a single worker and COUNTxMworkers for several. It is neutral ground: commands
// and queries both use it, and it depends on identifiers only.
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

// Bounds of a shape.
const (
	MaxPerWorker hsid.Accelerators = 64
	MaxWorkers   hsid.WorkerCount  = 64
)

// ErrShape is wrapped by every error of Parse.
var ErrShape = errors.New("hsshape: not a shape")

// Shape asks for PerWorker adjacent accelerators on each of Workers workers of one rack.
type Shape struct {
	PerWorker hsid.Accelerators
	Workers   hsid.WorkerCount
}

// Total returns the number of accelerators over all workers.
func (s Shape) Total() hsid.Accelerators {
	return s.PerWorker * hsid.Accelerators(s.Workers)
}

// Fits reports whether s fits into o: no more workers, and no more accelerators on each.
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

// Parse reads the text form of a shape. It returns an error that wraps ErrShape when the text has
// another form or when a number is outside the bounds.
func Parse(text string) (Shape, error) {
	count, rest, ok := strings.Cut(text, "x")
	if !ok {
		return Shape{}, fmt.Errorf("%w: %q lacks the form 4x1worker or 8x3workers", ErrShape, text)
	}
	workers := strings.TrimSuffix(strings.TrimSuffix(rest, "s"), "worker")
	if workers == rest {
		return Shape{}, fmt.Errorf("%w: %q does not end in worker or workers", ErrShape, text)
	}
	per, err := parseCount(count, int(MaxPerWorker))
	if err != nil {
		return Shape{}, fmt.Errorf("%w: accelerators in %q: %w", ErrShape, text, err)
	}
	many, err := parseCount(workers, int(MaxWorkers))
	if err != nil {
		return Shape{}, fmt.Errorf("%w: workers in %q: %w", ErrShape, text, err)
	}
	return Shape{PerWorker: hsid.Accelerators(per), Workers: hsid.WorkerCount(many)}, nil
}

func parseCount(text string, most int) (int, error) {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || text[0] == '0' {
		return 0, fmt.Errorf("%q is not a whole number from 1", text)
	}
	if int(n) > most {
		return 0, fmt.Errorf("%d is over the bound %d", n, most)
	}
	return int(n), nil
}
