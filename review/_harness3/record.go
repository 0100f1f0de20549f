package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the seconds since the start of the case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// since returns the seconds since the start of the case.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// add writes one line.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", r.since(time.Now()), fmt.Sprintf(format, values...))
}
