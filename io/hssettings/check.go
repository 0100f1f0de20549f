package hssettings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"hyssopseam/core/hsmessage"
)

// Bounds of settings.
const (
	minTime     = time.Millisecond
	maxTime     = 24 * time.Hour
	maxWeight   = 1000.0
	maxReplicas = 7
	maxName     = 64
	maxControls = 7
)

// checker collects the faults of a file.
type checker struct {
	lines  []string
	faults []error
}

// fault reports what is wrong with a key, on the line where it stands.
func (c *checker) fault(key, format string, args ...any) {
	where := ""
	if n := c.line(key); n > 0 {
		where = fmt.Sprintf("line %d: ", n)
	}
	c.faults = append(c.faults, fmt.Errorf("%s%s: %s", where, key, fmt.Sprintf(format, args...)))
}

// line returns the line of a key such as control.runLease, or 0.
func (c *checker) line(key string) int {
	table, name, nested := strings.Cut(key, ".")
	if !nested {
		table, name = "", key
	}
	current := ""
	for i, text := range c.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			current = strings.Trim(text, "[] ")
			continue
		}
		left, _, ok := strings.Cut(text, "=")
		if ok && current == table && strings.TrimSpace(left) == name {
			return i + 1
		}
	}
	return 0
}

func (c *checker) check(s *Settings) {
	c.spelling()
	c.name("instance", string(s.Instance))
	c.name("zone", string(s.Zone))
	c.roles(s)
	c.address("http", s.HTTP, true)
	c.address("link", string(s.Link), s.Holds(hsmessage.RoleControl))
	c.address("listen", string(s.Listen), false)
	c.controls(s)
	c.gateway(&s.Gateway)
	if s.Holds(hsmessage.RoleControl) == (s.DataFolder == "") {
		c.fault("dataFolder", "the control role needs a folder for its log, and no other role takes one")
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel) {
		c.fault("logLevel", "%q is none of debug, info, warn and error", s.LogLevel)
	}
	c.times(s)
	c.numbers(s)
	c.tls(s)
}

func (c *checker) name(key, name string) {
	if name == "" || len(name) > maxName || strings.ContainsAny(name, " /\t\n:") {
		c.fault(key, "%q is not a name of 1 to %d characters without spaces, slashes or colons", name, maxName)
	}
}

func (c *checker) roles(s *Settings) {
	known := []hsmessage.Role{hsmessage.RoleEntry, hsmessage.RoleControl, hsmessage.RoleAgent, hsmessage.RoleRunner}
	if len(s.Roles) == 0 {
		c.fault("roles", "it needs at least one of entry, control, agent and runner")
	}
	for i, r := range s.Roles {
		switch {
		case !slices.Contains(known, r):
			c.fault("roles", "%q is none of entry, control, agent and runner", r)
		case slices.Contains(s.Roles[:i], r):
			c.fault("roles", "%q stands twice", r)
		}
	}
}

// address checks an IP number with a port. Host names are refused.
func (c *checker) address(key, address string, needed bool) {
	if address == "" {
		if needed {
			c.fault(key, "it needs an IP number and a port, such as \"10.0.0.1:7100\"")
		}
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.fault(key, "%q is not an IP number and a port, such as \"10.0.0.1:7100\"", address)
		return
	}
	if a.Addr().IsUnspecified() {
		c.fault(key, "%q names no single address; give the IP number that others reach", address)
	}
}

// gateway checks the addresses of the other front end.
func (c *checker) gateway(g *Gateway) {
	addresses := []struct{ key, value string }{
		{"gateway.callers", g.Callers},
		{"gateway.readiness", g.Readiness},
		{"gateway.operators", g.Operators},
		{"gateway.announcements", g.Announcements},
		{"gateway.endpoint", g.Endpoint},
		{"gateway.advice", g.Advice},
		{"gateway.machines", g.Machines},
	}
	for _, a := range addresses {
		c.address(a.key, a.value, false)
	}
}

func (c *checker) controls(s *Settings) {
	if len(s.Controls) == 0 || len(s.Controls) > maxControls {
		c.fault("controls", "it needs the link addresses of 1 to %d control replicas", maxControls)
	}
	for i, a := range s.Controls {
		c.address("controls", string(a), true)
		if slices.Contains(s.Controls[:i], a) {
			c.fault("controls", "%q stands twice", a)
		}
	}
	if s.Holds(hsmessage.RoleControl) && s.Link != "" && len(s.Controls) > 0 && len(s.Seeds) == 0 && !slices.Contains(s.Controls, s.Link) {
		c.fault("controls", "the process's own link address %q isn't among them", s.Link)
	}
}

func (c *checker) times(s *Settings) {
	times := []struct {
		key   string
		value Duration
	}{
		{"drainDelay", s.DrainDelay},
		{"drainTimeout", s.DrainTimeout},
		{"control.heartbeat", s.Control.Heartbeat},
		{"control.election", s.Control.Election},
		{"control.rulesLease", s.Control.RulesLease},
		{"control.runLease", s.Control.RunLease},
		{"control.prepare", s.Control.Prepare},
		{"control.ageUrgent", s.Control.AgeUrgent},
		{"control.ageNormal", s.Control.AgeNormal},
		{"control.ageBatch", s.Control.AgeBatch},
		{"control.coolDown", s.Control.CoolDown},
		{"control.replaceAfter", s.Control.ReplaceAfter},
		{"control.foundBefore", s.Control.FoundBefore},
		{"work.hold", s.Work.Hold},
		{"work.stop", s.Work.Stop},
		{"work.interval", s.Work.Interval},
		{"work.holderLease", s.Work.HolderLease},
		{"work.upkeep", s.Work.Upkeep},
		{"agent.interval", s.Agent.Interval},
		{"agent.announce", s.Agent.Announce},
	}
	for _, t := range times {
		if d := time.Duration(t.value); d != 0 && (d < minTime || d > maxTime) {
			c.fault(t.key, "%s is not from %s to %s", d, minTime, maxTime)
		}
	}
	heartbeat, election := time.Duration(s.Control.Heartbeat), time.Duration(s.Control.Election)
	if heartbeat != 0 && election != 0 && 3*heartbeat > election {
		c.fault("control.election", "%s is less than three heartbeats of %s", election, heartbeat)
	}
}

func (c *checker) numbers(s *Settings) {
	if n := s.Control.Replicas; n < 0 || n > maxReplicas {
		c.fault("control.replicas", "%d is not from 1 to %d", n, maxReplicas)
	}
	if n := s.Control.Tolerate; n < 0 || 2*n+1 > maxReplicas {
		c.fault("control.tolerate", "%d losses aren't from 0 to %d", n, (maxReplicas-1)/2)
	}
	if f := s.Work.FarFactor; f != 0 && f < 1 {
		c.fault("work.farFactor", "%g is below 1", f)
	}
	if n := s.MemoryMB; n < 0 {
		c.fault("memoryMb", "%d is below zero", n)
	}
	if n := s.LinkPort; n < 0 || n > 65535 {
		c.fault("linkPort", "%d is no port", n)
	}
	if n := s.Control.SnapshotEvery; n < 0 {
		c.fault("control.snapshotEvery", "%d is below zero", n)
	}
	if n := s.Control.MaxBatch; n < 0 {
		c.fault("control.maxBatch", "%d is below zero", n)
	}
	c.weight("control.completionWeight", s.Control.CompletionWeight)
	c.weight("control.fragmentationWeight", s.Control.FragmentationWeight)
}

func (c *checker) weight(key string, w *float64) {
	if w != nil && !(*w >= 0 && *w <= maxWeight) {
		c.fault(key, "%v is not from 0 to %v", *w, maxWeight)
	}
}

func (c *checker) tls(s *Settings) {
	set := 0
	for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.fault("tls.certificate", "certificate, key and authority go together")
	}
}
