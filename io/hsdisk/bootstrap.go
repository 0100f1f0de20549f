package hsdisk

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"hyssopseam/core/command/hsquorum"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsstate"
)

// ErrAlreadyBootstrapped is wrapped by the error that Bootstrap returns for a folder that already holds a log.
var ErrAlreadyBootstrapped = errors.New("hsdisk: the data folder already holds a control log")

// Bootstrap initializes a data folder as the first replica of a new cluster. The other replicas start with empty
// folders and join. For a folder that already belongs to a cluster it changes nothing and returns an error that wraps
// ErrAlreadyBootstrapped.
func Bootstrap(path string, instance hsid.InstanceID, address hsstate.Peer) (hsid.ReplicaID, error) {
	done := make(chan error, 1)
	d, c, err := Open(path, func(_ hsid.Sequence, err error) { done <- err })
	if err != nil {
		return 0, err
	}
	if len(c.Stored.Entries) > 0 || c.Stored.Snapshot.Index > 0 {
		_ = d.Close()
		return c.Replica, fmt.Errorf("%w: %s", ErrAlreadyBootstrapped, path)
	}
	first := hsstate.SetMembers{
		Cluster: hsid.ClusterID(fmt.Sprintf("%016x", rand.Uint64())),
		Members: []hsstate.Member{{ID: c.Replica, Instance: instance, Address: address, Voter: true}},
	}
	d.Save(hsquorum.Save{
		Number:    1,
		HardState: hsquorum.HardState{Term: 1},
		Entries:   []hsstate.Entry{{Index: 1, Term: 1, Command: hsstate.Command{Members: &first}}},
	})
	if err := <-done; err != nil {
		_ = d.Close()
		return c.Replica, err
	}
	return c.Replica, d.Close()
}
