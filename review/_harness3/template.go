package main

import (
	"fmt"
	"regexp"
	"strings"
)

// settings are the fields with which the platform fills in a template: text, []string, bool or nested settings.
type settings map[string]any

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// lookup returns the value of a path such as bounds.maxHoldMs, or nil.
func (s settings) lookup(path string) any {
	var v any = s
	for name := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case settings:
			v = x[name]
		case []string:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

// render fills in a template, with the parts of the syntax that the templates under deploy/ use.
func (s settings) render(text string) string {
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		switch v := s.lookup(parts[1]).(type) {
		case nil:
			return ""
		case []string:
			out := ""
			for i, item := range v {
				comma := ","
				if i == len(v)-1 {
					comma = ""
				}
				out += strings.NewReplacer("{{.}}", item, "{{@}}", item, "{{,}}", comma).Replace(parts[2])
			}
			return out
		default:
			return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(v))
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		if v := s.lookup(placeholder.FindStringSubmatch(match)[1]); v != nil {
			return fmt.Sprint(v)
		}
		return ""
	})
}
