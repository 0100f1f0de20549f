package hsrule

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
)

// Bounds of a rule file.
const (
	// MaxContent is the largest size of a rule file.
	MaxContent = 256 * hsid.KiB
	// MaxRules is the largest number of rules in a file.
	MaxRules = 2000
	// MaxLine is the longest line, in bytes.
	MaxLine = 512
	// MaxFaults is how many faults are reported at most.
	MaxFaults = 100
	// MaxWithin is the longest time that a guarantee may allow.
	MaxWithin = 24 * time.Hour
	// MaxQuota is the largest quota.
	MaxQuota = 1 << 20

	maxName = 64
)

// parser collects the rules and the faults of one file.
type parser struct {
	set    hsstate.RuleSet
	faults []Fault
	rules  int
	seen   map[string]int
	line   int
}

// Parse reads a rule file. It returns every fault, in order, up to MaxFaults; a set with faults must
// not be used. It is safe for concurrent use.
func Parse(content string) (hsstate.RuleSet, []Fault) {
	p := &parser{seen: map[string]int{}}
	if hsid.Bytes(len(content)) > MaxContent {
		p.line = 1
		p.fault(1, "the file has %d bytes, the bound is %d", len(content), MaxContent)
		return p.set, p.faults
	}
	for i, line := range strings.Split(content, "\n") {
		p.line = i + 1
		p.parseLine(strings.TrimSuffix(line, "\r"))
	}
	if p.set.Number == 0 && len(p.faults) == 0 {
		p.line = 1
		p.fault(1, "the file has no rules; it starts with: number N")
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.set, p.faults
}

func (p *parser) fault(column int, format string, args ...any) {
	if len(p.faults) < MaxFaults {
		p.faults = append(p.faults, Fault{Line: p.line, Column: column, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *parser) parseLine(line string) {
	if !utf8.ValidString(line) {
		p.fault(1, "the line isn't valid UTF-8")
		return
	}
	if len(line) > MaxLine {
		p.fault(MaxLine+1, "the line has %d bytes, the bound is %d", len(line), MaxLine)
		return
	}
	words, comment, _ := splitLine(line)
	if len(words) == 0 {
		return
	}
	if words[0].text == "number" {
		p.parseNumber(words)
		return
	}
	if p.set.Number == 0 && !p.numberSeen() {
		p.seen["number"] = p.line
		p.fault(words[0].column, "the first rule of the file must be: number N")
	}
	if comment == "" {
		p.fault(utf8.RuneCountInString(line)+1, "the rule lacks a comment that names who asked for it")
	}
	p.rules++
	if p.rules == MaxRules+1 {
		p.fault(1, "the file has more than %d rules", MaxRules)
	}
	p.parseRule(words)
}

func (p *parser) numberSeen() bool {
	_, ok := p.seen["number"]
	return ok
}

func (p *parser) parseNumber(words []word) {
	if p.numberSeen() {
		p.fault(words[0].column, "the number stands on the first line only")
		return
	}
	p.seen["number"] = p.line
	if len(words) != 2 {
		p.fault(words[0].column, "a number line has the form: number N")
		return
	}
	n, err := strconv.ParseUint(words[1].text, 10, 63)
	if err != nil || n == 0 || words[1].text[0] == '+' {
		p.fault(words[1].column, "%q is not a whole number from 1", words[1].text)
		return
	}
	p.set.Number = hsid.RuleNumber(n)
}

// form lists the arguments of a rule and what takes them over.
type form struct {
	verb  string
	keys  []string
	adopt func(p *parser, verb word, args []argument)
}

var forms = []form{
	{verb: "guarantee", keys: []string{"workspace", "shape", "within"}, adopt: (*parser).adoptGuarantee},
	{verb: "quota", keys: []string{"workspace", "accelerators"}, adopt: (*parser).adoptQuota},
	{verb: "refuse", keys: []string{"job"}, adopt: (*parser).adoptRefuse},
	{verb: "once", keys: []string{"job"}, adopt: (*parser).adoptOnce},
}

func (p *parser) parseRule(words []word) {
	verb := words[0]
	i := slices.IndexFunc(forms, func(f form) bool { return f.verb == verb.text })
	if i < 0 {
		p.fault(verb.column, "%q is not a rule; there are guarantee, quota, refuse and once", verb.text)
		return
	}
	f := forms[i]
	args := make([]argument, len(f.keys))
	for _, w := range words[1:] {
		a, ok := splitArgument(w)
		k := slices.Index(f.keys, a.key)
		switch {
		case !ok:
			p.fault(w.column, "%q doesn't have the form key=value", w.text)
		case k < 0:
			p.fault(w.column, "%s has no %q; it takes %s", f.verb, a.key, strings.Join(f.keys, ", "))
		case args[k].key != "":
			p.fault(w.column, "%s stands twice", a.key)
		default:
			args[k] = a
		}
	}
	for k, a := range args {
		if a.key == "" {
			p.fault(verb.column, "%s lacks %s=", f.verb, f.keys[k])
		}
	}
	f.adopt(p, verb, args)
}

// name checks a name and reports whether it can be used. A missing one was reported before.
func (p *parser) name(a argument) bool {
	if a.key == "" {
		return false
	}
	if !validName(a.value) {
		p.fault(a.valueColumn, "%q is not a name: 1 to %d letters, digits, dots, dashes or underscores", a.value, maxName)
		return false
	}
	return true
}

// fresh reports whether a rule is the first of its kind for the same subject.
func (p *parser) fresh(verb word, subject string) bool {
	id := verb.text + " " + subject
	if first, ok := p.seen[id]; ok {
		p.fault(verb.column, "the rule stands on line %d already", first)
		return false
	}
	p.seen[id] = p.line
	return true
}

func (p *parser) adoptGuarantee(verb word, args []argument) {
	g := hsstate.Guarantee{Workspace: hsid.WorkspaceID(args[0].value), Line: p.line}
	ok := p.name(args[0])
	if args[1].key != "" {
		var err error
		if g.Shape, err = hsshape.Parse(args[1].value); err != nil {
			p.fault(args[1].valueColumn, "%q is not a shape such as 4x1worker or 8x3workers within %dx%dworkers",
				args[1].value, hsshape.MaxPerWorker, hsshape.MaxWorkers)
			ok = false
		}
	}
	if args[2].key != "" {
		var err error
		g.Within, err = time.ParseDuration(args[2].value)
		if err != nil || g.Within <= 0 || g.Within > MaxWithin {
			p.fault(args[2].valueColumn, "%q is not a time such as 1.4s or 10m, above zero and up to 24h", args[2].value)
			ok = false
		}
	}
	if ok && p.fresh(verb, string(g.Workspace)+" "+g.Shape.String()) {
		p.set.Guarantees = append(p.set.Guarantees, g)
	}
}

func (p *parser) adoptQuota(verb word, args []argument) {
	ok := p.name(args[0])
	q := hsstate.Quota{Workspace: hsid.WorkspaceID(args[0].value), Line: p.line}
	if args[1].key != "" {
		n, err := strconv.ParseUint(args[1].value, 10, 32)
		if err != nil || n > MaxQuota {
			p.fault(args[1].valueColumn, "%q is not a whole number up to %d", args[1].value, MaxQuota)
			ok = false
		}
		q.Accelerators = hsid.Accelerators(n)
	}
	if ok && p.fresh(verb, string(q.Workspace)) {
		p.set.Quotas = append(p.set.Quotas, q)
	}
}

func (p *parser) adoptRefuse(verb word, args []argument) {
	if p.name(args[0]) && p.fresh(verb, args[0].value) {
		p.set.Refuse = append(p.set.Refuse, hsid.JobKind(args[0].value))
	}
}

func (p *parser) adoptOnce(verb word, args []argument) {
	if p.name(args[0]) && p.fresh(verb, args[0].value) {
		p.set.Once = append(p.set.Once, hsid.JobKind(args[0].value))
	}
}
