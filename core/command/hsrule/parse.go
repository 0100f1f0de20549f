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

// Limits of a rule file.
const (
	// MaxContent is the largest size of a rule file.
	MaxContent = 256 * hsid.KiB
	// MaxRules is the largest number of rules in a file.
	MaxRules = 2000
	// MaxLine is the largest length of a line in bytes.
	MaxLine = 512
	// MaxFaults is the largest number of faults that are reported.
	MaxFaults = 100
	// MaxWithin is the longest time that a guarantee may give.
	MaxWithin = 24 * time.Hour
	// MaxQuota is the largest quota.
	MaxQuota = 1 << 20

	// maxName is the largest length of a name.
	maxName = 64
)

// parser collects the rules and the faults of one file.
type parser struct {
	set    hsstate.RuleSet
	faults []Fault
	// rules counts the rules apart from the number.
	rules int
	// seen holds the line of each rule by its keyword and subject, to detect duplicates.
	seen map[string]int
	// line is the number of the current line.
	line int
}

// Parse parses a rule file. It returns the faults in the order of their positions, up to MaxFaults of them; when there
// are any, the set must not be used. It is safe for concurrent use.
func Parse(content string) (hsstate.RuleSet, []Fault) {
	p := &parser{seen: map[string]int{}}
	if hsid.Bytes(len(content)) > MaxContent {
		p.line = 1
		p.addFault(1, "the file has %d bytes, the limit is %d", len(content), MaxContent)
		return p.set, p.faults
	}
	for i, line := range strings.Split(content, "\n") {
		p.line = i + 1
		p.parseLine(strings.TrimSuffix(line, "\r"))
	}
	if p.set.Number == 0 && len(p.faults) == 0 {
		p.line = 1
		p.addFault(1, "the file has no rules; it must start with: number N")
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.set, p.faults
}

// addFault adds a fault in the current line, unless there are MaxFaults already.
func (p *parser) addFault(column int, format string, args ...any) {
	if len(p.faults) < MaxFaults {
		p.faults = append(p.faults, Fault{Line: p.line, Column: column, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *parser) parseLine(line string) {
	if !utf8.ValidString(line) {
		p.addFault(1, "the line isn't valid UTF-8")
		return
	}
	if len(line) > MaxLine {
		p.addFault(MaxLine+1, "the line has %d bytes, the limit is %d", len(line), MaxLine)
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
		p.addFault(words[0].column, "the first rule of the file must be: number N")
	}
	if comment == "" {
		p.addFault(utf8.RuneCountInString(line)+1, "the rule lacks a comment that names who asked for it")
	}
	p.rules++
	if p.rules == MaxRules+1 {
		p.addFault(1, "the file has more than %d rules", MaxRules)
	}
	p.parseRule(words)
}

func (p *parser) numberSeen() bool {
	_, ok := p.seen["number"]
	return ok
}

func (p *parser) parseNumber(words []word) {
	if p.numberSeen() {
		p.addFault(words[0].column, "the number must be the first rule, and may be given only once")
		return
	}
	p.seen["number"] = p.line
	if len(words) != 2 {
		p.addFault(words[0].column, "a number line has the form: number N")
		return
	}
	n, err := strconv.ParseUint(words[1].text, 10, 63)
	if err != nil || n == 0 || words[1].text[0] == '+' {
		p.addFault(words[1].column, "%q is not a whole number from 1", words[1].text)
		return
	}
	p.set.Number = hsid.RuleNumber(n)
}

// syntax is the syntax of one kind of rule: its keyword and the keys of its arguments. Function add adds a rule of this
// kind, with the arguments in the order of the keys, to the set; a missing argument has no key.
type syntax struct {
	keyword string
	keys    []string
	add     func(p *parser, keyword word, args []argument)
}

var syntaxes = []syntax{
	{keyword: "guarantee", keys: []string{"workspace", "shape", "within"}, add: (*parser).addGuarantee},
	{keyword: "quota", keys: []string{"workspace", "accelerators"}, add: (*parser).addQuota},
	{keyword: "refuse", keys: []string{"job"}, add: (*parser).addRefuse},
	{keyword: "once", keys: []string{"job"}, add: (*parser).addOnce},
}

func (p *parser) parseRule(words []word) {
	keyword := words[0]
	i := slices.IndexFunc(syntaxes, func(s syntax) bool { return s.keyword == keyword.text })
	if i < 0 {
		p.addFault(keyword.column, "%q is not a rule; the rules are guarantee, quota, refuse and once", keyword.text)
		return
	}
	s := syntaxes[i]
	args := make([]argument, len(s.keys))
	for _, w := range words[1:] {
		a, ok := splitArgument(w)
		k := slices.Index(s.keys, a.key)
		switch {
		case !ok:
			p.addFault(w.column, "%q doesn't have the form key=value", w.text)
		case k < 0:
			p.addFault(w.column, "%s has no argument %q; it takes %s", s.keyword, a.key, strings.Join(s.keys, ", "))
		case args[k].key != "":
			p.addFault(w.column, "%s is given twice", a.key)
		default:
			args[k] = a
		}
	}
	for k, a := range args {
		if a.key == "" {
			p.addFault(keyword.column, "%s lacks %s=", s.keyword, s.keys[k])
		}
	}
	s.add(p, keyword, args)
}

// checkName reports whether an argument is given and is a valid name, and adds a fault for an invalid one. The fault for
// a missing argument was added before.
func (p *parser) checkName(a argument) bool {
	if a.key == "" {
		return false
	}
	if !validName(a.value) {
		p.addFault(a.valueColumn, "%q is not a name: 1 to %d letters, digits, dots, dashes or underscores", a.value, maxName)
		return false
	}
	return true
}

// checkUnique reports whether a rule is the first one with its keyword and subject, and adds a fault otherwise.
func (p *parser) checkUnique(keyword word, subject string) bool {
	id := keyword.text + " " + subject
	if first, ok := p.seen[id]; ok {
		p.addFault(keyword.column, "the rule is a duplicate of line %d", first)
		return false
	}
	p.seen[id] = p.line
	return true
}

func (p *parser) addGuarantee(keyword word, args []argument) {
	g := hsstate.Guarantee{Workspace: hsid.WorkspaceID(args[0].value), Line: p.line}
	ok := p.checkName(args[0])
	if args[1].key != "" {
		var err error
		if g.Shape, err = hsshape.Parse(args[1].value); err != nil {
			p.addFault(args[1].valueColumn, "%q is not a shape such as 4x1worker or 8x3workers within %dx%dworkers",
				args[1].value, hsshape.MaxPerWorker, hsshape.MaxWorkers)
			ok = false
		}
	}
	if args[2].key != "" {
		var err error
		g.Within, err = time.ParseDuration(args[2].value)
		if err != nil || g.Within <= 0 || g.Within > MaxWithin {
			p.addFault(args[2].valueColumn, "%q is not a time such as 1.4s or 10m, above zero and up to 24h", args[2].value)
			ok = false
		}
	}
	if ok && p.checkUnique(keyword, string(g.Workspace)+" "+g.Shape.String()) {
		p.set.Guarantees = append(p.set.Guarantees, g)
	}
}

func (p *parser) addQuota(keyword word, args []argument) {
	ok := p.checkName(args[0])
	q := hsstate.Quota{Workspace: hsid.WorkspaceID(args[0].value), Line: p.line}
	if args[1].key != "" {
		n, err := strconv.ParseUint(args[1].value, 10, 32)
		if err != nil || n > MaxQuota {
			p.addFault(args[1].valueColumn, "%q is not a whole number up to %d", args[1].value, MaxQuota)
			ok = false
		}
		q.Accelerators = hsid.Accelerators(n)
	}
	if ok && p.checkUnique(keyword, string(q.Workspace)) {
		p.set.Quotas = append(p.set.Quotas, q)
	}
}

func (p *parser) addRefuse(keyword word, args []argument) {
	if p.checkName(args[0]) && p.checkUnique(keyword, args[0].value) {
		p.set.Refuse = append(p.set.Refuse, hsid.JobKind(args[0].value))
	}
}

func (p *parser) addOnce(keyword word, args []argument) {
	if p.checkName(args[0]) && p.checkUnique(keyword, args[0].value) {
		p.set.Once = append(p.set.Once, hsid.JobKind(args[0].value))
	}
}
