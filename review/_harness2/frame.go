package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// frameRoutes is the number of routes that the configuration has grown by.
	frameRoutes = 1400
	// frameGap is the time between two changes of a storm.
	frameGap = 330 * time.Millisecond
	// frameBefore and frameDuring are the numbers of changes before and while one control process is down.
	frameBefore = 6
	frameDuring = 14
	// frameDown is how long that process is down.
	frameDown = 7 * time.Second
	// frameCalm is the time without any disruption after each of them; a machine no longer counts as lost after 6 s.
	frameCalm = 8 * time.Second
	// frameWatch is how long the operator and the clients ask at the end.
	frameWatch = 25 * time.Second
)

// runFrame changes a large configuration in quick succession while one of three control processes is down. Once it is
// back for longer than it counts as lost, another one loses its disk. The operator then reads the configuration back,
// and a client asks for its job.
func runFrame(t *test) ([]string, error) {
	d, err := newDeployment(t, 3, 2, 1, 1)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	w, err := newWorker(d, 0, 32000, 131072, 8)
	if err != nil {
		return nil, err
	}
	w.serve()
	version := 1
	if err := d.configure(configuration(version, 0), 30*time.Second); err != nil {
		return nil, err
	}
	if err := await("the entries are ready", 20*time.Second, d.ready); err != nil {
		return nil, err
	}
	time.Sleep(9 * time.Second)
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "text", "steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimatedMs": 1000}}}
	if a := d.call(0, http.MethodPost, "/q/"+id, job); a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was answered %d", errNotRun, a.status)
	}
	change := func() error {
		version++
		began := time.Now()
		if err := d.configure(configuration(version, frameRoutes), 10*time.Second); err != nil {
			return err
		}
		time.Sleep(frameGap - time.Since(began))
		return nil
	}
	changes := func(n int) error {
		for range n {
			if err := change(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := changes(frameBefore); err != nil {
		return nil, err
	}
	leader := d.leader()
	if leader < 0 {
		return nil, fmt.Errorf("%w: no leader", errNotRun)
	}
	behind, other := d.controls[(leader+1)%3], d.controls[(leader+2)%3]
	time.Sleep(frameGap)
	killedAt := time.Now()
	if t.trouble {
		behind.kill()
	}
	if err := changes(frameDuring); err != nil {
		return nil, err
	}
	time.Sleep(frameDown - time.Since(killedAt))
	if t.trouble {
		if err := behind.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(frameCalm)
	d.showCommits()
	if t.trouble {
		other.kill()
		if err := os.RemoveAll(filepath.Join(t.folder, "data-"+other.name)); err != nil {
			return nil, err
		}
		t.record.note("process %s has lost its disk", other.name)
		time.Sleep(time.Second)
		if err := other.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(frameCalm)
	return d.checkReadBack(version, "/q/"+id), nil
}

// showCommits records how far each control process is.
func (d *deployment) showCommits() {
	for _, p := range d.controls {
		commit, _ := p.metric("commit_index")
		dropped, _ := p.metric("link_dropped_total")
		d.t.record.note("%s: commit index %.0f, messages dropped %.0f", p.name, commit, dropped)
	}
}

// checkReadBack asks all control processes for the configuration, and all entries for the job, until both were answered
// or frameWatch has passed.
func (d *deployment) checkReadBack(version int, path string) []string {
	gotConfiguration, gotJob := false, false
	var violations []string
	for end := time.Now().Add(frameWatch); time.Now().Before(end) && !(gotConfiguration && gotJob); time.Sleep(500 * time.Millisecond) {
		for i := range d.controls {
			a := d.operate(i, http.MethodGet, wire["configGet"], nil)
			var read struct{ Version int }
			if a.status != http.StatusOK || json.Unmarshal(a.body, &read) != nil {
				continue
			}
			gotConfiguration = true
			if read.Version < version {
				violations = append(violations, fmt.Sprintf("CONFIG: version %d is read back, %d was acknowledged", read.Version, version))
			}
		}
		for i := range d.entries {
			a := d.call(i, http.MethodGet, path, nil)
			gotJob = gotJob || a.status == http.StatusOK
		}
	}
	d.showCommits()
	if !gotConfiguration {
		violations = append(violations, fmt.Sprintf("CONFIG: read back at the end, the configuration doesn't come within %s", frameWatch))
	}
	if !gotJob {
		violations = append(violations, fmt.Sprintf("LOST: an accepted job gets no answer within %s", frameWatch))
	}
	return violations
}
