// Package hsproblem writes errors as problem details (RFC 9457) with a closed set of outcomes.
//
// The outcome tells a caller what became of the request, whatever the status code: notRun only when
// nothing of it ran and nothing will, unknown when that can't be told.
//
// # Usage
//
//	hsproblem.Write(w, hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, "the body is no JSON"))
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

// Outcome is what became of a request that wasn't done. The set is closed.
type Outcome string

// The outcomes.
const (
	BadRequest Outcome = "badRequest"
	Missing    Outcome = "missing"
	Conflict   Outcome = "conflict"
	NotRun     Outcome = "notRun"
	Unknown    Outcome = "unknown"
)

// Problem is the body of an error answer.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Faults lists single mistakes of the request, such as those of a rule file.
	Faults []Fault `json:"faults,omitempty"`
	// Winner names the operator whose file won, after a conflict between rule files.
	Winner *Winner `json:"winner,omitempty"`
	// RetryAfter is sent as a header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Fault is one mistake at a place of a text; Line and Column count from 1.
type Fault struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Winner is the rule file that holds a number, and the number in force.
type Winner struct {
	Number   uint64 `json:"number"`
	Operator string `json:"operator"`
	Sum      string `json:"sum"`
	Content  string `json:"content"`
	InForce  uint64 `json:"inForce"`
}

// New returns a problem with the title of its status.
func New(status int, o Outcome, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: o}
}

// FromReply returns the problem of a reply that isn't done.
func FromReply(r hsmessage.Reply) Problem {
	p := New(http.StatusInternalServerError, Unknown, r.Reason)
	switch r.Status {
	case hsmessage.StatusBad:
		p = New(http.StatusBadRequest, BadRequest, r.Reason)
	case hsmessage.StatusMissing:
		p = New(http.StatusNotFound, Missing, r.Reason)
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

// Write answers a request with a problem.
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
