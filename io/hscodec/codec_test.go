package hscodec_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hscodec"
)

func messages() []hsmessage.Message {
	spec := &hsstate.Spec{Workspace: "w", Kind: "k", Shape: hsshape.Shape{PerWorker: 2, Workers: 3}, Input: []byte{1}}
	return []hsmessage.Message{
		hsmessage.VoteRequest{Header: hsmessage.Header{Cluster: "c", From: 1, To: 2, Term: 3}, Pre: true, LastIndex: 9},
		hsmessage.AppendRequest{Entries: []hsstate.Entry{{Index: 1, Term: 2, Clock: time.Second, Command: hsstate.Command{Submit: &hsstate.SubmitJob{ID: "j", Spec: *spec}}}}},
		hsmessage.SnapshotChunk{LastIndex: 4, Data: []byte("x"), Members: []hsstate.Member{{ID: 1, Voter: true}}},
		hsmessage.AgentReport{Renewal: hsmessage.Renewal{Instance: "i", Sequence: 7}, Tasks: []hsmessage.Task{{Grant: hsid.Grant{Job: "j", Attempt: 1, Term: 2}, Phase: hsmessage.TaskDone, Answer: []byte("a")}}},
		hsmessage.Orders{Lease: hsmessage.Lease{Term: 3, Rules: &hsstate.RuleSet{Number: 5}}, Orders: []hsmessage.Order{{Phase: hsmessage.OrderRun, Spec: spec}}},
		hsmessage.Request{ID: "r", Query: &hsmessage.Query{Kind: hsmessage.QueryStatus}},
		hsmessage.Reply{ID: "r", Status: hsmessage.StatusDone, Job: &hsstate.JobResult{ID: "j"}},
	}
}

func TestMessages(t *testing.T) {
	for _, m := range messages() {
		data, err := hscodec.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := hscodec.DecodeMessage(data)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := hscodec.EncodeMessage(decoded)
		if err != nil || string(encoded) != string(data) {
			t.Errorf("%T: got %x %v, want %x", m, encoded, err, data)
		}
	}
}

func TestState(t *testing.T) {
	s := hsstate.New()
	s.Clock = time.Minute
	s.Jobs["j"] = &hsstate.Job{ID: "j", Phase: hsstate.Queued, Answer: []byte("x")}
	s.Queued["w"] = 3
	var codec hscodec.State
	decoded, err := codec.DecodeState(codec.EncodeState(s))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(*decoded.Jobs["j"], decoded.Queued, decoded.Clock), fmt.Sprint(*s.Jobs["j"], s.Queued, s.Clock); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if empty, err := codec.DecodeState(codec.EncodeState(hsstate.New())); err != nil || empty.Jobs == nil {
		t.Errorf("got %v %v, want an empty state with its maps", empty, err)
	}
}

// FuzzDecode checks that no data from a peer makes the decoder panic.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		data, err := hscodec.EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := hscodec.DecodeMessage(data)
		if (m == nil) != (err != nil) {
			t.Errorf("got %v and %v, want one of them", m, err)
		}
	})
}
