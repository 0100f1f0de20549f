package hslink

import (
	"fmt"
	"slices"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hscodec"
)

// Version is the version of the protocol between processes. Both ends must use the same.
const Version = 1

// hello is the first frame on a connection, in both directions.
type hello struct {
	Protocol string
	Version  int
	Instance hsid.InstanceID
	Roles    []hsmessage.Role
}

const protocolName = "hyssopseam"

func (c Config) hello() ([]byte, error) {
	return hscodec.Marshal(hello{Protocol: protocolName, Version: Version, Instance: c.Instance, Roles: c.Roles})
}

// checkHello decodes and validates the first frame from a peer. The peer at the end of an outgoing connection must
// hold the control role.
func checkHello(payload []byte, outgoing bool) (hello, error) {
	h, err := hscodec.UnmarshalUntrusted[hello](payload)
	switch {
	case err != nil:
		return h, fmt.Errorf("%w: the first frame isn't a hello: %w", ErrFrame, err)
	case h.Protocol != protocolName:
		return h, fmt.Errorf("%w: the peer uses protocol %q", ErrFrame, h.Protocol)
	case h.Version != Version:
		return h, fmt.Errorf("%w: the peer uses protocol version %d, this process %d", ErrFrame, h.Version, Version)
	case h.Instance == "":
		return h, fmt.Errorf("%w: the peer sent no instance", ErrFrame)
	case outgoing && !slices.Contains(h.Roles, hsmessage.RoleControl):
		return h, fmt.Errorf("%w: %s doesn't hold the control role", ErrFrame, h.Instance)
	}
	return h, nil
}
