// Package hssettings reads and checks the TOML settings of a process.
//
// Unknown keys are refused, and so are host names, missing parts and impossible values. Every fault names
// the key, its line, and what would be right; all faults of a file are reported together.
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

// Duration is a time written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Settings are the settings of one process.
type Settings struct {
	Instance hsid.InstanceID  `toml:"instance"`
	Zone     hsid.ZoneID      `toml:"zone"`
	Roles    []hsmessage.Role `toml:"roles"`
	// Link is where other processes connect; only the control role needs it.
	Link hsstate.Peer `toml:"link"`
	// Listen is the address that Link leads to, when it is another one.
	Listen hsstate.Peer `toml:"listen"`
	// HTTP is where callers, operators and the endpoint connect.
	HTTP     string         `toml:"http"`
	Controls []hsstate.Peer `toml:"controls"`
	// Seeds are addresses of control processes that may stand in place of Controls; their ports are replaced
	// by LinkPort.
	Seeds    []string `toml:"seeds"`
	LinkPort int      `toml:"linkPort"`
	// Found has the control process at the first seed form the cluster when its data folder is empty.
	Found bool `toml:"found"`
	// MemoryMB is what the process may use in MiB; 0 for no limit.
	MemoryMB   int    `toml:"memoryMb"`
	DataFolder string `toml:"dataFolder"`
	LogLevel   string `toml:"logLevel"`
	// DrainDelay is how long a stopping process still takes requests after its health check fails.
	DrainDelay Duration `toml:"drainDelay"`
	// DrainTimeout bounds a graceful stop.
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
	Heartbeat           Duration `toml:"heartbeat"`
	Election            Duration `toml:"election"`
	RulesLease          Duration `toml:"rulesLease"`
	RunLease            Duration `toml:"runLease"`
	Prepare             Duration `toml:"prepare"`
	AgeUrgent           Duration `toml:"ageUrgent"`
	AgeNormal           Duration `toml:"ageNormal"`
	AgeBatch            Duration `toml:"ageBatch"`
	CoolDown            Duration `toml:"coolDown"`
	SnapshotEvery       int      `toml:"snapshotEvery"`
	// MaxBatch bounds the log entries of one save and one message; 1 switches batching off.
	MaxBatch int `toml:"maxBatch"`
	// Tolerate is the number of disks that may be lost at once; it sets Replicas to 2 * Tolerate + 1.
	Tolerate int `toml:"tolerate"`
	// ReplaceAfter is how long a replica may be silent before a waiting newcomer replaces it; 0 for never.
	ReplaceAfter Duration `toml:"replaceAfter"`
	// FoundBefore bounds how long after the founding catalogs and step jobs wait for all replicas.
	FoundBefore Duration `toml:"foundBefore"`
}

// Work holds the settings of step jobs; control and runners use the same.
type Work struct {
	// Hold is the longest lease that endpoints give; the run lease is a part of it.
	Hold Duration `toml:"hold"`
	// Stop is how long an endpoint takes to stop a run at most.
	Stop Duration `toml:"stop"`
	// FarFactor is how many times as long tasks take away from their rack; 0 for the default.
	FarFactor float64 `toml:"farFactor"`
	// Interval is the time between two tallies of a runner.
	Interval Duration `toml:"interval"`
	// HolderLease is how long a holder of orders about machines counts as such, and Upkeep how long one is down.
	HolderLease Duration `toml:"holderLease"`
	Upkeep      Duration `toml:"upkeep"`
}

// leaseShare is the part of Hold, in percent, that a run lease lasts. The rest is for clocks that drift and
// for the way of the messages.
const leaseShare = 80

// Lease returns the run lease; zero leaves it to the default.
func (w Work) Lease() time.Duration { return time.Duration(w.Hold) * leaseShare / 100 }

// Gateway holds the addresses of a front end beside the process's own interface; empty for none.
type Gateway struct {
	Callers       string `toml:"callers"`
	Readiness     string `toml:"readiness"`
	Operators     string `toml:"operators"`
	Announcements string `toml:"announcements"`
	// Endpoint is where the endpoint beside this process takes calls.
	Endpoint string `toml:"endpoint"`
	// Advice is where the policy service takes questions.
	Advice string `toml:"advice"`
	// Machines is where the platform takes orders about machines.
	Machines string `toml:"machines"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Interval Duration `toml:"interval"`
	Announce Duration `toml:"announce"`
}

// TLS names the files that protect links and HTTP; all empty for none. They are read again when they
// change.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether connections are protected.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Defaults of the settings.
const (
	DefaultDrainDelay   = time.Second
	DefaultDrainTimeout = 30 * time.Second
	DefaultWeight       = 1.0
)

// Holds reports whether the process holds a role.
func (s *Settings) Holds(r hsmessage.Role) bool {
	for _, x := range s.Roles {
		if x == r {
			return true
		}
	}
	return false
}

// Load reads and checks a file.
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

// Parse reads and checks the content of a file.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{
		DrainDelay:   Duration(DefaultDrainDelay),
		DrainTimeout: Duration(DefaultDrainTimeout),
	}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.expand()
	c := &checker{lines: strings.Split(string(data), "\n")}
	c.check(s)
	return s, errors.Join(c.faults...)
}

// expand fills in what follows from other settings.
func (s *Settings) expand() {
	if len(s.Controls) == 0 && s.LinkPort > 0 {
		for _, a := range s.Seeds {
			if host, _, err := net.SplitHostPort(a); err == nil {
				s.Controls = append(s.Controls, hsstate.Peer(net.JoinHostPort(host, strconv.Itoa(s.LinkPort))))
			}
		}
	}
	if s.Control.Tolerate > 0 {
		s.Control.Replicas = 2*s.Control.Tolerate + 1
	}
}

// Founder reports whether this process is to form the cluster.
func (s *Settings) Founder() bool {
	return s.Found && s.Holds(hsmessage.RoleControl) && len(s.Seeds) > 0 && len(s.Controls) > 0 && s.Link == s.Controls[0]
}

// decode reads the TOML and refuses unknown keys, all of them at once.
func decode(data []byte, s *Settings) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var faults []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			faults = append(faults, fmt.Errorf("line %d: %s is no setting", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(faults...)
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(wrong.Key(), "."), err)
	}
	return err
}
