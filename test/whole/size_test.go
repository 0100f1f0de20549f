package whole

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
	"hyssopseam/internal/play"
	"hyssopseam/io/hslink"
)

// largeCatalog returns a catalog of one pool and many queues, whose content has at least the given size.
func largeCatalog(version hswork.Version, queues int, size hsid.Bytes) *hswork.Catalog {
	c := &hswork.Catalog{Version: version, Pools: []hswork.Pool{{Name: "pool"}}}
	c.Workspaces = []hswork.Workspace{{Name: "a", Keys: []string{workKey}}}
	for i := range queues {
		c.Queues = append(c.Queues, hswork.Queue{
			Name:    hswork.QueueName(fmt.Sprintf("queue-%d-%s", i, strings.Repeat("n", 40))),
			Host:    fmt.Sprintf("%s.%d.example", strings.Repeat("h", 50), i),
			Prefix:  fmt.Sprintf("/%s/%d/", strings.Repeat("p", 50), i),
			Pool:    "pool",
			Timeout: 3 * time.Second,
		})
	}
	c.Content = []byte(strings.Repeat("x", int(size)))
	return c
}

// sizeWorld returns a world of three control replicas whose links drop messages that don't fit into a frame.
func sizeWorld(config hsquorum.Config) *play.World {
	return play.New(play.Config{
		Seed:           3,
		Controls:       3,
		Control:        hscontrol.Config{Quorum: config, ReplaceAfter: 1500 * time.Millisecond},
		Interval:       500 * time.Millisecond,
		EncodeMessages: true,
		DropOversize:   true,
	})
}

// doWork sends a request about step jobs and waits for its verdict.
func doWork(t *testing.T, w *play.World, q *hsmessage.WorkRequest) hsmessage.WorkVerdict {
	t.Helper()
	var verdict hsmessage.WorkVerdict
	w.Entry.Do(hsmessage.Request{Work: q}, func(r hsmessage.Reply) {
		if r.Work != nil {
			verdict = r.Work.Verdict
		}
	})
	if !w.Await(10*time.Second, func() bool { return verdict != "" }) {
		t.Fatalf("got no verdict for %s", q.Action)
	}
	return verdict
}

// TestReplicaBehindByLargeEntries checks that a replica that was down while large entries were committed catches up, so
// that the cluster survives the loss of another one. Guards against a message to it above the limit of a frame, which is
// dropped and built again with each heartbeat (review case 10).
func TestReplicaBehindByLargeEntries(t *testing.T) {
	tables := []struct {
		name     string
		catalogs int
		queues   int
		content  hsid.Bytes
	}{
		{"catalogs of many queues", 18, 1400, 200 * hsid.KiB},
		{"few catalogs close to the largest entry", 3, 10, 5 * hsid.MiB},
	}
	for _, tt := range tables {
		w := sizeWorld(hsquorum.Config{})
		w.Run(3 * time.Second)
		behind := follower(w)
		other := follower(w, behind)
		behind.Crash(true)
		for i := range tt.catalogs {
			c := largeCatalog(hswork.Version(i+1), tt.queues, tt.content)
			if got := doWork(t, w, &hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: c}); got != hsmessage.WorkDone {
				t.Errorf("%s: got verdict %s, want %s", tt.name, got, hsmessage.WorkDone)
			}
		}
		behind.Start()
		caughtUp := func() bool {
			l := w.Leader()
			return l != nil && behind.Role().Replica().CommitIndex() == l.Replica().CommitIndex()
		}
		if !w.Await(recoveryTime, caughtUp) {
			t.Errorf("%s: got a replica that doesn't catch up, and %d messages above the limit", tt.name, w.Oversize)
		}
		other.Wipe()
		w.Run(time.Second)
		other.Start()
		w.Run(recoveryTime)
		if got := doWork(t, w, &hsmessage.WorkRequest{Action: hsmessage.WorkGetCatalog}); got != hsmessage.WorkDone {
			t.Errorf("%s: got verdict %s for a read after the loss of another disk, want %s", tt.name, got, hsmessage.WorkDone)
		}
		if w.Oversize > 0 {
			t.Errorf("%s: got %d messages above the limit of a frame, want none", tt.name, w.Oversize)
		}
	}
}

// TestRequestAboveLimit checks that a request that doesn't fit into a message to the leader is refused at once. Guards
// against one that is dropped each time it is sent, until its outcome counts as unknown, or that ends the link.
func TestRequestAboveLimit(t *testing.T) {
	tables := []struct {
		name   string
		change func(c *hswork.Catalog)
		want   hsmessage.WorkVerdict
	}{
		{"a catalog within the limits", func(*hswork.Catalog) {}, hsmessage.WorkDone},
		{"a catalog above the limit of a frame", func(c *hswork.Catalog) { c.Content = make([]byte, hslink.MaxFrame) }, hsmessage.WorkBad},
		{"more keys than a list may have", func(c *hswork.Catalog) {
			for i := range 200_000 {
				c.Workspaces[0].Keys = append(c.Workspaces[0].Keys, fmt.Sprint(i))
			}
		}, hsmessage.WorkBad},
	}
	for _, tt := range tables {
		w := sizeWorld(hsquorum.Config{})
		w.Run(3 * time.Second)
		c := largeCatalog(1, 1, hsid.KiB)
		tt.change(c)
		if got := doWork(t, w, &hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: c}); got != tt.want {
			t.Errorf("%s: got verdict %s, want %s", tt.name, got, tt.want)
		}
		if w.Oversize > 0 {
			t.Errorf("%s: got %d messages above the limit, want none", tt.name, w.Oversize)
		}
	}
}

// TestEntryAboveLimit checks that a command that doesn't fit into a message between replicas is refused, and that the
// cluster goes on. Guards against an entry that no other replica ever receives (review case 10).
func TestEntryAboveLimit(t *testing.T) {
	w := sizeWorld(hsquorum.Config{MaxEntryBytes: hsid.MiB})
	w.Run(3 * time.Second)
	tables := []struct {
		name    string
		version hswork.Version
		content hsid.Bytes
		want    hsmessage.WorkVerdict
	}{
		{"a catalog within the limit", 1, 900 * hsid.KiB, hsmessage.WorkDone},
		{"a catalog above the limit", 2, hsid.MiB, hsmessage.WorkBad},
		{"the next one within the limit", 3, 900 * hsid.KiB, hsmessage.WorkDone},
	}
	for _, tt := range tables {
		c := largeCatalog(tt.version, 1, tt.content)
		if got := doWork(t, w, &hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: c}); got != tt.want {
			t.Errorf("%s: got verdict %s, want %s", tt.name, got, tt.want)
		}
	}
}
