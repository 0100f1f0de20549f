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
	// dialTimeout limits how long a server may take to accept a connection.
	dialTimeout = 3 * time.Second
	// answerTimeout limits a request, in addition to the time that the server was asked to wait.
	answerTimeout = 15 * time.Second
	// maxAnswer limits a response body, in bytes; the rest of a longer one is cut off.
	maxAnswer = 64 << 20
)

// servers is the value of the --server flag, which may be repeated.
type servers []string

// String returns the servers, separated by commas.
func (s *servers) String() string { return strings.Join(*s, ",") }

// Set adds servers; commas separate several.
func (s *servers) Set(text string) error {
	*s = append(*s, strings.Split(text, ",")...)
	return nil
}

// client sends requests to the entry processes.
type client struct {
	servers   servers
	json      bool
	authority string
	http      *http.Client
}

// serverOptions lets environment variables set the flags too, such as HYSSOPSEAM_SERVER for --server.
func serverOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("HYSSOPSEAM")} }

// newClient returns a client and registers its flags in fs. It connects only with the first request, after the flags
// are parsed.
func newClient(fs *flag.FlagSet) *client {
	c := &client{}
	fs.Var(&c.servers, "server", "IP:port of an entry process; may be repeated (default "+defaultServer+")")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	fs.StringVar(&c.authority, "authority", "", "file with the certificate authority; enables TLS")
	return c
}

func (c *client) connect() error {
	if len(c.servers) == 0 {
		c.servers = servers{defaultServer}
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
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
	method         string
	path           string
	body           []byte
	contentType    string
	idempotencyKey string
	// wait is how long the server was asked to wait.
	wait time.Duration
}

// do sends a call to the servers in turn. It goes on to the next server when one fails or refuses the call as not run,
// and returns any other answer. Calls are safe to repeat, since a submission has an idempotency key.
func (c *client) do(ctx context.Context, q call) ([]byte, error) {
	if c.http == nil {
		if err := c.connect(); err != nil {
			return nil, err
		}
	}
	var failures []error
	sent := false
	for _, s := range c.servers {
		data, err := c.send(ctx, s, q)
		var exit *exitError
		if err == nil || errors.As(err, &exit) && exit.code != exitNotRun {
			return data, err
		}
		var netErr *net.OpError
		sent = sent || !(errors.As(err, &netErr) && netErr.Op == "dial")
		failures = append(failures, err)
	}
	return nil, combineFailures(failures, sent && q.method != http.MethodGet)
}

// combineFailures returns the error for a call that no server carried out. When the last server refused it as not run,
// that is the error; otherwise, when any server may have carried it out (sent), the outcome is unknown.
func combineFailures(failures []error, sent bool) error {
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

func (c *client) send(ctx context.Context, server string, q call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait+answerTimeout)
	defer cancel()
	scheme := "http://"
	if c.authority != "" {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, q.method, scheme+server+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, usagef("%v", err)
	}
	if q.contentType != "" {
		request.Header.Set("Content-Type", q.contentType)
	}
	if q.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", q.idempotencyKey)
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

// problemError converts an error response into an exitError with the exit code of its outcome, or into a plain error
// when the body isn't a problem.
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
		hsproblem.NotFound:   exitFailure,
		hsproblem.Conflict:   exitConflict,
		hsproblem.NotRun:     exitNotRun,
		hsproblem.Unknown:    exitUnknown,
	}
	return &exitError{code: codes[p.Outcome], text: text}
}

// get fetches a view of type T, and returns it with its JSON.
func get[T any](ctx context.Context, c *client, path string, wait time.Duration) (T, []byte, error) {
	var v T
	data, err := c.do(ctx, call{method: http.MethodGet, path: path, wait: wait})
	if err != nil {
		return v, nil, err
	}
	return v, data, hsjson.Unmarshal(data, &v)
}
