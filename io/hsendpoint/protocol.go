// Package hsendpoint defines the HTTP protocol between an agent and its endpoint.
//
// The endpoint announces itself to the agent with PUT /v1/endpoint, repeatedly while it runs, and with leaving set once
// it accepts no new tasks. The agent manages tasks on the endpoint:
//
//	GET    /tasks?agent=N           list the tasks; from now on, refuse starts from agents that listed before agent N
//	POST   /tasks/JOB/ATTEMPT/TERM  start a task; idempotent
//	GET    /tasks/JOB/ATTEMPT/TERM  wait for its end, at most ?wait=T
//	POST   /tasks/JOB/ATTEMPT/TERM/stop  checkpoint and stop it
//	DELETE /tasks/JOB/ATTEMPT/TERM  forget it, once its answer is collected
//
//	PUT    /lease?millis=N          let the tasks run for N milliseconds from now
//
// An endpoint keeps ended tasks until it is told to forget them. When the lease expires it stops every task that may
// run again, since control may start it elsewhere. Tasks that must not run twice keep running.
//
// # Usage
//
//	path := hsendpoint.TaskPath(grant)
//	grant, err := hsendpoint.ParseGrant(job, attempt, term)
package hsendpoint

import (
	"fmt"
	"net"
	"net/url"
	"strconv"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
)

// MaxBody is the largest size of a request or response body of this protocol.
const MaxBody = 4 * hsid.MiB

// Limits of an announcement, far beyond any machine; sums over a fleet don't overflow.
const (
	maxMilliCores = 1e9
	maxMemory     = 1 << 50
	// maxName limits names in bytes, as they are sent with every report.
	maxName = 256
)

// Announcement is the body of PUT /v1/endpoint.
type Announcement struct {
	// Endpoint distinguishes one start of the endpoint from the next. It must not be zero.
	Endpoint hsid.Incarnation `json:"endpoint"`
	// Address is the IP:port at which the endpoint accepts tasks.
	Address string      `json:"address"`
	Zone    hsid.ZoneID `json:"zone"`
	Rack    hsid.RackID `json:"rack"`
	// Groups are disjoint sets of adjacent accelerators.
	Groups      []hsshape.Group `json:"groups"`
	MilliCores  hsid.MilliCores `json:"milliCores"`
	MemoryBytes hsid.Bytes      `json:"memoryBytes"`
	// Slots is the largest number of tasks that run at the same time; zero for no limit.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Worker validates the announcement and returns the worker that it describes.
func (a *Announcement) Worker() (hsmessage.Worker, error) {
	w := hsmessage.Worker{
		Zone:     a.Zone,
		Rack:     a.Rack,
		Endpoint: a.Endpoint,
		Groups:   a.Groups,
		Cores:    a.MilliCores,
		Memory:   a.MemoryBytes,
		Slots:    a.Slots,
		Leaving:  a.Leaving,
	}
	if a.Endpoint == 0 || a.Rack == "" || a.MilliCores < 0 || a.MemoryBytes < 0 || a.Slots < 0 {
		return w, fmt.Errorf("hsendpoint: endpoint and rack are required, and sizes must not be negative")
	}
	if a.MilliCores > maxMilliCores || a.MemoryBytes > maxMemory || len(a.Rack) > maxName || len(a.Zone) > maxName {
		return w, fmt.Errorf("hsendpoint: at most %d thousandths of a core, %d bytes of memory and names of %d bytes are possible", hsid.MilliCores(maxMilliCores), hsid.Bytes(maxMemory), maxName)
	}
	if err := checkAddress(a.Address); err != nil {
		return w, err
	}
	seen := map[hsid.AcceleratorIndex]bool{}
	for _, g := range a.Groups {
		for i, x := range g {
			if x < 0 || hsid.Accelerators(x) >= hsshape.MaxPerWorker || seen[x] || i > 0 && g[i-1] >= x {
				return w, fmt.Errorf("hsendpoint: groups must be ascending, disjoint and below %d", hsshape.MaxPerWorker)
			}
			seen[x] = true
		}
	}
	return w, nil
}

// checkAddress returns an error unless an address has a host and a port that can be connected to.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("hsendpoint: address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("hsendpoint: address: %.100q has no host or no valid port", address)
	}
	return nil
}

// StartBody is the body of a start request.
type StartBody struct {
	Agent        hsid.Incarnation `json:"agent"`
	Rank         int              `json:"rank"`
	Size         int              `json:"size"`
	Accelerators hsshape.Set      `json:"accelerators"`
	AtMostOnce   bool             `json:"once"`
	// LeaseMillis renews the lease of all tasks, in milliseconds from now; zero leaves it unchanged.
	LeaseMillis int64            `json:"leaseMillis"`
	Workspace   hsid.WorkspaceID `json:"workspace"`
	Kind        hsid.JobKind     `json:"kind"`
	Input       []byte           `json:"input"`
}

// TaskBody describes a task. Outcome is empty while it runs.
type TaskBody struct {
	Job          hsid.JobID          `json:"job"`
	Attempt      hsid.Attempt        `json:"attempt"`
	Term         hsid.Term           `json:"term"`
	Accelerators hsshape.Set         `json:"accelerators"`
	AtMostOnce   bool                `json:"once"`
	Outcome      hsmessage.TaskPhase `json:"outcome"`
	Reason       string              `json:"reason"`
	Answer       []byte              `json:"answer"`
	// Checksum is the SHA-256 checksum of the answer in hexadecimal digits.
	Checksum string `json:"sum"`
}

// Grant returns the grant that the task runs under.
func (t *TaskBody) Grant() hsid.Grant {
	return hsid.Grant{Job: t.Job, Attempt: t.Attempt, Term: t.Term}
}

// TaskPath returns the path of a task.
func TaskPath(g hsid.Grant) string {
	return fmt.Sprintf("/tasks/%s/%d/%d", url.PathEscape(string(g.Job)), g.Attempt, g.Term)
}

// ParseGrant parses the three parts of a task's path.
func ParseGrant(job, attempt, term string) (hsid.Grant, error) {
	a, err := strconv.ParseUint(attempt, 10, 32)
	if err != nil {
		return hsid.Grant{}, fmt.Errorf("hsendpoint: attempt: %w", err)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return hsid.Grant{}, fmt.Errorf("hsendpoint: term: %w", err)
	}
	return hsid.Grant{Job: hsid.JobID(job), Attempt: hsid.Attempt(a), Term: hsid.Term(t)}, nil
}
