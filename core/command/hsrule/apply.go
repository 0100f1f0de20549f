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
func Apply(b *hsstate.RuleBook, c *hsstate.PushRules, at hsid.LogIndex) *hsstate.RulesResult {
	result := &hsstate.RulesResult{Number: c.Set.Number, InForce: b.InForce.Number}
	if accepted := b.Find(c.Set.Number); accepted != nil {
		result.Winner = *accepted
		result.Verdict = hsstate.RulesConflict
		if accepted.Sum == c.Sum {
			result.Verdict = hsstate.RulesAccepted
		}
		return result
	}
	if c.Set.Number <= b.InForce.Number {
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
	b.InForce = c.Set
	b.History = append(b.History, file)
	trim(b)
	result.Verdict = hsstate.RulesAccepted
	result.InForce = c.Set.Number
	result.Winner = file
	return result
}

// trim drops the contents of old files, and then the files themselves.
func trim(b *hsstate.RuleBook) {
	if i := len(b.History) - MaxContents - 1; i >= 0 {
		b.History[i].Content = ""
	}
	if excess := len(b.History) - MaxHistory; excess > 0 {
		b.History = append([]hsstate.RuleFile(nil), b.History[excess:]...)
	}
}
