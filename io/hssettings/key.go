package hssettings

import (
	"reflect"
	"strings"
)

// knownKeys returns the full names of all settings, such as control.runLease.
func knownKeys(t reflect.Type, prefix string) map[string]bool {
	keys := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		keys[name] = true
		if f.Type.Kind() == reflect.Struct {
			for k := range knownKeys(f.Type, name+".") {
				keys[k] = true
			}
		}
	}
	return keys
}

// checkCase refuses keys that differ from a setting in letter case only. The TOML library would accept them, as it
// matches keys without regard to case.
func (c *checker) checkCase() {
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
				c.addFault(key, "unknown setting; use %s", k)
			}
		}
	}
}
