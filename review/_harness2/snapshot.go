package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// snapshotJobs is the number of jobs, and snapshotSpec the size of their specs.
	snapshotJobs    = 1504
	snapshotSpec    = 3900
	snapshotClients = 8
	// snapshotChanges is the number of small changes of the configuration before the jobs, and snapshotRoutes the number of
	// routes by which it grows after them, at a pause of snapshotGap between two changes.
	snapshotChanges = 260
	snapshotGap     = 330 * time.Millisecond
	snapshotRoutes  = 1400
	// snapshotPart is how much of the state the new replica has received when the leader is killed, in bytes.
	snapshotPart = 3 << 20
	// snapshotDown is how long a killed process is down.
	snapshotDown = 2 * time.Second
	// snapshotRounds bounds the leaders that are killed until the new replica leads.
	snapshotRounds = 14
	// snapshotCalm is the time without any disruption before the clients ask.
	snapshotCalm = 5 * time.Second
)

// snapshotRun is the state of this case.
type snapshotRun struct {
	t     *test
	d     *deployment
	mutex sync.Mutex
	ids   []string
}

// runSnapshot lets a control process lose its disk and kills the leader while it sends the state to the new replica.
// Later, leaders are killed until that replica leads, and the clients ask for all their jobs.
func runSnapshot(t *test) ([]string, error) {
	d, err := newDeployment(t, 5, 2, 2, 2)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	for i := range d.agents {
		w, err := newWorker(d, i, 128000, 524288, 8)
		if err != nil {
			return nil, err
		}
		w.duration = func(string) time.Duration { return 200 * time.Millisecond }
		w.serve()
	}
	for version := range snapshotChanges {
		if err := d.configure(configuration(version+1, 0), 30*time.Second); err != nil {
			return nil, err
		}
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	s := &snapshotRun{t: t, d: d}
	s.load()
	if err := await("all jobs are done", 30*time.Second, func() bool { return t.record.countEnds("done") >= snapshotJobs }); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for version := snapshotChanges + 1; !s.compacted(); version++ {
		if version > 2*snapshotChanges {
			return nil, fmt.Errorf("%w: the log wasn't compacted", errNotRun)
		}
		if err := d.configure(configuration(version, snapshotRoutes), 30*time.Second); err != nil {
			return nil, err
		}
		time.Sleep(snapshotGap)
	}
	t.record.note("%d jobs accepted, snapshots %v", len(s.ids), d.snapshots())
	time.Sleep(time.Second)
	leader := d.leader()
	if leader < 0 {
		return nil, fmt.Errorf("%w: no leader", errNotRun)
	}
	fresh := s.pickFresh(leader)
	if t.trouble {
		if err := s.interrupt(d.controls[leader], fresh); err != nil {
			return nil, err
		}
	}
	time.Sleep(snapshotCalm)
	if err := s.lead(fresh); err != nil {
		return nil, err
	}
	time.Sleep(snapshotCalm)
	return s.ask(), nil
}

// submit submits one job, with the platform's retries, and keeps its id if it was accepted.
func (s *snapshotRun) submit(entry int) {
	s.mutex.Lock()
	id := fmt.Sprintf("%016x", 0x7a21000000000000+uint64(len(s.ids)))
	s.ids = append(s.ids, id)
	s.mutex.Unlock()
	job := map[string]any{
		"spec":  id + strings.Repeat("x", snapshotSpec-len(id)),
		"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimatedMs": 200}},
	}
	for range 50 {
		if a := s.d.call(entry%2, http.MethodPost, "/q/"+id, job); a.status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
		entry++
	}
	s.t.record.note("job %s wasn't accepted", id)
}

// load submits jobs from several clients at once.
func (s *snapshotRun) load() {
	var clients sync.WaitGroup
	for c := range snapshotClients {
		clients.Go(func() {
			for range snapshotJobs / snapshotClients {
				s.submit(c)
			}
		})
	}
	clients.Wait()
}

// snapshots returns the names of the control processes' snapshots, in their order; empty for none.
func (d *deployment) snapshots() []string {
	var names []string
	for _, p := range d.controls {
		name := ""
		found, _ := filepath.Glob(filepath.Join(d.t.folder, "data-"+p.name, "snapshot-*"))
		for _, f := range found {
			name = filepath.Base(f)
		}
		names = append(names, name)
	}
	return names
}

// compacted reports whether all control processes have a snapshot.
func (s *snapshotRun) compacted() bool { return !slices.Contains(s.d.snapshots(), "") }

// pickFresh returns the control process that is to lose its disk. It isn't the leader, and preferably one whose snapshot is
// of another entry than the leader's, as most of the others are of the same.
func (s *snapshotRun) pickFresh(leader int) *process {
	names := s.d.snapshots()
	for i, n := range names {
		if n != names[leader] {
			return s.d.controls[i]
		}
	}
	return s.d.controls[(leader+1)%len(names)]
}

// interrupt lets a control process lose its disk, and kills the leader once it has sent a part of the state to the new
// replica. The leader starts again later.
func (s *snapshotRun) interrupt(leader, fresh *process) error {
	fresh.kill()
	if err := os.RemoveAll(filepath.Join(s.t.folder, "data-"+fresh.name)); err != nil {
		return err
	}
	s.t.record.note("process %s has lost its disk", fresh.name)
	time.Sleep(time.Second)
	if err := fresh.start(); err != nil {
		return err
	}
	if err := awaitFast("the new replica has received a part of the state", 20*time.Second, func() bool {
		received, ok := fresh.metric("link_received_bytes_total")
		return ok && received > snapshotPart
	}); err != nil {
		return err
	}
	leader.kill()
	received, _ := fresh.metric("link_received_bytes_total")
	s.t.record.note("process %s had received %.0f bytes", fresh.name, received)
	time.Sleep(snapshotDown)
	return leader.start()
}

// awaitFast is await without a pause between two looks.
func awaitFast(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); {
		if time.Now().After(end) {
			return fmt.Errorf("%w: timed out waiting until %s", errNotRun, what)
		}
	}
	return nil
}

// lead kills the leader, and another process beside it, until a certain control process leads. Both start again.
func (s *snapshotRun) lead(wanted *process) error {
	for range snapshotRounds {
		leader := -1
		if err := await("there is a leader", 20*time.Second, func() bool { leader = s.d.leader(); return leader >= 0 }); err != nil {
			return err
		}
		if s.d.controls[leader] == wanted {
			s.t.record.note("process %s leads", wanted.name)
			return nil
		}
		killed := []*process{s.d.controls[leader]}
		for _, p := range s.d.controls {
			if p != wanted && p != killed[0] && len(killed) < 2 {
				killed = append(killed, p)
			}
		}
		for _, p := range killed {
			p.kill()
		}
		time.Sleep(snapshotDown)
		for _, p := range killed {
			if err := p.start(); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: process %s didn't lead", errNotRun, wanted.name)
}

// ask asks for all jobs, and returns a violation if one isn't known any more or isn't completed.
func (s *snapshotRun) ask() []string {
	var violations []string
	states := map[string]int{}
	for i, id := range s.ids {
		a := answer{}
		for range 20 {
			if a = s.d.call(i%2, http.MethodGet, "/q/"+id, nil); a.status == http.StatusOK || a.status == http.StatusGone {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		states[fmt.Sprintf("%d %s", a.status, strings.Join(strings.Fields(string(a.body)), " "))]++
		if a.status == http.StatusGone {
			violations = append(violations, fmt.Sprintf("LOST: the accepted job %s is answered 410", id))
		}
	}
	for state, count := range states {
		s.t.record.note("%d jobs: %.120s", count, state)
	}
	s.d.showCommits()
	return violations
}
