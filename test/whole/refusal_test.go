package whole

import (
	"testing"
	"time"

	"hyssopseam/core/command/hscontrol"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hswork"
	"hyssopseam/internal/play"
)

// refusalJob is the job that the tests below hand in, and refusalPath its path in the queue of refusalCatalog.
const (
	refusalJob  = hswork.ID("00000000000000c1")
	refusalPath = "/q/" + string(refusalJob)
)

// refusalCatalog returns a catalog with one queue and one key.
func refusalCatalog(version hswork.Version, prefix, key string) *hswork.Catalog {
	return &hswork.Catalog{
		Version:    version,
		Pools:      []hswork.Pool{{Name: "pool"}},
		Queues:     []hswork.Queue{{Name: "q", Host: workHost, Prefix: prefix, Pool: "pool", MaxAttempts: 2, Timeout: 3 * time.Second}},
		Workspaces: []hswork.Workspace{{Name: "a", Keys: []string{key}}},
	}
}

// newRefusalWorld returns a deployment of three replicas without workers, in which the first catalog is in force.
func newRefusalWorld(t *testing.T, seed uint64) *play.World {
	t.Helper()
	w := play.New(play.Config{Seed: seed, Controls: 3, Control: hscontrol.Config{}, Interval: 500 * time.Millisecond, EncodeMessages: true})
	w.Run(5 * time.Second)
	if got := ask(w, &hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: refusalCatalog(1, "/q/", "old")}); !w.Await(10*time.Second, func() bool { return *got != "" }) || *got != verdictText(hsmessage.WorkDone) {
		t.Fatalf("first catalog: got %q, want %q", *got, hsmessage.WorkDone)
	}
	return w
}

// cutLeader lets the leader hear nothing from the other replicas until w.Heal, and returns its address.
func cutLeader(w *play.World) hsstate.Peer {
	var leader hsstate.Peer
	for _, n := range w.Controls {
		if n.Role().Leading() {
			leader = n.Peer()
		}
	}
	for _, n := range w.Controls {
		w.Disconnect(n.Peer(), leader, true)
	}
	return leader
}

func verdictText(v hsmessage.WorkVerdict) string { return string(v) }

// ask sends a request and returns where its outcome will be: the verdict, or the status of a reply without one.
func ask(w *play.World, q *hsmessage.WorkRequest) *string {
	outcome := new(string)
	w.Entry.Do(hsmessage.Request{Work: q}, func(r hsmessage.Reply) {
		*outcome = string(r.Status)
		if r.Work != nil {
			*outcome = verdictText(r.Work.Verdict)
		}
	})
	return outcome
}

func submitRequest(key string) *hsmessage.WorkRequest {
	steps := []hswork.Step{{Count: 1, Need: hswork.Resources{Cores: 1000}}}
	return &hsmessage.WorkRequest{Action: hsmessage.WorkSubmit, Host: workHost, Path: refusalPath, Key: key, Submission: &hswork.Submission{Steps: steps}}
}

// TestRefusedAfterAcceptance hands a job in while the leader can't commit, and then a catalog by which the job would be
// refused. The next leader commits both. The entry sends the request again, and its caller must not be told that the job
// was refused, as it runs.
func TestRefusedAfterAcceptance(t *testing.T) {
	tables := []struct {
		name string
		next *hswork.Catalog
	}{
		{"the key is withdrawn", refusalCatalog(2, "/q/", "new")},
		{"the queue is removed", refusalCatalog(2, "/other/", "old")},
	}
	for _, tt := range tables {
		for seed := range uint64(5) {
			w := newRefusalWorld(t, seed)
			cutLeader(w)
			job := ask(w, submitRequest("old"))
			w.Run(20 * time.Millisecond)
			catalog := ask(w, &hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: tt.next})
			w.Run(4 * time.Second)
			w.Heal()
			w.Await(20*time.Second, func() bool { return *job != "" && *catalog != "" })
			exists := w.Leader() != nil && w.Leader().State().Work.Jobs[refusalJob] != nil
			if want := verdictText(hsmessage.WorkDone); !exists || *job != want || *catalog != want {
				t.Errorf("%s, seed %d: got %q for the job, %q for the catalog, and a job that exists: %v; want %q, %q and true", tt.name, seed, *job, *catalog, exists, want, want)
			}
		}
	}
}

// TestWithdrawnKeyOfAnotherRequest checks that a request of its own with a withdrawn key is refused, although its job
// exists.
func TestWithdrawnKeyOfAnotherRequest(t *testing.T) {
	w := newRefusalWorld(t, 1)
	requests := []struct {
		request *hsmessage.WorkRequest
		want    hsmessage.WorkVerdict
	}{
		{submitRequest("old"), hsmessage.WorkDone},
		{submitRequest("old"), hsmessage.WorkDone},
		{&hsmessage.WorkRequest{Action: hsmessage.WorkPutCatalog, Catalog: refusalCatalog(2, "/q/", "new")}, hsmessage.WorkDone},
		{submitRequest("old"), hsmessage.WorkNoKey},
		{submitRequest("new"), hsmessage.WorkDone},
	}
	for i, tt := range requests {
		got := ask(w, tt.request)
		w.Await(10*time.Second, func() bool { return *got != "" })
		if *got != verdictText(tt.want) {
			t.Errorf("request %d: got %q, want %q", i, *got, tt.want)
		}
	}
}

// TestWithdrawnKeyOfResentRequest checks that a request with a withdrawn key isn't acknowledged because it had to be sent more
// than once: its job was accepted long before, by another request.
func TestWithdrawnKeyOfResentRequest(t *testing.T) {
	w := newRefusalWorld(t, 1)
	for _, q := range []*hsmessage.WorkRequest{submitRequest("old"), {Action: hsmessage.WorkPutCatalog, Catalog: refusalCatalog(2, "/q/", "new")}} {
		got := ask(w, q)
		w.Await(10*time.Second, func() bool { return *got != "" })
		if *got != verdictText(hsmessage.WorkDone) {
			t.Fatalf("got %q, want %q", *got, hsmessage.WorkDone)
		}
	}
	w.Run(10 * time.Second)
	for _, n := range w.Controls {
		w.Disconnect("entry", n.Peer(), true)
	}
	job := ask(w, submitRequest("old"))
	w.Run(700 * time.Millisecond)
	w.Heal()
	w.Await(20*time.Second, func() bool { return *job != "" })
	if want := string(hsmessage.StatusUnknown); *job != want {
		t.Errorf("got %q, want %q", *job, want)
	}
}

// TestCancelBehindSubmission cancels a job whose submission isn't committed yet. Its caller must not be told that there
// is no such job, as it would run.
func TestCancelBehindSubmission(t *testing.T) {
	w := newRefusalWorld(t, 1)
	job := ask(w, submitRequest("old"))
	cancel := ask(w, &hsmessage.WorkRequest{Action: hsmessage.WorkCancel, Host: workHost, Path: refusalPath, Key: "old"})
	w.Await(10*time.Second, func() bool { return *job != "" && *cancel != "" })
	j := w.Leader().State().Work.Jobs[refusalJob]
	if j == nil {
		t.Fatalf("got no job, want one; it was answered %q", *job)
	}
	if *cancel == verdictText(hsmessage.WorkNoJob) && j.Phase == hswork.Open {
		t.Errorf("got %q for the cancellation of a job that runs, want %q", *cancel, hsmessage.WorkDone)
	}
}

// TestOnceRuleBehindSubmission pushes a rule by which a job without a key would be refused, behind the submission of such
// a job, while the leader can't commit. The next leader commits both, and the caller must not be told that the job was
// refused.
func TestOnceRuleBehindSubmission(t *testing.T) {
	for seed := range uint64(5) {
		w := newRefusalWorld(t, seed)
		w.AddWorker(play.Worker{ID: "w1", Rack: "r1", Accelerators: 8}).Plans = planOf
		push := func(content string) *hsmessage.Status {
			status := new(hsmessage.Status)
			w.Entry.Push(content, "ama", func(r hsmessage.Reply) { *status = r.Status })
			return status
		}
		first := push("number 1\n")
		w.Await(10*time.Second, func() bool { return *first != "" })
		w.Run(3 * time.Second)
		leader := cutLeader(w)
		var job hsmessage.Reply
		w.Entry.Submit(hsstate.Spec{Workspace: "a", Kind: "order", Shape: hsshape.Shape{Workers: 1, PerWorker: 1}}, func(r hsmessage.Reply) { job = r })
		w.Run(20 * time.Millisecond)
		second := push("number 2\nonce job=order # test\n")
		w.Run(4 * time.Second)
		w.Heal()
		w.Await(20*time.Second, func() bool { return job.Status != "" && *second != "" })
		if job.Status != hsmessage.StatusDone || *second != hsmessage.StatusDone {
			t.Errorf("seed %d, leader %s: got %s (%s) for the job and %s for the rules, want done", seed, leader, job.Status, job.Reason, *second)
		}
	}
}
