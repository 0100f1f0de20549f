package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"hyssopseam/io/hsjson"
	"hyssopseam/io/hsproblem"
)

const (
	defaultServer = "127.0.0.1:8100"
	// dialTime bounds how long a server may take to accept a connection.
	dialTime = 3 * time.Second
	// answerTime bounds the wait for an answer beyond what was asked to wait.
	answerTime = 15 * time.Second
	maxAnswer  = 64 << 20
)

// servers is a flag that may be repeated.
type servers []string

// String returns the servers.
func (s *servers) String() string { return strings.Join(*s, ",") }

// Set adds servers; commas separate several.
func (s *servers) Set(text string) error {
	*s = append(*s, strings.Split(text, ",")...)
	return nil
}

// client talks to the entry instances.
type client struct {
	servers   servers
	json      bool
	authority string
	http      *http.Client
}

// serverOptions reads the flags from the environment too, such as HYSSOPSEAM_SERVER.
func serverOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("HYSSOPSEAM")} }

// newClient returns a client whose flags are registered.
func newClient(fs *flag.FlagSet) *client {
	c := &client{}
	fs.Var(&c.servers, "server", "IP:port of an entry; may be repeated (default "+defaultServer+")")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	fs.StringVar(&c.authority, "authority", "", "certificate authority file; connects with TLS")
	return c
}

func (c *client) connect() error {
	if len(c.servers) == 0 {
		c.servers = servers{defaultServer}
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTime}).DialContext}
	if c.authority != "" {
		data, err := os.ReadFile(c.authority)
		if err != nil {
			return usagef("%v", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return usagef("%s holds no certificate", c.authority)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport}
	return nil
}

// call is one request.
type call struct {
	method string
	path   string
	body   []byte
	kind   string
	key    string
	// wait is how long the server was asked to wait.
	wait time.Duration
}

// do sends a call to one server after the other until one answers. All calls may be repeated: a
// submission carries a key.
func (c *client) do(ctx context.Context, q call) ([]byte, error) {
	if c.http == nil {
		if err := c.connect(); err != nil {
			return nil, err
		}
	}
	var failures []error
	sent := false
	for _, s := range c.servers {
		data, err := c.try(ctx, s, q)
		var exit *exitError
		if err == nil || errors.As(err, &exit) && exit.code != exitNotRun {
			return data, err
		}
		var refused *net.OpError
		sent = sent || !(errors.As(err, &refused) && refused.Op == "dial")
		failures = append(failures, err)
	}
	return nil, conclude(failures, sent && q.method != http.MethodGet)
}

// conclude sums up why no server did what was asked. When a server may have done it the outcome is
// unknown; when the last refused it as not run, it wasn't run.
func conclude(failures []error, sent bool) error {
	var exit *exitError
	if errors.As(failures[len(failures)-1], &exit) {
		return exit
	}
	err := errors.Join(failures...)
	if sent {
		return &exitError{code: exitUnknown, text: "no server answered; the request may have taken effect: " + err.Error()}
	}
	return err
}

func (c *client) try(ctx context.Context, server string, q call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait+answerTime)
	defer cancel()
	scheme := "http://"
	if c.authority != "" {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, q.method, scheme+server+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, usagef("%v", err)
	}
	if q.kind != "" {
		request.Header.Set("Content-Type", q.kind)
	}
	if q.key != "" {
		request.Header.Set("Idempotency-Key", q.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, problemError(server, response, data)
	}
	return data, nil
}

// problemError turns a problem into the exit code of its outcome.
func problemError(server string, response *http.Response, data []byte) error {
	var p hsproblem.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		return fmt.Errorf("%s answered %s", server, response.Status)
	}
	text := fmt.Sprintf("%s: %s", p.Outcome, p.Detail)
	for _, f := range p.Faults {
		text += fmt.Sprintf("\n  line %d, column %d: %s", f.Line, f.Column, f.Text)
	}
	if p.Winner != nil && p.Winner.Operator != "" {
		text += fmt.Sprintf("\n  number %d was pushed by %s; number %d is in force; its content:\n%s", p.Winner.Number, p.Winner.Operator, p.Winner.InForce, p.Winner.Content)
	} else if p.Winner != nil {
		text += fmt.Sprintf("\n  number %d is in force", p.Winner.InForce)
	}
	if after := response.Header.Get("Retry-After"); after != "" {
		text += fmt.Sprintf("\n  try again after %s s", after)
	}
	codes := map[hsproblem.Outcome]int{
		hsproblem.BadRequest: exitUsage,
		hsproblem.Missing:    exitFailure,
		hsproblem.Conflict:   exitConflict,
		hsproblem.NotRun:     exitNotRun,
		hsproblem.Unknown:    exitUnknown,
	}
	return &exitError{code: codes[p.Outcome], text: text}
}

// get fetches a view of type T, and the JSON that it came as.
func get[T any](ctx context.Context, c *client, path string, wait time.Duration) (T, []byte, error) {
	var v T
	data, err := c.do(ctx, call{method: http.MethodGet, path: path, wait: wait})
	if err != nil {
		return v, nil, err
	}
	return v, data, hsjson.Unmarshal(data, &v)
}
