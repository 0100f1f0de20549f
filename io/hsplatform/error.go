package hsplatform

import (
	"errors"
	"fmt"
	"net/http"
)

// statusError is an answer from the endpoint with an error status.
type statusError struct {
	status int
	text   string
}

// Error returns the status and the endpoint's text.
func (e *statusError) Error() string {
	return fmt.Sprintf("hsplatform: the endpoint answered %d: %.200s", e.status, e.text)
}

// isRefusal reports whether the endpoint rejected a request for good, so that retrying is pointless: a status below 500
// other than 408 and 429.
func isRefusal(err error) bool {
	var s *statusError
	if !errors.As(err, &s) {
		return false
	}
	return s.status < http.StatusInternalServerError && s.status != http.StatusTooManyRequests && s.status != http.StatusRequestTimeout
}
