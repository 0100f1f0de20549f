// Package hsproblem writes errors as problem details (RFC 9457) with a closed set of outcomes.
//
// The outcome tells a caller what happened to the request, independently of the status code: notRun only if no part of
// it ran or will run, unknown if that can't be determined.
//
// # Usage
//
//	hsproblem.Write(w, hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, "the body isn't valid JSON"))
package hsproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hyssopseam/core/hsmessage"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Outcome is what happened to a request that wasn't fulfilled. The set is closed.
type Outcome string

// The outcomes.
const (
	BadRequest Outcome = "badRequest"
	NotFound   Outcome = "missing"
	Conflict   Outcome = "conflict"
	NotRun     Outcome = "notRun"
	Unknown    Outcome = "unknown"
)

// Problem is the body of an error response.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Faults lists the individual errors of a request, such as those in a rule file.
	Faults []Fault `json:"faults,omitempty"`
	// Winner describes the rule file that won a conflict between rule files.
	Winner *Winner `json:"winner,omitempty"`
	// RetryAfter is sent as a header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Fault is an error at a position in a text; Line and Column count from 1.
type Fault struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Winner is the rule file that was accepted under a number, and the number in force.
type Winner struct {
	Number   uint64 `json:"number"`
	Operator string `json:"operator"`
	Sum      string `json:"sum"`
	Content  string `json:"content"`
	InForce  uint64 `json:"inForce"`
}

// New returns a problem whose title is the text of its status.
func New(status int, o Outcome, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: o}
}

// FromReply returns the problem for a reply with a status other than done. A refusal without RetryAfter gets the HTTP
// status 422 instead of 503.
func FromReply(r hsmessage.Reply) Problem {
	p := New(http.StatusInternalServerError, Unknown, r.Reason)
	switch r.Status {
	case hsmessage.StatusBad:
		p = New(http.StatusBadRequest, BadRequest, r.Reason)
	case hsmessage.StatusMissing:
		p = New(http.StatusNotFound, NotFound, r.Reason)
	case hsmessage.StatusConflict:
		p = New(http.StatusConflict, Conflict, r.Reason)
	case hsmessage.StatusUnknown:
		p = New(http.StatusGatewayTimeout, Unknown, r.Reason)
	case hsmessage.StatusRefused:
		p = New(http.StatusServiceUnavailable, NotRun, r.Reason)
		if r.RetryAfter == 0 {
			p = New(http.StatusUnprocessableEntity, NotRun, r.Reason)
		}
	}
	p.RetryAfter = r.RetryAfter
	if r.Rules != nil {
		p.Winner = &Winner{
			Number:   uint64(r.Rules.Winner.Number),
			Operator: string(r.Rules.Winner.Operator),
			Sum:      r.Rules.Winner.Sum,
			Content:  r.Rules.Winner.Content,
			InForce:  uint64(r.Rules.InForce),
		}
	}
	return p
}

// Write responds to a request with a problem.
func Write(w http.ResponseWriter, p Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}
