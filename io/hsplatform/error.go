package hsplatform

import (
	"errors"
	"fmt"
	"net/http"
)

// statusError is an answer of the endpoint that isn't a success.
type statusError struct {
	status int
	text   string
}

// Error returns the status and the endpoint's text.
func (e *statusError) Error() string {
	return fmt.Sprintf("hsplatform: the endpoint answered %d: %.200s", e.status, e.text)
}

// refused reports whether the endpoint understood a request and won't do it; repeating it is of no use.
func refused(err error) bool {
	var s *statusError
	if !errors.As(err, &s) {
		return false
	}
	return s.status < http.StatusInternalServerError && s.status != http.StatusTooManyRequests && s.status != http.StatusRequestTimeout
}
