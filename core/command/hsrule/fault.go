package hsrule

import "fmt"

// Fault is one error in a rule file. Line and Column count from 1; Column counts characters, not bytes.
type Fault struct {
	Line   int
	Column int
	Text   string
}

// Error returns the fault as line:column: text.
func (f Fault) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
}
