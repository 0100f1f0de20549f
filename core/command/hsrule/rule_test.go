package hsrule_test

import (
	"strings"
	"testing"

	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
	"hyssopseam/examples"
)

func TestParse(t *testing.T) {
	tables := []struct {
		name    string
		content string
		faults  []string
	}{
		{"kumasi", examples.KumasiRules, nil},
		{"port louis", examples.PortLouisRules, nil},
		{"Windows line endings", "number 3\r\nonce job=a # x\r\n", nil},
		{"empty", "", []string{"1:1"}},
		{"no number", "once job=a # x\n", []string{"1:1"}},
		{"number zero", "number 0\n", []string{"1:8"}},
		{"number twice", "number 1\nnumber 2\n", []string{"2:1"}},
		{"signed number", "number +1\n", []string{"1:8"}},
		{"no comment", "number 1\nonce job=a\n", []string{"2:11"}},
		{"empty comment", "number 1\nonce job=a #  \n", []string{"2:15"}},
		{"unknown word", "number 1\nallow job=a # x\n", []string{"2:1"}},
		{"unknown key", "number 1\nonce task=a # x\n", []string{"2:1", "2:6"}},
		{"duplicate", "number 1\nonce job=a # x\nonce job=a # y\n", []string{"3:1"}},
		{"same key twice", "number 1\nonce job=a job=b # x\n", []string{"2:12"}},
		{"bad shape", "number 1\nguarantee workspace=w shape=4 within=1s # x\n", []string{"2:29"}},
		{"bad time", "number 1\nguarantee workspace=w shape=4x1worker within=-1s # x\n", []string{"2:46"}},
		{"bad name", "number 1\nonce job=a/b # x\n", []string{"2:10"}},
		{"bad quota", "number 1\nquota workspace=w accelerators=-1 # x\n", []string{"2:32"}},
		{"bad text", "number 1\nonce job=\xff # x\n", []string{"2:1"}},
		{"columns count characters", "number 1\nonce  jöb=a # x\n", []string{"2:1", "2:7"}},
		{"long line", "number 1\nonce job=a # " + strings.Repeat("x", 600) + "\n", []string{"2:513"}},
		{"many", "number x\nfoo # a\nonce # b\n", []string{"1:8", "2:1", "3:1"}},
	}
	for _, tt := range tables {
		_, faults := hsrule.Parse(tt.content)
		var got []string
		for _, f := range faults {
			got = append(got, strings.Join(strings.SplitN(f.Error(), ":", 3)[:2], ":"))
		}
		if strings.Join(got, " ") != strings.Join(tt.faults, " ") {
			t.Errorf("%s: got faults %v, want at %v", tt.name, faults, tt.faults)
		}
	}
}

func TestApply(t *testing.T) {
	push := func(n hsid.RuleNumber, sum string, by hsid.OperatorID) *hsstate.PushRules {
		return &hsstate.PushRules{Set: hsstate.RuleSet{Number: n}, Sum: sum, Operator: by, Content: sum}
	}
	tables := []struct {
		name    string
		push    *hsstate.PushRules
		verdict hsstate.RulesVerdict
		inForce hsid.RuleNumber
		winner  hsid.OperatorID
	}{
		{"first", push(5, "a", "ama"), hsstate.RulesAccepted, 5, "ama"},
		{"resend", push(5, "a", "ama"), hsstate.RulesAccepted, 5, "ama"},
		{"another file with the same number", push(5, "b", "kofi"), hsstate.RulesConflict, 5, "ama"},
		{"lower number", push(4, "c", "kofi"), hsstate.RulesStale, 5, ""},
		{"later number", push(9, "d", "kofi"), hsstate.RulesAccepted, 9, "kofi"},
		{"resend after a later number", push(5, "a", "ama"), hsstate.RulesAccepted, 9, "ama"},
		{"another file with an old number", push(5, "b", "kofi"), hsstate.RulesConflict, 9, "ama"},
	}
	history := &hsstate.RuleHistory{}
	for i, tt := range tables {
		r := hsrule.Apply(history, tt.push, hsid.LogIndex(i))
		if r.Verdict != tt.verdict || r.InForce != tt.inForce || history.InForce.Number != tt.inForce || r.Winner.Operator != tt.winner {
			t.Errorf("%s: got %s, %d in force, winner %q; want %s, %d, %q", tt.name, r.Verdict, history.InForce.Number, r.Winner.Operator, tt.verdict, tt.inForce, tt.winner)
		}
	}
}

// FuzzParse checks that Parse returns either a set with a number, or faults whose positions are in the file.
func FuzzParse(f *testing.F) {
	f.Add(examples.KumasiRules)
	f.Add("number 1\nonce job=a # x\n")
	f.Add("number 1\n\xff")
	f.Fuzz(func(t *testing.T, content string) {
		set, faults := hsrule.Parse(content)
		if len(faults) == 0 && set.Number == 0 {
			t.Errorf("got neither faults nor a number for %q", content)
		}
		lines := strings.Count(content, "\n") + 1
		for _, x := range faults {
			if x.Line < 1 || x.Line > lines || x.Column < 1 {
				t.Errorf("got fault at %d:%d, want it within %d lines", x.Line, x.Column, lines)
			}
		}
	})
}
