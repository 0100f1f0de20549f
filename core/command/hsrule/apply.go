package hsrule

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// Bounds of the history.
const (
	// MaxContents is how many of the newest files are kept with their content.
	MaxContents = 256
	// MaxHistory is how many accepted files are remembered. A resend of an older one is stale.
	MaxHistory = 8192
)

// Apply puts a committed push in force or tells why it lost. It is deterministic.
func Apply(b *hsstate.RuleBook, c *hsstate.PushRules, at hsid.LogIndex) *hsstate.RulesResult {
	result := &hsstate.RulesResult{Number: c.Set.Number, InForce: b.InForce.Number}
	if first := b.Find(c.Set.Number); first != nil {
		result.Winner = *first
		result.Verdict = hsstate.RulesConflict
		if first.Sum == c.Sum {
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

// trim forgets old contents, and then old files.
func trim(b *hsstate.RuleBook) {
	if i := len(b.History) - MaxContents - 1; i >= 0 {
		b.History[i].Content = ""
	}
	if over := len(b.History) - MaxHistory; over > 0 {
		b.History = append([]hsstate.RuleFile(nil), b.History[over:]...)
	}
}
