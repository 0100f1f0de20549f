package hsrule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a part of a line without white space. The column counts characters from 1.
type word struct {
	text   string
	column int
}

// splitLine splits a line into its words and the text of its comment. The last result tells whether the line has a
// comment, which may be empty.
func splitLine(line string) (words []word, comment string, commented bool) {
	text, comment, commented := strings.Cut(line, "#")
	column := 1
	start := -1
	at := 0
	for i, c := range text {
		switch {
		case unicode.IsSpace(c) && start >= 0:
			words = append(words, word{text: text[start:i], column: at})
			start = -1
		case !unicode.IsSpace(c) && start < 0:
			start = i
			at = column
		}
		column++
	}
	if start >= 0 {
		words = append(words, word{text: text[start:], column: at})
	}
	return words, strings.TrimSpace(comment), commented
}

// argument is one key=value argument of a rule.
type argument struct {
	key    string
	value  string
	column int
	// valueColumn is the column at which the value starts.
	valueColumn int
}

// splitArgument parses a word as key=value. It returns false when the word doesn't have this form.
func splitArgument(w word) (argument, bool) {
	key, value, ok := strings.Cut(w.text, "=")
	a := argument{key: key, value: value, column: w.column}
	a.valueColumn = w.column + utf8.RuneCountInString(key) + 1
	return a, ok && key != "" && value != ""
}

// validName reports whether a name consists of 1 to maxName ASCII letters, digits, dots, dashes or underscores.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, c := range name {
		alphanumeric := c < utf8.RuneSelf && (unicode.IsLetter(c) || unicode.IsDigit(c))
		if !alphanumeric && !strings.ContainsRune("._-", c) {
			return false
		}
	}
	return true
}
