package hscommandapi

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsshape"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hsproblem"
)

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Workspace   string `json:"workspace" description:"the customer that the job belongs to"`
	Kind        string `json:"kind" description:"the kind of job, which rules name"`
	Shape       string `json:"shape" description:"adjacent accelerators, such as 4x1worker or 8x3workers"`
	Class       string `json:"class,omitempty" description:"urgent, normal (the default) or batch"`
	Input       []byte `json:"input,omitempty" description:"the input, in base64"`
	Expect      string `json:"expect,omitempty" description:"the expected run time, a hint, such as 10m"`
	StartWithin string `json:"startWithin,omitempty" description:"how long the caller waits for the start"`
	MilliCores  int64  `json:"milliCores,omitempty" description:"processor time on each worker"`
	MemoryBytes int64  `json:"memoryBytes,omitempty" description:"memory on each worker"`
}

// accepted is the answer to an accepted job.
type accepted struct {
	ID      hsid.JobID      `json:"id"`
	Verdict string          `json:"verdict" description:"accepted, or existing for a job that was accepted before"`
	Rules   hsid.RuleNumber `json:"rules" description:"the rule number that it was accepted under"`
}

const (
	// maxJobBody bounds the body of a submission; the input grows by a third in base64.
	maxJobBody = hsadmission.MaxInput*4/3 + 4*hsid.KiB
	maxText    = 128
	// maxExpect bounds the times that a caller gives.
	maxExpect = 30 * 24 * time.Hour
	// maxCancelled bounds the jobs of one cancellation.
	maxCancelled = 5000
)

func (a *API) submitJob(request *restful.Request, response *restful.Response) {
	body, problem := decodeBody[jobBody](response, request.Request, maxJobBody)
	if problem != nil {
		hsproblem.Write(response, *problem)
		return
	}
	spec, err := body.spec(request.HeaderParameter("Idempotency-Key"))
	if err != nil {
		hsproblem.Write(response, bad(err.Error()))
		return
	}
	reply := a.asker.Submit(request.Request.Context(), spec, commandTime)
	if reply.Status != hsmessage.StatusDone {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return
	}
	status := http.StatusAccepted
	if reply.Job.Verdict == hsstate.JobExisting {
		status = http.StatusOK
	}
	_ = response.WriteHeaderAndJson(status, accepted{
		ID:      reply.Job.ID,
		Verdict: string(reply.Job.Verdict),
		Rules:   reply.Job.Rules,
	}, restful.MIME_JSON)
}

// spec checks a body and returns the job that it asks for.
func (b *jobBody) spec(key string) (hsstate.Spec, error) {
	s := hsstate.Spec{
		Workspace: hsid.WorkspaceID(b.Workspace),
		Kind:      hsid.JobKind(b.Kind),
		Key:       hsid.IdempotencyKey(key),
		Cores:     hsid.MilliCores(b.MilliCores),
		Memory:    hsid.Bytes(b.MemoryBytes),
		Input:     b.Input,
	}
	var err error
	if err = checkName("workspace", b.Workspace); err != nil {
		return s, err
	}
	if err = checkName("kind", b.Kind); err != nil {
		return s, err
	}
	if s.Shape, err = hsshape.Parse(b.Shape); err != nil {
		return s, fmt.Errorf("shape: %w", err)
	}
	var ok bool
	if s.Class, ok = hsstate.ParseClass(b.Class); !ok {
		return s, fmt.Errorf("class: %q is none of urgent, normal and batch", b.Class)
	}
	if s.Expect, err = parseTime("expect", b.Expect); err != nil {
		return s, err
	}
	if s.StartWithin, err = parseTime("startWithin", b.StartWithin); err != nil {
		return s, err
	}
	switch {
	case hsid.Bytes(len(b.Input)) > hsadmission.MaxInput:
		return s, fmt.Errorf("input: %d bytes are over the bound %d", len(b.Input), hsadmission.MaxInput)
	case len(key) > maxText:
		return s, fmt.Errorf("Idempotency-Key: it is longer than %d bytes", maxText)
	case b.MilliCores < 0 || b.MemoryBytes < 0:
		return s, fmt.Errorf("milliCores and memoryBytes must not be below zero")
	}
	return s, nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxText || strings.ContainsAny(name, " \t\r\n/\\?#%") {
		return fmt.Errorf("%s: %q is not a name of 1 to %d characters without spaces, slashes, ?, # or %%", field, name, maxText)
	}
	return nil
}

func parseTime(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxExpect {
		return 0, fmt.Errorf("%s: %q is not a time such as 10m, above zero and up to %s", field, text, maxExpect)
	}
	return d, nil
}

func (a *API) cancelJob(request *restful.Request, response *restful.Response) {
	a.cancel(request, response, []hsid.JobID{hsid.JobID(request.PathParameter("id"))})
}

// cancelBody is the body of POST /v1/cancellations.
type cancelBody struct {
	Jobs []hsid.JobID `json:"jobs" description:"the jobs to cancel"`
}

func (a *API) cancelJobs(request *restful.Request, response *restful.Response) {
	body, problem := decodeBody[cancelBody](response, request.Request, hsid.MiB)
	if problem != nil {
		hsproblem.Write(response, *problem)
		return
	}
	if len(body.Jobs) == 0 || len(body.Jobs) > maxCancelled {
		hsproblem.Write(response, bad(fmt.Sprintf("jobs: it takes 1 to %d", maxCancelled)))
		return
	}
	a.cancel(request, response, body.Jobs)
}

func (a *API) cancel(request *restful.Request, response *restful.Response, jobs []hsid.JobID) {
	m := hsmessage.Request{Cancel: &hsstate.CancelJobs{Jobs: jobs}}
	reply := a.asker.Ask(request.Request.Context(), m, commandTime)
	if reply.Status != hsmessage.StatusDone {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return
	}
	if reply.View != nil && reply.View.Job != nil {
		writeView(response, http.StatusOK, reply.View.Job)
		return
	}
	response.WriteHeader(http.StatusNoContent)
}
