package hssettings

import (
	"reflect"
	"strings"
)

// knownKeys lists every setting by its full name, such as control.runLease.
func knownKeys(t reflect.Type, prefix string) map[string]bool {
	all := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		all[name] = true
		if f.Type.Kind() == reflect.Struct {
			for k := range knownKeys(f.Type, name+".") {
				all[k] = true
			}
		}
	}
	return all
}

// spelling refuses keys that differ from a setting in upper and lower case only, which the TOML library
// takes for the same.
func (c *checker) spelling() {
	known := knownKeys(reflect.TypeFor[Settings](), "")
	table := ""
	for _, text := range c.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			table = strings.Trim(text, "[] ") + "."
			continue
		}
		left, _, ok := strings.Cut(text, "=")
		key := table + strings.TrimSpace(left)
		if !ok || strings.ContainsAny(key, "# \"'") || known[key] {
			continue
		}
		for k := range known {
			if strings.EqualFold(k, key) {
				c.fault(key, "it is no setting; write %s", k)
			}
		}
	}
}
