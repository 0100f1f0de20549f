package hsrule

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Limits of the history.
const (
	// MaxContents is the number of the latest files that are kept with their content.
	MaxContents = 256
	// MaxHistory is the number of the latest accepted files that are kept. A resend of an older one is stale.
	MaxHistory = 8192
)

// Apply puts a pushed rule file into force, or reports in the verdict why not. It is deterministic, and is called when
// the push is committed at a log index.
func Apply(h *hsstate.RuleHistory, c *hsstate.PushRules, at hsid.LogIndex) *hsstate.RulesResult {
	result := &hsstate.RulesResult{Number: c.Set.Number, InForce: h.InForce.Number}
	if accepted := h.Find(c.Set.Number); accepted != nil {
		result.Winner = *accepted
		result.Verdict = hsstate.RulesConflict
		if accepted.Sum == c.Sum {
			result.Verdict = hsstate.RulesAccepted
		}
		return result
	}
	if c.Set.Number <= h.InForce.Number {
		result.Verdict = hsstate.RulesStale
		return result
	}
	file := hsstate.RuleFile{
		Number:   c.Set.Number,
		Sum:      c.Sum,
		Operator: c.Operator,
		Content:  c.Content,
		Index:    at,
	}
	h.InForce = c.Set
	h.Files = append(h.Files, file)
	trim(h)
	result.Verdict = hsstate.RulesAccepted
	result.InForce = c.Set.Number
	result.Winner = file
	return result
}

// trim drops the contents of old files, and then the files themselves.
func trim(h *hsstate.RuleHistory) {
	if i := len(h.Files) - MaxContents - 1; i >= 0 {
		h.Files[i].Content = ""
	}
	if excess := len(h.Files) - MaxHistory; excess > 0 {
		h.Files = append([]hsstate.RuleFile(nil), h.Files[excess:]...)
	}
}
