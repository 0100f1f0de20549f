package hssettings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"hyssopseam/core/hsmessage"
)

// Limits of settings.
const (
	minDuration   = time.Millisecond
	maxDuration   = 24 * time.Hour
	maxWeight     = 1000.0
	maxReplicas   = 7
	maxNameLength = 64
	maxControls   = 7
)

// checker collects all faults of a settings file.
type checker struct {
	lines  []string
	faults []error
}

// addFault records what is wrong with a key, with the line that sets it, if any.
func (c *checker) addFault(key, format string, args ...any) {
	position := ""
	if n := c.lineOf(key); n > 0 {
		position = fmt.Sprintf("line %d: ", n)
	}
	c.faults = append(c.faults, fmt.Errorf("%s%s: %s", position, key, fmt.Sprintf(format, args...)))
}

// lineOf returns the number of the line that sets a key such as control.runLease, or 0 if no line does.
func (c *checker) lineOf(key string) int {
	table, name, nested := strings.Cut(key, ".")
	if !nested {
		table, name = "", key
	}
	currentTable := ""
	for i, text := range c.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			currentTable = strings.Trim(text, "[] ")
			continue
		}
		left, _, ok := strings.Cut(text, "=")
		if ok && currentTable == table && strings.TrimSpace(left) == name {
			return i + 1
		}
	}
	return 0
}

func (c *checker) checkAll(s *Settings) {
	c.checkCase()
	c.checkName("instance", string(s.Instance))
	c.checkName("zone", string(s.Zone))
	c.checkRoles(s)
	c.checkAddress("http", s.HTTP, true)
	c.checkAddress("link", string(s.Link), s.HasRole(hsmessage.RoleControl))
	c.checkAddress("listen", string(s.Listen), false)
	c.checkControls(s)
	c.checkGateway(&s.Gateway)
	if s.HasRole(hsmessage.RoleControl) == (s.DataFolder == "") {
		c.addFault("dataFolder", "the control role requires a folder for its log, and other roles must not set one")
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel) {
		c.addFault("logLevel", "%q is not one of debug, info, warn and error", s.LogLevel)
	}
	c.checkDurations(s)
	c.checkNumbers(s)
	c.checkTLS(s)
}

func (c *checker) checkName(key, name string) {
	if name == "" || len(name) > maxNameLength || strings.ContainsAny(name, " /\t\n:") {
		c.addFault(key, "%q is not a name of 1 to %d characters without spaces, slashes or colons", name, maxNameLength)
	}
}

func (c *checker) checkRoles(s *Settings) {
	known := []hsmessage.Role{hsmessage.RoleEntry, hsmessage.RoleControl, hsmessage.RoleAgent, hsmessage.RoleRunner}
	if len(s.Roles) == 0 {
		c.addFault("roles", "at least one of entry, control, agent and runner is required")
	}
	for i, r := range s.Roles {
		switch {
		case !slices.Contains(known, r):
			c.addFault("roles", "%q is not one of entry, control, agent and runner", r)
		case slices.Contains(s.Roles[:i], r):
			c.addFault("roles", "%q is listed twice", r)
		}
	}
}

// checkAddress checks an IP address with a port. Host names are refused.
func (c *checker) checkAddress(key, address string, required bool) {
	if address == "" {
		if required {
			c.addFault(key, "an IP address and a port are required, such as \"10.0.0.1:7100\"")
		}
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.addFault(key, "%q is not an IP address and a port, such as \"10.0.0.1:7100\"", address)
		return
	}
	if a.Addr().IsUnspecified() {
		c.addFault(key, "%q is not a specific address; use an IP address that other processes can reach", address)
	}
}

// checkGateway checks the addresses of the gateway's listeners and services. All are optional.
func (c *checker) checkGateway(g *Gateway) {
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
		c.checkAddress(a.key, a.value, false)
	}
}

func (c *checker) checkControls(s *Settings) {
	if len(s.Controls) == 0 || len(s.Controls) > maxControls {
		c.addFault("controls", "the link addresses of 1 to %d control replicas are required", maxControls)
	}
	for i, a := range s.Controls {
		c.checkAddress("controls", string(a), true)
		if slices.Contains(s.Controls[:i], a) {
			c.addFault("controls", "%q is listed twice", a)
		}
	}
	if s.HasRole(hsmessage.RoleControl) && s.Link != "" && len(s.Controls) > 0 && len(s.Seeds) == 0 && !slices.Contains(s.Controls, s.Link) {
		c.addFault("controls", "the process's own link address %q is missing", s.Link)
	}
}

func (c *checker) checkDurations(s *Settings) {
	durations := []struct {
		key   string
		value Duration
	}{
		{"drainDelay", s.DrainDelay},
		{"drainTimeout", s.DrainTimeout},
		{"control.heartbeat", s.Control.HeartbeatInterval},
		{"control.election", s.Control.ElectionTimeout},
		{"control.rulesLease", s.Control.RulesLease},
		{"control.runLease", s.Control.RunLease},
		{"control.prepare", s.Control.PrepareTimeout},
		{"control.ageUrgent", s.Control.AgeUrgent},
		{"control.ageNormal", s.Control.AgeNormal},
		{"control.ageBatch", s.Control.AgeBatch},
		{"control.coolDown", s.Control.PreemptionCoolDown},
		{"control.replaceAfter", s.Control.ReplaceAfter},
		{"control.foundBefore", s.Control.FormationTimeout},
		{"work.hold", s.Work.MaxLease},
		{"work.stop", s.Work.StopTimeout},
		{"work.interval", s.Work.Interval},
		{"work.holderLease", s.Work.HolderLease},
		{"work.upkeep", s.Work.Upkeep},
		{"agent.interval", s.Agent.Interval},
		{"agent.announce", s.Agent.AnnouncementTTL},
	}
	for _, t := range durations {
		if d := time.Duration(t.value); d != 0 && (d < minDuration || d > maxDuration) {
			c.addFault(t.key, "%s is outside the range from %s to %s", d, minDuration, maxDuration)
		}
	}
	heartbeat, election := time.Duration(s.Control.HeartbeatInterval), time.Duration(s.Control.ElectionTimeout)
	if heartbeat != 0 && election != 0 && 3*heartbeat > election {
		c.addFault("control.election", "%s is less than three heartbeats of %s", election, heartbeat)
	}
}

func (c *checker) checkNumbers(s *Settings) {
	if n := s.Control.Replicas; n < 0 || n > maxReplicas {
		c.addFault("control.replicas", "%d is outside the range from 1 to %d", n, maxReplicas)
	}
	if n := s.Control.ToleratedFailures; n < 0 || 2*n+1 > maxReplicas {
		c.addFault("control.tolerate", "%d is outside the range from 0 to %d", n, (maxReplicas-1)/2)
	}
	if f := s.Work.OffRackSlowdown; f != 0 && f < 1 {
		c.addFault("work.farFactor", "%g is below 1", f)
	}
	if n := s.MemoryMB; n < 0 {
		c.addFault("memoryMb", "%d is below zero", n)
	}
	if n := s.LinkPort; n < 0 || n > 65535 {
		c.addFault("linkPort", "%d is not a port number", n)
	}
	if n := s.Control.SnapshotEntries; n < 0 {
		c.addFault("control.snapshotEvery", "%d is below zero", n)
	}
	if n := s.Control.MaxBatch; n < 0 {
		c.addFault("control.maxBatch", "%d is below zero", n)
	}
	c.checkWeight("control.completionWeight", s.Control.CompletionWeight)
	c.checkWeight("control.fragmentationWeight", s.Control.FragmentationWeight)
}

func (c *checker) checkWeight(key string, w *float64) {
	if w != nil && !(*w >= 0 && *w <= maxWeight) {
		c.addFault(key, "%v is outside the range from 0 to %v", *w, maxWeight)
	}
}

func (c *checker) checkTLS(s *Settings) {
	set := 0
	for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.addFault("tls.certificate", "certificate, key and authority must be set together")
	}
}
