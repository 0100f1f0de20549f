package hsrule

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a piece of a line without white space. Column counts characters from 1.
type word struct {
	text   string
	column int
}

// splitLine cuts a line into its words and its comment, which is empty when there is none.
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

// argument is one key=value of a rule.
type argument struct {
	key    string
	value  string
	column int
	// valueColumn is where the value starts.
	valueColumn int
}

func splitArgument(w word) (argument, bool) {
	key, value, ok := strings.Cut(w.text, "=")
	a := argument{key: key, value: value, column: w.column}
	a.valueColumn = w.column + utf8.RuneCountInString(key) + 1
	return a, ok && key != "" && value != ""
}

// validName reports whether a name has 1 to 64 letters, digits, dots, dashes or underscores.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, c := range name {
		plain := c < utf8.RuneSelf && (unicode.IsLetter(c) || unicode.IsDigit(c))
		if !plain && !strings.ContainsRune("._-", c) {
			return false
		}
	}
	return true
}
