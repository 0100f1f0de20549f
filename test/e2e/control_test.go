package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsview"
	"hyssopseam/internal/standin"
)

// rulesContent returns the content of rule file n.
func rulesContent(n int) string { return fmt.Sprintf(rulesHeader, n) + testRules }

// pushUntilAccepted pushes rule file n until it is accepted.
func (d *deployment) pushUntilAccepted(host, n int) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("rules %d accepted", n), func() bool {
		return d.do(host, "PUT", "/v1/rules?operator=test", rulesContent(n), "").status == 200
	})
}

// TestControlFailures checks that no accepted rule file is lost in a failure of control replicas: afterwards the file
// that was accepted last must be in force everywhere.
func TestControlFailures(t *testing.T) {
	tables := []struct {
		name   string
		inject func(d *deployment) (last int)
	}{
		{"leader killed during a push", func(d *deployment) int {
			leader := d.processes[fmt.Sprintf("control-%d", d.waitForLeader(entry1))]
			done := make(chan struct{})
			go func() {
				defer close(done)
				d.do(entry2, "PUT", "/v1/rules?operator=test", rulesContent(2), "")
			}()
			d.kill(leader)
			<-done
			d.pushUntilAccepted(entry1, 2)
			d.start(leader)
			return 2
		}},
		{"leader cut off silently for long, then back", func(d *deployment) int {
			leader := d.waitForLeader(entry1)
			d.isolate(leader)
			for n := 2; n <= 6; n++ {
				d.pushUntilAccepted(entry1, n)
			}
			d.heal()
			return 6
		}},
		{"leader hears nobody, then is healed", func(d *deployment) int {
			d.cutInbound(d.waitForLeader(entry1))
			d.pushUntilAccepted(entry1, 2)
			d.heal()
			return 2
		}},
		{"nobody hears the leader, then it is healed", func(d *deployment) int {
			d.cutOutbound(d.waitForLeader(entry1))
			d.pushUntilAccepted(entry2, 2)
			d.heal()
			return 2
		}},
		{"every replica killed at once after an acknowledgement", func(d *deployment) int {
			d.pushUntilAccepted(entry1, 2)
			for i := 1; i <= 3; i++ {
				d.kill(d.processes[fmt.Sprintf("control-%d", i)])
			}
			for i := 1; i <= 3; i++ {
				d.start(d.processes[fmt.Sprintf("control-%d", i)])
			}
			return 2
		}},
		{"connections of the leader go silent for good while new ones work", func(d *deployment) int {
			d.proxies[fmt.Sprintf("control-%d", d.waitForLeader(entry1))].FreezeOpen()
			d.pushUntilAccepted(entry1, 2)
			return 2
		}},
		{"connections of all replicas are dropped, delayed differently, so that messages cross, and dropped again", func(d *deployment) int {
			delay := time.Millisecond
			for _, p := range d.proxies {
				p.Drop()
				p.Delay(delay)
				delay *= 6
			}
			d.pushUntilAccepted(entry2, 2)
			for _, p := range d.proxies {
				p.Drop()
			}
			d.heal()
			return 2
		}},
		{"planned stop of the leader", func(d *deployment) int {
			d.stop(d.processes[fmt.Sprintf("control-%d", d.waitForLeader(entry1))])
			d.pushUntilAccepted(entry1, 2)
			return 2
		}},
	}
	for i, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 110+i, 3)
			d.startCluster(2)
			d.startWorker(1, standin.Config{})
			d.pushRules(entry1, 1)
			last := tt.inject(d)
			for _, host := range []int{entry1, entry2} {
				d.waitFor("last rules everywhere", func() bool {
					v, ok := view[hsview.Rules](d, host, fmt.Sprintf("/v1/rules?everywhere=%d&wait=1s", last))
					return ok && v.Everywhere && v.File.Number == hsid.RuleNumber(last) && v.File.Content == rulesContent(last)
				})
			}
		})
	}
}

// TestReplacedDisk checks that a replica whose disk was replaced holds all rule files once its repair is reported as
// done: another replica is killed right after it, so that the majority needs the repaired one.
func TestReplacedDisk(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 120, 3)
	d.controlSettings = "snapshotEvery = 20\n"
	d.startCluster(1)
	for n := 1; n <= 30; n++ {
		d.pushUntilAccepted(entry1, n)
	}
	lost := 0
	for _, i := range []int{1, 2, 3} {
		if i != d.waitForLeader(entry1) {
			lost = i
		}
	}
	name := fmt.Sprintf("control-%d", lost)
	d.kill(d.processes[name])
	if err := os.RemoveAll(d.dataFolder(lost)); err != nil {
		t.Fatal(err)
	}
	d.start(d.processes[name])
	var old, joining hsid.ReplicaID
	d.waitFor("joining replica listed", func() bool {
		v := d.members(entry1)
		for _, m := range v.Members {
			if string(m.Instance) == name {
				old = m.ID
			}
		}
		for _, m := range v.Newcomers {
			joining = m.ID
		}
		return old != 0 && joining != 0
	})
	if old == joining {
		t.Fatalf("got replica %d again on an empty disk, want a new identifier", joining)
	}
	body, _ := json.Marshal(map[string]any{"action": "replace", "old": old, "id": joining})
	d.waitFor("replacement accepted", func() bool { return d.do(entry1, "POST", "/v1/members", string(body), "").status == 204 })
	d.waitFor("repair completed", func() bool {
		v := d.members(entry1)
		return len(v.Members) == 3 && !v.Repairing && len(v.Newcomers) == 0
	})
	for _, i := range []int{1, 2, 3} {
		if i != lost && i != d.waitForLeader(entry1) {
			d.kill(d.processes[fmt.Sprintf("control-%d", i)])
		}
	}
	d.pushUntilAccepted(entry1, 31)
	d.waitFor("rules kept", func() bool { return d.rulesInForce(entry1) == 31 })
	a := d.do(entry1, "GET", "/v1/rules/history?number=17", "", "")
	var files []hsview.RuleFile
	if err := json.Unmarshal(a.body, &files); err != nil || len(files) != 1 || files[0].Content != rulesContent(17) {
		t.Errorf("got history %s, want the content of file 17", a.body)
	}
}

// TestAwayForLong checks that an entry and a replica catch up after missing 300 rule files, while snapshots are made
// every 50 entries.
func TestAwayForLong(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 121, 3)
	d.controlSettings = "snapshotEvery = 50\n"
	d.startCluster(2)
	d.pushRules(entry1, 1)
	stopped := 0
	for i := 1; i <= 3; i++ {
		if i != d.waitForLeader(entry1) {
			stopped = i
		}
	}
	replica := d.processes[fmt.Sprintf("control-%d", stopped)]
	entry := d.processes["entry-2"]
	d.kill(replica)
	d.kill(entry)
	for n := 2; n <= 301; n++ {
		d.pushUntilAccepted(entry1, n)
	}
	d.start(entry)
	d.start(replica)
	d.waitFor("replica caught up", func() bool {
		for _, m := range d.members(entry1).Members {
			if m.Instance == hsid.InstanceID(replica.name) {
				return m.Alive && m.CaughtUp
			}
		}
		return false
	})
	d.waitFor("entry acts on the newest rules", func() bool { return d.ready(entry2) && d.rulesInForce(entry2) == 301 })
}

// TestRacingOperators checks that of two different files that operators push under the same number through two
// entries, exactly one is accepted, also when the first responses are lost, and that every resend gets the same
// answer.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 122, 3)
	d.startCluster(2)
	d.pushRules(entry1, 1)
	hosts := []int{entry1, entry2}
	content := func(n, who int) string {
		return rulesContent(n) + fmt.Sprintf("once job=by%d # operator %d\n", who, who)
	}
	for n := 2; n <= 12; n++ {
		var wg sync.WaitGroup
		status := make([]int, 2)
		for who, host := range hosts {
			wg.Go(func() {
				path := fmt.Sprintf("/v1/rules?operator=op%d", who)
				// The caller gives up after a few milliseconds, so that it mostly misses the first response.
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n)*time.Millisecond)
				d.doContext(ctx, host, "PUT", path, content(n, who), "")
				cancel()
				for status[who] != 200 && status[who] != 409 {
					status[who] = d.do(host, "PUT", path, content(n, who), "").status
				}
			})
		}
		wg.Wait()
		if status[0]+status[1] != 200+409 {
			t.Fatalf("number %d: got %v, want one 200 and one 409", n, status)
		}
		winner := 0
		if status[1] == 200 {
			winner = 1
		}
		a := d.do(hosts[1-winner], "PUT", fmt.Sprintf("/v1/rules?operator=op%d", 1-winner), content(n, 1-winner), "")
		var problem struct {
			Winner struct{ Operator, Content string }
		}
		if err := json.Unmarshal(a.body, &problem); err != nil || problem.Winner.Operator != fmt.Sprintf("op%d", winner) || problem.Winner.Content != content(n, winner) {
			t.Errorf("number %d: got %s, want who won and with what", n, a.body)
		}
	}
	if got := d.do(entry1, "PUT", "/v1/rules?operator=test", rulesContent(1), "").status; got != 200 {
		t.Errorf("resend of an old file: got %d, want the first answer again", got)
	}
	if got := d.rulesInForce(entry1); got != 12 {
		t.Errorf("got rules %d in force, want 12", got)
	}
}
