// Package hsserver serves the HTTP interface of a process: commands and queries if it holds the entry role, the
// endpoint's announcements if it holds the agent role, and in every process
//
//	GET /healthz  200 while the process runs
//	GET /readyz   200 while it accepts requests; 503 while it starts, stops or has no contact with the leader
//	GET /metrics  Prometheus metrics
//	GET /dump     the state of each role
//	GET /openapi  the OpenAPI document of the interface
//
// Reading the headers, reading the body and waiting for the next request each have a timeout, so that slow clients
// don't tie up resources for long.
//
// # Usage
//
//	s := hsserver.New(config, process, metrics, platform, logger)
//	err := s.Listen()
//	err = s.Shutdown(ctx)
package hsserver

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsview"
	"hyssopseam/io/command/hscommandapi"
	"hyssopseam/io/hsendpoint"
	"hyssopseam/io/hsjson"
	"hyssopseam/io/hsproblem"
	"hyssopseam/io/hsprocess"
	"hyssopseam/io/query/hsqueryapi"
)

const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes is the largest size of a request's headers.
	maxHeaderBytes = 16 << 10
)

// Config selects the address and the interfaces that are served. Without TLS, connections are plain HTTP.
type Config struct {
	Address string
	Entry   bool
	Agent   bool
	TLS     *tls.Config
}

// Process is what the handlers need from the running roles.
type Process interface {
	hscommandapi.Requester
	Snapshot() *hsprocess.Snapshot
	Dump(ctx context.Context) (hsview.Dump, error)
	Announce(w hsmessage.Worker) bool
}

// AddressSetter receives the address at which the endpoint accepts tasks.
type AddressSetter interface {
	SetAddress(address string)
}

// Server is the HTTP server of one process.
type Server struct {
	config   Config
	process  Process
	platform AddressSetter
	log      *slog.Logger
	server   *http.Server
	stopping atomic.Bool
}

// New returns a server that doesn't listen yet. Platform may be nil without the agent role.
func New(c Config, p Process, metrics http.Handler, platform AddressSetter, log *slog.Logger) *Server {
	s := &Server{config: c, process: p, platform: platform, log: log}
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.ServiceErrorHandler(writeRoutingError)
	if c.Entry {
		ws := new(restful.WebService).Path("/v1").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
		hscommandapi.New(p).Register(ws)
		hsqueryapi.New(p).Register(ws)
		container.Add(ws)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", container)
	if c.Agent {
		mux.HandleFunc("PUT /v1/endpoint", s.handleAnnounce)
	}
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /dump", s.handleDump)
	mux.HandleFunc("GET /openapi", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, describeServices(container.RegisteredWebServices()))
	})
	s.server = &http.Server{
		Handler:           limitBodyTime(mux),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         c.TLS,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// deadlineBody clears a connection's read deadline once the body was read, so that the deadline doesn't interrupt the
// wait for the response.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body and clears the deadline at its end.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// limitBodyTime sets a read deadline of readBodyTimeout for requests with a body.
func limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// writeRoutingError answers requests that match no route.
func writeRoutingError(err restful.ServiceError, _ *restful.Request, response *restful.Response) {
	outcome := hsproblem.BadRequest
	if err.Code == http.StatusNotFound {
		outcome = hsproblem.NotFound
	}
	hsproblem.Write(response, hsproblem.New(err.Code, outcome, err.Message))
}

// Listen opens the listener and serves on a new goroutine.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("hsserver: listen on %s: %w", s.config.Address, err)
	}
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server stopped unexpectedly", "error", err)
		}
	}()
	return nil
}

// MarkUnready makes the readiness check fail, so that the load balancer sends requests elsewhere. It is safe for
// concurrent use.
func (s *Server) MarkUnready() { s.stopping.Store(true) }

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("hsserver: %w", err)
	}
	return nil
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, healthBody{Status: "running"})
}

// healthBody is the response body of the health and readiness checks.
type healthBody struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	switch p := s.process.Snapshot(); {
	case s.stopping.Load():
		reason = "the process is stopping"
	case !p.HasRulesLease && (s.config.Entry || s.config.Agent):
		reason = "the process holds no rules lease"
	case !p.HasRulesLease:
		reason = "the replica knows no leader"
	}
	if reason != "" {
		w.Header().Set("Content-Type", restful.MIME_JSON)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(healthBody{Status: "not ready", Reason: reason})
		return
	}
	writeJSON(w, healthBody{Status: "ready"})
}

func (s *Server) handleDump(w http.ResponseWriter, r *http.Request) {
	d, err := s.process.Dump(r.Context())
	if err != nil {
		hsproblem.Write(w, hsproblem.New(http.StatusServiceUnavailable, hsproblem.Unknown, err.Error()))
		return
	}
	data, err := hsjson.Marshal(d)
	if err != nil {
		hsproblem.Write(w, hsproblem.New(http.StatusInternalServerError, hsproblem.Unknown, err.Error()))
		return
	}
	w.Header().Set("Content-Type", restful.MIME_JSON)
	_, _ = w.Write(data)
}

// handleAnnounce accepts an announcement from the endpoint.
func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a hsendpoint.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(hsendpoint.MaxBody)))
	if err := d.Decode(&a); err != nil {
		hsproblem.Write(w, hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, err.Error()))
		return
	}
	worker, err := a.Worker()
	if err != nil {
		hsproblem.Write(w, hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, err.Error()))
		return
	}
	s.platform.SetAddress(a.Address)
	if !s.process.Announce(worker) {
		p := hsproblem.New(http.StatusServiceUnavailable, hsproblem.NotRun, "the process has too many inputs waiting")
		p.RetryAfter = time.Second
		hsproblem.Write(w, p)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", restful.MIME_JSON)
	_ = json.NewEncoder(w).Encode(v)
}
