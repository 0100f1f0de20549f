// Package hssettings loads and validates the TOML settings of a process.
//
// Unknown keys, host names in place of IP addresses, missing settings and invalid values are refused. Every fault names
// the key, its line and what is expected; all faults of a file are reported together.
//
//	instance   = "adum-1"
//	zone       = "adum"
//	roles      = ["control"]
//	link       = "127.10.1.1:7100"
//	http       = "127.10.1.1:8100"
//	controls   = ["127.10.1.1:7100", "127.10.2.1:7100", "127.10.3.1:7100"]
//	dataFolder = "data/adum-1"
//
// # Usage
//
//	s, err := hssettings.Load("adum-1.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err)
//	}
package hssettings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
)

// Duration is a duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Settings are the settings of one process.
type Settings struct {
	Instance hsid.InstanceID  `toml:"instance"`
	Zone     hsid.ZoneID      `toml:"zone"`
	Roles    []hsmessage.Role `toml:"roles"`
	// Link is the address that other processes connect to. It is required for the control role only.
	Link hsstate.Peer `toml:"link"`
	// Listen is the address to listen on for links when it differs from Link, such as behind address translation.
	Listen hsstate.Peer `toml:"listen"`
	// HTTP is the address that callers, operators and the endpoint connect to.
	HTTP     string         `toml:"http"`
	Controls []hsstate.Peer `toml:"controls"`
	// Seeds are addresses of control processes. When Controls is empty it is derived from them, with LinkPort in place
	// of their ports.
	Seeds    []string `toml:"seeds"`
	LinkPort int      `toml:"linkPort"`
	// FormCluster makes the control process at the first seed form the cluster when its data folder is empty.
	FormCluster bool `toml:"found"`
	// MemoryMB is the memory limit of the process in MiB; 0 for no limit.
	MemoryMB   int    `toml:"memoryMb"`
	DataFolder string `toml:"dataFolder"`
	LogLevel   string `toml:"logLevel"`
	// DrainDelay is how long a stopping process still accepts requests after its readiness check fails.
	DrainDelay Duration `toml:"drainDelay"`
	// DrainTimeout is the time limit of a graceful stop.
	DrainTimeout Duration `toml:"drainTimeout"`
	Control      Control  `toml:"control"`
	Agent        Agent    `toml:"agent"`
	Work         Work     `toml:"work"`
	Gateway      Gateway  `toml:"gateway"`
	TLS          TLS      `toml:"tls"`
}

// Control holds the settings of the control role. All replicas use the same.
type Control struct {
	Replicas            int      `toml:"replicas"`
	CompletionWeight    *float64 `toml:"completionWeight"`
	FragmentationWeight *float64 `toml:"fragmentationWeight"`
	HeartbeatInterval   Duration `toml:"heartbeat"`
	ElectionTimeout     Duration `toml:"election"`
	RulesLease          Duration `toml:"rulesLease"`
	RunLease            Duration `toml:"runLease"`
	PrepareTimeout      Duration `toml:"prepare"`
	AgeUrgent           Duration `toml:"ageUrgent"`
	AgeNormal           Duration `toml:"ageNormal"`
	AgeBatch            Duration `toml:"ageBatch"`
	PreemptionCoolDown  Duration `toml:"coolDown"`
	SnapshotEntries     int      `toml:"snapshotEvery"`
	// MaxBatch is the largest number of log entries in one save and one message; 1 disables batching.
	MaxBatch int `toml:"maxBatch"`
	// ToleratedFailures is the number of disks that may fail at the same time; if set, Replicas becomes 2 *
	// ToleratedFailures + 1.
	ToleratedFailures int `toml:"tolerate"`
	// ReplaceAfter is how long a replica may be silent before a replica waiting to join replaces it; 0 for never.
	ReplaceAfter Duration `toml:"replaceAfter"`
	// FormationTimeout is how long after the forming of the cluster catalogs and step jobs may wait for all replicas to
	// join.
	FormationTimeout Duration `toml:"foundBefore"`
	// Zones lists the availability zones that operators may evacuate; an empty list allows any name.
	Zones []hsid.ZoneID `toml:"zones"`
}

// Work holds the settings of step jobs; control and runners use the same.
type Work struct {
	// MaxLease is the longest lease that endpoints grant; the run lease is a share of it.
	MaxLease Duration `toml:"hold"`
	// StopTimeout is the longest time that an endpoint takes to stop a run.
	StopTimeout Duration `toml:"stop"`
	// OffRackSlowdown is the factor by which tasks take longer outside their rack; 0 for the default.
	OffRackSlowdown float64 `toml:"farFactor"`
	// Interval is the time between two reports of a runner.
	Interval Duration `toml:"interval"`
	// HolderLease is the lease of the control replica that issues machine orders. Upkeep is how long a machine is down
	// for maintenance.
	HolderLease Duration `toml:"holderLease"`
	Upkeep      Duration `toml:"upkeep"`
	// The optional parts of the scheduler; see hsdispatch.Features. All replicas use the same.
	Speeds         bool `toml:"speeds"`
	Stragglers     bool `toml:"stragglers"`
	Trust          bool `toml:"trust"`
	Shares         bool `toml:"shares"`
	Admission      bool `toml:"admission"`
	UrgentHeadroom bool `toml:"urgentRoom"`
	Costs          bool `toml:"costs"`
}

// leasePercent is the run lease as a percentage of MaxLease. The remainder allows for clock drift and network delay.
const leasePercent = 80

// Lease returns the run lease. It is zero, which stands for the default, when MaxLease isn't set.
func (w Work) Lease() time.Duration { return time.Duration(w.MaxLease) * leasePercent / 100 }

// Gateway holds the addresses of the gateway, a second front end beside the process's own HTTP interface. Parts with an
// empty address are off.
type Gateway struct {
	Callers       string `toml:"callers"`
	Readiness     string `toml:"readiness"`
	Operators     string `toml:"operators"`
	Announcements string `toml:"announcements"`
	// Endpoint is the address of the endpoint beside this process.
	Endpoint string `toml:"endpoint"`
	// Advice is the address of the policy service.
	Advice string `toml:"advice"`
	// Machines is the address at which the platform accepts machine orders.
	Machines string `toml:"machines"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Interval is the time between two reports of the agent; 0 for the default.
	Interval Duration `toml:"interval"`
	// AnnouncementTTL is how long an announcement of the endpoint is valid; 0 for the default.
	AnnouncementTTL Duration `toml:"announce"`
}

// TLS names the certificate, key and authority files for links and HTTP; all empty for plain connections. Certificate
// and key are read again when the certificate file changes.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether connections use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Defaults of the settings.
const (
	DefaultDrainDelay   = time.Second
	DefaultDrainTimeout = 30 * time.Second
	DefaultWeight       = 1.0
)

// HasRole reports whether the process holds a role.
func (s *Settings) HasRole(r hsmessage.Role) bool {
	for _, x := range s.Roles {
		if x == r {
			return true
		}
	}
	return false
}

// Load reads and validates a settings file. The error lists all faults with their lines.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("hssettings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("hssettings: %s:\n%w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the content of a settings file. The error lists all faults with their lines.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{
		DrainDelay:   Duration(DefaultDrainDelay),
		DrainTimeout: Duration(DefaultDrainTimeout),
	}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.applyDerived()
	c := &checker{lines: strings.Split(string(data), "\n")}
	c.checkAll(s)
	return s, errors.Join(c.faults...)
}

// applyDerived sets Controls from Seeds and LinkPort, and Control.Replicas from Control.ToleratedFailures.
func (s *Settings) applyDerived() {
	if len(s.Controls) == 0 && s.LinkPort > 0 {
		for _, a := range s.Seeds {
			if host, _, err := net.SplitHostPort(a); err == nil {
				s.Controls = append(s.Controls, hsstate.Peer(net.JoinHostPort(host, strconv.Itoa(s.LinkPort))))
			}
		}
	}
	if s.Control.ToleratedFailures > 0 {
		s.Control.Replicas = 2*s.Control.ToleratedFailures + 1
	}
}

// IsFounder reports whether this process is to form the cluster.
func (s *Settings) IsFounder() bool {
	return s.FormCluster && s.HasRole(hsmessage.RoleControl) && len(s.Seeds) > 0 && len(s.Controls) > 0 && s.Link == s.Controls[0]
}

// decode parses the TOML. Unknown keys are reported together in one error.
func decode(data []byte, s *Settings) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var faults []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			faults = append(faults, fmt.Errorf("line %d: unknown setting %s", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(faults...)
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(invalid.Key(), "."), err)
	}
	return err
}
