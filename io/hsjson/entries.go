package hsjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

// maxReportedErrors limits the errors that DecodeEntries describes, as a list may hold thousands of invalid entries.
const maxReportedErrors = 3

// DecodeEntries decodes the entries of a list one by one. Entries that can't be decoded are left out; the error joins
// their errors, with their positions, and is nil when there are none; from the fourth on they are only counted.
func DecodeEntries[T any](entries []json.RawMessage, decode func(entry json.RawMessage) (T, error)) ([]T, error) {
	var valid []T
	var errs []error
	left := 0
	for i, entry := range entries {
		v, err := decode(entry)
		switch {
		case err == nil:
			valid = append(valid, v)
		case len(errs) < maxReportedErrors:
			errs = append(errs, fmt.Errorf("entry %d: %w", i, err))
		default:
			left++
		}
	}
	if left > 0 {
		errs = append(errs, fmt.Errorf("%d more invalid entries", left))
	}
	return valid, errors.Join(errs...)
}
