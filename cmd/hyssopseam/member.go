package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsview"
	"hyssopseam/io/hsjson"
)

// membershipChange is the request body that changes the control replicas.
type membershipChange struct {
	Action string         `json:"action"`
	ID     hsid.ReplicaID `json:"id"`
	Old    hsid.ReplicaID `json:"old,omitempty"`
}

func (t *tool) membersCommand() *ffcli.Command {
	list := t.viewCommand("list", "the control replicas", "/v1/members", t.printMembers)
	list.ShortUsage = "hyssopseam members list"
	return group("members", "list and change the control replicas",
		list,
		t.membersChangeCommand("add", "add REPLICA", "add a replica that waits to join", 1),
		t.membersChangeCommand("remove", "remove REPLICA", "remove a replica", 1),
		t.membersChangeCommand("replace", "replace OLD NEW", "replace a lost replica by one that waits to join", 2))
}

func (t *tool) printMembers(data []byte) error {
	var v hsview.Members
	if err := hsjson.Unmarshal(data, &v); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "cluster %s, committed up to %d, repairing %v\n", v.Cluster, v.Commit, v.Repairing)
	x := t.table("REPLICA", "INSTANCE", "ADDRESS", "PART", "ALIVE", "CAUGHT UP", "REPLACES")
	for _, m := range append(v.Members, v.Newcomers...) {
		x.row(fmt.Sprint(m.ID), string(m.Instance), m.Address, m.Part, fmt.Sprint(m.Alive), fmt.Sprint(m.CaughtUp), fmt.Sprint(m.Replaces))
	}
	x.flush()
	return nil
}

func (t *tool) membersChangeCommand(action, usage, help string, count int) *ffcli.Command {
	fs := t.flags(action)
	c := newClient(fs)
	return &ffcli.Command{
		Name: action, ShortUsage: "hyssopseam members " + usage, ShortHelp: help,
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != count {
				return usagef("usage: hyssopseam members %s", usage)
			}
			ids := make([]hsid.ReplicaID, count)
			for i, text := range args {
				n, err := strconv.ParseUint(text, 10, 64)
				if err != nil {
					return usagef("%q is not a replica number", text)
				}
				ids[i] = hsid.ReplicaID(n)
			}
			m := membershipChange{Action: action, ID: ids[count-1]}
			if count == 2 {
				m.Old = ids[0]
			}
			body, err := json.Marshal(m)
			if err != nil {
				return err
			}
			_, err = c.do(ctx, call{method: http.MethodPost, path: "/v1/members", body: body, contentType: "application/json"})
			return err
		},
	}
}
