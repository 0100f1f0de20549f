package hsid

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// resendMark separates a request's identifier from the age of the request in the identifier of a copy.
const resendMark = "~"

// Resent returns the identifier of a copy of the request that is sent the given time after the first one. It is part of
// the identifier, as messages can't get another field beside processes of an older build.
func (r RequestID) Resent(age time.Duration) RequestID {
	return RequestID(fmt.Sprintf("%s%s%d", r, resendMark, age.Milliseconds()))
}

// Split returns the identifier of the request itself, and how long before this copy the first one was sent; zero for the
// first one.
func (r RequestID) Split() (RequestID, time.Duration) {
	text := string(r)
	i := strings.LastIndex(text, resendMark)
	if i < 0 {
		return r, 0
	}
	ms, err := strconv.ParseUint(text[i+len(resendMark):], 10, 32)
	if err != nil {
		return r, 0
	}
	return r[:i], time.Duration(ms) * time.Millisecond
}
