package hsrule

import "fmt"

// Fault is one mistake in a rule file. Line and Column count from 1; Column counts characters.
type Fault struct {
	Line   int
	Column int
	Text   string
}

// Error returns the fault as line:column: text.
func (f Fault) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
}
