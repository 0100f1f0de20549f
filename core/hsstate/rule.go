package hsstate

import (
	"slices"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
)

// Guarantee promises a workspace that accelerators of a shape are available to it within a time. Line is the line
// of the rule file.
type Guarantee struct {
	Workspace hsid.WorkspaceID
	Shape     hsshape.Shape
	Within    time.Duration
	Line      int
}

// Quota limits the number of accelerators that a workspace holds at once. Line is the line of the rule file.
type Quota struct {
	Workspace    hsid.WorkspaceID
	Accelerators hsid.Accelerators
	Line         int
}

// RuleSet is the parsed content of one rule file.
type RuleSet struct {
	Number     hsid.RuleNumber
	Guarantees []Guarantee
	Quotas     []Quota
	// Refuse lists the kinds of job that may be refused under load.
	Refuse []hsid.JobKind
	// Once lists the kinds of job that must never run twice.
	Once []hsid.JobKind
}

// MayRefuse reports whether jobs of this kind may be refused under load.
func (r *RuleSet) MayRefuse(k hsid.JobKind) bool {
	return slices.Contains(r.Refuse, k)
}

// IsOnce reports whether jobs of this kind must never run twice.
func (r *RuleSet) IsOnce(k hsid.JobKind) bool {
	return slices.Contains(r.Once, k)
}

// Quota returns the quota of a workspace and whether it has one.
func (r *RuleSet) Quota(w hsid.WorkspaceID) (hsid.Accelerators, bool) {
	for _, q := range r.Quotas {
		if q.Workspace == w {
			return q.Accelerators, true
		}
	}
	return 0, false
}

// RuleFile is one accepted rule file.
type RuleFile struct {
	Number   hsid.RuleNumber
	Sum      string
	Operator hsid.OperatorID
	// Content is dropped once enough newer files were accepted (hsrule.MaxContents).
	Content string
	Index   hsid.LogIndex
}

// RuleHistory holds the rules in force and the most recently accepted files, oldest first.
type RuleHistory struct {
	InForce RuleSet
	Files   []RuleFile
}

// Find returns the accepted file with a number, or nil.
func (h *RuleHistory) Find(n hsid.RuleNumber) *RuleFile {
	for i := range h.Files {
		if h.Files[i].Number == n {
			return &h.Files[i]
		}
	}
	return nil
}
