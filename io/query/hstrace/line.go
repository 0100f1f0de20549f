// Package hstrace reads the logs of several processes and finds what they say about one job or request.
//
// The clocks of the machines may differ, so lines of different processes that are close together may be out of
// order.
//
// # Usage
//
//	lines, err := hstrace.Read(file, "core-1")
//	for _, l := range hstrace.About("0123456789abcdef", lines) {
//		fmt.Println(l)
//	}
package hstrace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds a line that is read, in bytes; longer ones end the reading with an error.
const maxLine = 1 << 20

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Source names the process that wrote it.
	Source  string
	Level   string
	Message string
	Fields  []Field
}

// Get returns the value of a field; empty without one.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the line with its time of day, its source and its fields.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Source, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
	}
	return b.String()
}

// Read reads a log. Lines that aren't those of a process, such as the stacks of a crash, are left out.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	text := bufio.NewScanner(r)
	text.Buffer(nil, maxLine)
	for text.Scan() {
		d := logfmt.NewDecoder(bytes.NewReader(text.Bytes()))
		if !d.ScanRecord() {
			continue
		}
		if l, ok := scan(d, source); ok {
			lines = append(lines, l)
		}
	}
	if err := text.Err(); err != nil {
		return lines, fmt.Errorf("hstrace: %s: %w", source, err)
	}
	return lines, nil
}

// scan reads the fields of a record and reports whether it is a line of a process.
func scan(d *logfmt.Decoder, source string) (Line, bool) {
	l := Line{Source: source}
	for d.ScanKeyval() {
		value := string(d.Value())
		switch key := string(d.Key()); key {
		case "time":
			at, err := time.Parse(time.RFC3339, value)
			if err != nil {
				return l, false
			}
			l.Time = at
		case "level":
			l.Level = value
		case "msg":
			l.Message = value
		default:
			if value != "" {
				l.Fields = append(l.Fields, Field{Key: key, Value: value})
			}
		}
	}
	return l, d.Err() == nil && !l.Time.IsZero() && l.Message != ""
}
