package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	memberID = "5c0e7a21d94b36f8"
	// memberFreeze is how long a control process stands still, and memberSpare when the successor of another one
	// starts in that time.
	memberFreeze = 3500 * time.Millisecond
	memberSpare  = 1900 * time.Millisecond
	// memberHandOver is how long after its successor the predecessor gets SIGTERM.
	memberHandOver = 4 * time.Second
	// memberCalm is the time without any disruption before the final fault.
	memberCalm = 10 * time.Second
	// memberDown is how long the machines of the final fault are down.
	memberDown = 900 * time.Millisecond
)

// runMember replaces a control process as planned, while another one stands still for some seconds. Later two others lose
// their disks, right after a change was acknowledged.
func runMember(t *test) ([]string, error) {
	d, err := newDeployment(t, 6, 2, 2, 2)
	if err != nil {
		return nil, err
	}
	spare := d.controls[5]
	for _, p := range d.processes {
		if p == spare {
			continue
		}
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	spare.started = true // It starts later, so its settings have bootstrap = false.
	for i := range d.agents {
		w, err := newWorker(d, i, 32000, 131072, 8)
		if err != nil {
			return nil, err
		}
		w.serve()
	}
	if err := d.configure(configuration(1, 0), 30*time.Second); err != nil {
		return nil, err
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	time.Sleep(9 * time.Second)
	job := map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimatedMs": 1000}}}
	if a := d.call(0, http.MethodPost, "/q/"+memberID, job); a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was answered %d", errNotRun, a.status)
	}
	leader := d.leader()
	if leader < 0 {
		return nil, fmt.Errorf("%w: no leader", errNotRun)
	}
	// The first five are the members; the roles are counted from the leader on.
	member := func(k int) *process { return d.controls[(leader+k)%5] }
	frozen, predecessor := member(1), member(2)
	if t.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(memberSpare)
	if err := spare.start(); err != nil {
		return nil, err
	}
	time.Sleep(memberFreeze - memberSpare)
	if t.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(memberHandOver - (memberFreeze - memberSpare))
	predecessor.signal(syscall.SIGTERM)
	_, _ = predecessor.running.Wait()
	predecessor.running = nil
	time.Sleep(memberCalm)
	d.showCommits()
	const version = 2
	if err := d.configure(configuration(version, 0), 10*time.Second); err != nil {
		return nil, err
	}
	wiped := []*process{member(3), member(4)}
	for _, p := range wiped {
		p.kill()
		if err := os.RemoveAll(filepath.Join(t.folder, "data-"+p.name)); err != nil {
			return nil, err
		}
		t.record.note("process %s has lost its disk", p.name)
	}
	time.Sleep(memberDown)
	for _, p := range wiped {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(12 * time.Second)
	return d.checkReadBack(version, "/q/"+memberID), nil
}
