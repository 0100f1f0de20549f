package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is the site's maintenanceS.
const upkeepTime = 2 * time.Second

// platform is the platform's interface to machines. Its machines don't run anything.
type platform struct {
	record *record
	server *http.Server

	mutex    sync.Mutex
	machines []*machine
}

type machine struct {
	id      string
	worker  string
	lives   int
	upUntil time.Time
	upkeeps map[int]bool
	fence   uint64
	// backAt is when the upkeep in progress ends.
	backAt time.Time
}

func startPlatform(address string, r *record) (*platform, error) {
	p := &platform{record: r}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", p.list)
	mux.HandleFunc("POST /v1/machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

// join adds a machine that is up, with an empty worker.
func (p *platform) join(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = append(p.machines, &machine{id: id, upkeeps: map[int]bool{}})
	p.record.add("platform: machine %s joins", id)
}

// upkeepsOf returns how many upkeeps of a machine have begun.
func (p *platform) upkeepsOf(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.id == id })
	return len(p.machines[i].upkeeps)
}

func (m *machine) state() string {
	if time.Now().Before(m.backAt) {
		return "upkeep"
	}
	return "up"
}

func (p *platform) list(out http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": "svc", "state": m.state(), "zone": "z1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 32000, "memMb": 131072, "gpu": 8}, "id": "i-" + m.id + "-" + strconv.Itoa(m.lives),
		})
	}
	p.record.add("platform: lists %d machines", len(rows))
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": rows, "nextPageToken": ""})
}

func (p *platform) upkeep(out http.ResponseWriter, q *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(q.Body).Decode(&body)
	fence, _ := strconv.ParseUint(q.Header.Get("Fencing-Token"), 10, 64)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	status, reason := http.StatusOK, ""
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.id == body.Machine })
	switch {
	case i < 0:
		status = http.StatusBadRequest
	case fence < p.machines[i].fence:
		status, reason = http.StatusConflict, "fence"
	case p.machines[i].upkeeps[body.Wave]:
	case p.machines[i].state() != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		m := p.machines[i]
		m.fence = fence
		m.upkeeps[body.Wave] = true
		m.backAt = time.Now().Add(upkeepTime)
		m.lives++
	}
	p.record.add("platform: upkeep of %s for wave %d by %s with fence %d: %d %s", body.Machine, body.Wave, q.Header.Get("Lease-Holder"), fence, status, reason)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"reason": reason})
}
