// Package hstrace reads the logs of several processes and finds the lines about one job or request.
//
// The clocks of the machines may differ, so lines of different processes that are close in time may be out of order.
//
// # Usage
//
//	lines, err := hstrace.Read(file, "core-1")
//	for _, l := range hstrace.Filter("0123456789abcdef", lines) {
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

// maxLineBytes is the longest line that Read accepts; a longer one makes it fail.
const maxLineBytes = 1 << 20

// Field is a key with its value.
type Field struct {
	Key   string
	Value string
}

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Source is the name of the process that wrote the line.
	Source  string
	Level   string
	Message string
	Fields  []Field
}

// Get returns the value of the first field with a key, or an empty string if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the line with its time of day, source, message and fields.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Source, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
	}
	return b.String()
}

// Read parses a log. Lines that aren't log records, such as the stack traces of a crash, are skipped. On a read error
// it returns the lines before it.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		d := logfmt.NewDecoder(bytes.NewReader(scanner.Bytes()))
		if !d.ScanRecord() {
			continue
		}
		if l, ok := scanLine(d, source); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("hstrace: %s: %w", source, err)
	}
	return lines, nil
}

// scanLine parses the fields of a record. It returns false for a line without a valid time and message.
func scanLine(d *logfmt.Decoder, source string) (Line, bool) {
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
