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

func rules(n int) string { return fmt.Sprintf(rulesHead, n) + testRules }

// accepted pushes a file until it is accepted.
func (b *bed) accepted(host, n int) {
	b.t.Helper()
	b.await(fmt.Sprintf("rules %d accepted", n), func() bool {
		return b.ask(host, "PUT", "/v1/rules?operator=test", rules(n), "").status == 200
	})
}

// TestControlFailures plays failures of control replicas around accepted rule files; after each the number
// accepted last must be in force everywhere.
func TestControlFailures(t *testing.T) {
	tables := []struct {
		name string
		play func(b *bed) (last int)
	}{
		{"leader killed during a push", func(b *bed) int {
			leader := b.processes[fmt.Sprintf("control-%d", b.leader(entry1))]
			done := make(chan struct{})
			go func() {
				defer close(done)
				b.ask(entry2, "PUT", "/v1/rules?operator=test", rules(2), "")
			}()
			b.kill(leader)
			<-done
			b.accepted(entry1, 2)
			b.start(leader)
			return 2
		}},
		{"leader cut off silently for long, then back", func(b *bed) int {
			leader := b.leader(entry1)
			b.isolate(leader)
			for n := 2; n <= 6; n++ {
				b.accepted(entry1, n)
			}
			b.heal()
			return 6
		}},
		{"leader hears nobody, then is healed", func(b *bed) int {
			b.deafen(b.leader(entry1))
			b.accepted(entry1, 2)
			b.heal()
			return 2
		}},
		{"nobody hears the leader, then it is healed", func(b *bed) int {
			b.mute(b.leader(entry1))
			b.accepted(entry2, 2)
			b.heal()
			return 2
		}},
		{"every replica killed at once after an acknowledgement", func(b *bed) int {
			b.accepted(entry1, 2)
			for i := 1; i <= 3; i++ {
				b.kill(b.processes[fmt.Sprintf("control-%d", i)])
			}
			for i := 1; i <= 3; i++ {
				b.start(b.processes[fmt.Sprintf("control-%d", i)])
			}
			return 2
		}},
		{"connections of the leader go silent for good while new ones work", func(b *bed) int {
			b.proxies[fmt.Sprintf("control-%d", b.leader(entry1))].Silence()
			b.accepted(entry1, 2)
			return 2
		}},
		{"connections of all replicas are dropped, delayed differently, so that messages cross, and dropped again", func(b *bed) int {
			delay := time.Millisecond
			for _, p := range b.proxies {
				p.Drop()
				p.Delay(delay)
				delay *= 6
			}
			b.accepted(entry2, 2)
			for _, p := range b.proxies {
				p.Drop()
			}
			b.heal()
			return 2
		}},
		{"planned stop of the leader", func(b *bed) int {
			b.stop(b.processes[fmt.Sprintf("control-%d", b.leader(entry1))])
			b.accepted(entry1, 2)
			return 2
		}},
	}
	for i, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, 110+i, 3)
			b.cluster(2)
			b.worker(1, standin.Config{})
			b.push(entry1, 1)
			last := tt.play(b)
			for _, host := range []int{entry1, entry2} {
				b.await("last rules everywhere", func() bool {
					v, ok := view[hsview.Rules](b, host, fmt.Sprintf("/v1/rules?everywhere=%d&wait=1s", last))
					return ok && v.Everywhere && v.File.Number == hsid.RuleNumber(last) && v.File.Content == rules(last)
				})
			}
		})
	}
}

// TestReplacedDisk loses a disk, replaces the replica, and kills a second one straight after the repair.
func TestReplacedDisk(t *testing.T) {
	t.Parallel()
	b := newBed(t, 120, 3)
	b.extra = "snapshotEvery = 20\n"
	b.cluster(1)
	for n := 1; n <= 30; n++ {
		b.accepted(entry1, n)
	}
	lost := 0
	for _, i := range []int{1, 2, 3} {
		if i != b.leader(entry1) {
			lost = i
		}
	}
	name := fmt.Sprintf("control-%d", lost)
	b.kill(b.processes[name])
	if err := os.RemoveAll(b.data(lost)); err != nil {
		t.Fatal(err)
	}
	b.start(b.processes[name])
	var old, fresh hsid.ReplicaID
	b.await("newcomer seen", func() bool {
		v := b.members(entry1)
		for _, m := range v.Members {
			if string(m.Instance) == name {
				old = m.ID
			}
		}
		for _, m := range v.Newcomers {
			fresh = m.ID
		}
		return old != 0 && fresh != 0
	})
	if old == fresh {
		t.Fatalf("got replica %d again on an empty disk, want a new identifier", fresh)
	}
	body, _ := json.Marshal(map[string]any{"action": "replace", "old": old, "id": fresh})
	b.await("replacement taken", func() bool { return b.ask(entry1, "POST", "/v1/members", string(body), "").status == 204 })
	b.await("repair done", func() bool {
		v := b.members(entry1)
		return len(v.Members) == 3 && !v.Repairing && len(v.Newcomers) == 0
	})
	for _, i := range []int{1, 2, 3} {
		if i != lost && i != b.leader(entry1) {
			b.kill(b.processes[fmt.Sprintf("control-%d", i)])
		}
	}
	b.accepted(entry1, 31)
	b.await("rules kept", func() bool { return b.rulesOf(entry1) == 31 })
	a := b.ask(entry1, "GET", "/v1/rules/history?number=17", "", "")
	var files []hsview.RuleFile
	if err := json.Unmarshal(a.body, &files); err != nil || len(files) != 1 || files[0].Content != rules(17) {
		t.Errorf("got history %s, want the content of file 17", a.body)
	}
}

// TestAwayForLong has an entry and a replica miss 300 rule files.
func TestAwayForLong(t *testing.T) {
	t.Parallel()
	b := newBed(t, 121, 3)
	b.extra = "snapshotEvery = 50\n"
	b.cluster(2)
	b.push(entry1, 1)
	away := 0
	for i := 1; i <= 3; i++ {
		if i != b.leader(entry1) {
			away = i
		}
	}
	replica := b.processes[fmt.Sprintf("control-%d", away)]
	entry := b.processes["entry-2"]
	b.kill(replica)
	b.kill(entry)
	for n := 2; n <= 301; n++ {
		b.accepted(entry1, n)
	}
	b.start(entry)
	b.start(replica)
	b.await("replica caught up", func() bool {
		for _, m := range b.members(entry1).Members {
			if m.Instance == hsid.InstanceID(replica.name) {
				return m.Alive && m.CaughtUp
			}
		}
		return false
	})
	b.await("entry acts on the newest rules", func() bool { return b.ready(entry2) && b.rulesOf(entry2) == 301 })
}

// TestRacingOperators has two operators push different files under equal numbers through two entries,
// while answers are lost. For each number one wins, and each resend gets the same answer.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	b := newBed(t, 122, 3)
	b.cluster(2)
	b.push(entry1, 1)
	hosts := []int{entry1, entry2}
	content := func(n, who int) string { return rules(n) + fmt.Sprintf("once job=by%d # operator %d\n", who, who) }
	for n := 2; n <= 12; n++ {
		var wg sync.WaitGroup
		status := make([]int, 2)
		for who, host := range hosts {
			wg.Go(func() {
				path := fmt.Sprintf("/v1/rules?operator=op%d", who)
				// The first answer is lost: the caller gives up at once.
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n)*time.Millisecond)
				b.askFor(ctx, host, "PUT", path, content(n, who), "")
				cancel()
				for status[who] != 200 && status[who] != 409 {
					status[who] = b.ask(host, "PUT", path, content(n, who), "").status
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
		a := b.ask(hosts[1-winner], "PUT", fmt.Sprintf("/v1/rules?operator=op%d", 1-winner), content(n, 1-winner), "")
		var problem struct {
			Winner struct{ Operator, Content string }
		}
		if err := json.Unmarshal(a.body, &problem); err != nil || problem.Winner.Operator != fmt.Sprintf("op%d", winner) || problem.Winner.Content != content(n, winner) {
			t.Errorf("number %d: got %s, want who won and with what", n, a.body)
		}
	}
	if got := b.ask(entry1, "PUT", "/v1/rules?operator=test", rules(1), "").status; got != 200 {
		t.Errorf("resend of an old file: got %d, want the first answer again", got)
	}
	if got := b.rulesOf(entry1); got != 12 {
		t.Errorf("got rules %d in force, want 12", got)
	}
}
