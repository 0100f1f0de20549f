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
	// slow is how late each answer is. pageSize is the number of machines on a page of the list; 0 for no limit.
	slow     time.Duration
	pageSize int
	// mostDown is the largest number of machines that were down for their upkeep at the same time.
	mostDown int
}

type machine struct {
	id      string
	lives   int
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
	mux.HandleFunc(wire.ListMachines, p.list)
	mux.HandleFunc(wire.Upkeep, p.upkeep)
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

func (p *platform) list(out http.ResponseWriter, q *http.Request) {
	rows, next := p.page(q.URL.Query().Get("pageToken"))
	time.Sleep(p.slow)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": rows, "nextPageToken": next})
}

// page returns a page of the list, as of now, and the token of the next one.
func (p *platform) page(token string) (rows []map[string]any, next string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first, _ := strconv.Atoi(token)
	end := len(p.machines)
	if p.pageSize > 0 && first+p.pageSize < end {
		end = first + p.pageSize
		next = strconv.Itoa(end)
	}
	for _, m := range p.machines[first:end] {
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": "svc", "state": m.state(), "zone": "z1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 32000, "memMb": 131072, "gpu": 8}, "id": "i-" + m.id + "-" + strconv.Itoa(m.lives),
		})
	}
	p.record.add("platform: lists %d of %d machines", len(rows), len(p.machines))
	return rows, next
}

func (p *platform) upkeep(out http.ResponseWriter, q *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(q.Body).Decode(&body)
	fence, _ := strconv.ParseUint(q.Header.Get("Fencing-Token"), 10, 64)
	status, reason := p.beginUpkeep(body.Machine, body.Wave, fence)
	p.record.add("platform: upkeep of %s for wave %d by %s with fence %d: %d %s", body.Machine, body.Wave, q.Header.Get("Lease-Holder"), fence, status, reason)
	time.Sleep(p.slow)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"reason": reason})
}

// beginUpkeep takes a machine down for its upkeep, or says why not.
func (p *platform) beginUpkeep(id string, wave int, fence uint64) (int, string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := p.machines[i]
	switch {
	case fence < m.fence:
		return http.StatusConflict, "fence"
	case m.upkeeps[wave]:
		return http.StatusOK, ""
	case m.state() != "up":
		return http.StatusConflict, "busy"
	}
	m.fence = fence
	m.upkeeps[wave] = true
	m.backAt = time.Now().Add(upkeepTime)
	m.lives++
	down := 0
	for _, other := range p.machines {
		if other.state() != "up" {
			down++
		}
	}
	p.mostDown = max(p.mostDown, down)
	return http.StatusOK, ""
}
