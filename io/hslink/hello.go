package hslink

import (
	"fmt"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hscodec"
)

// Version is the version of the protocol between processes. Both ends must speak the same.
const Version = 1

// hello is the first frame on a connection, in both directions.
type hello struct {
	Protocol string
	Version  int
	Instance hsid.InstanceID
	Roles    []hsmessage.Role
}

const protocol = "hyssopseam"

func (c Config) hello() ([]byte, error) {
	return hscodec.Marshal(hello{Protocol: protocol, Version: Version, Instance: c.Instance, Roles: c.Roles})
}

// checkHello reads the first frame of a peer. A dialled peer must hold the control role.
func checkHello(payload []byte, dialled bool) (hello, error) {
	h, err := hscodec.UnmarshalPeer[hello](payload)
	switch {
	case err != nil:
		return h, fmt.Errorf("%w: the first frame is no hello: %w", ErrFrame, err)
	case h.Protocol != protocol:
		return h, fmt.Errorf("%w: the peer speaks %q", ErrFrame, h.Protocol)
	case h.Version != Version:
		return h, fmt.Errorf("%w: the peer has protocol version %d, this process %d", ErrFrame, h.Version, Version)
	case h.Instance == "":
		return h, fmt.Errorf("%w: the peer names no instance", ErrFrame)
	case dialled && !slices.Contains(h.Roles, hsmessage.RoleControl):
		return h, fmt.Errorf("%w: %s doesn't hold the control role", ErrFrame, h.Instance)
	}
	return h, nil
}
