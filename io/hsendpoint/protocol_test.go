package hsendpoint_test

import (
	"strings"
	"testing"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsshape"
	"hyssopseam/io/hsendpoint"
)

// TestAnnouncement checks which announcements name a worker.
func TestAnnouncement(t *testing.T) {
	tables := []struct {
		name   string
		change func(a *hsendpoint.Announcement)
		want   bool
	}{
		{"whole", func(*hsendpoint.Announcement) {}, true},
		{"no endpoint", func(a *hsendpoint.Announcement) { a.Endpoint = 0 }, false},
		{"no rack", func(a *hsendpoint.Announcement) { a.Rack = "" }, false},
		{"negative memory", func(a *hsendpoint.Announcement) { a.MemoryBytes = -1 }, false},
		{"memory that overflows in sums", func(a *hsendpoint.Announcement) { a.MemoryBytes = 1<<63 - 1 }, false},
		{"cores that overflow in sums", func(a *hsendpoint.Announcement) { a.MilliCores = 1<<63 - 1 }, false},
		{"an accelerator out of range", func(a *hsendpoint.Announcement) {
			a.Groups = []hsshape.Group{{hsid.AcceleratorIndex(hsshape.MaxPerWorker)}}
		}, false},
		{"a port out of range", func(a *hsendpoint.Announcement) { a.Address = "127.0.0.1:65536" }, false},
		{"a negative port", func(a *hsendpoint.Announcement) { a.Address = "127.0.0.1:-1" }, false},
		{"port zero", func(a *hsendpoint.Announcement) { a.Address = "127.0.0.1:0" }, false},
		{"no port", func(a *hsendpoint.Announcement) { a.Address = "127.0.0.1" }, false},
		{"no host", func(a *hsendpoint.Announcement) { a.Address = ":9000" }, false},
		{"a rack too long", func(a *hsendpoint.Announcement) { a.Rack = hsid.RackID(strings.Repeat("r", 1<<20)) }, false},
	}
	for _, tt := range tables {
		a := hsendpoint.Announcement{Endpoint: 1, Address: "127.0.0.1:9000", Zone: "z", Rack: "r", MilliCores: 8000, MemoryBytes: 1 << 33, Groups: hsshape.WholeWorker(8)}
		tt.change(&a)
		if _, err := a.Worker(); (err == nil) != tt.want {
			t.Errorf("%s: got error %v, want a worker: %v", tt.name, err, tt.want)
		}
	}
}
