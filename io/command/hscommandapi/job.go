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
	Workspace   string `json:"workspace" description:"the workspace that the job belongs to"`
	Kind        string `json:"kind" description:"the kind of job, which rules refer to"`
	Shape       string `json:"shape" description:"adjacent accelerators, such as 4x1worker or 8x3workers"`
	Class       string `json:"class,omitempty" description:"urgent, normal (the default) or batch"`
	Input       []byte `json:"input,omitempty" description:"the input, in base64"`
	Expect      string `json:"expect,omitempty" description:"the expected run time, a hint, such as 10m"`
	StartWithin string `json:"startWithin,omitempty" description:"how long the caller waits for the start"`
	MilliCores  int64  `json:"milliCores,omitempty" description:"processor time on each worker"`
	MemoryBytes int64  `json:"memoryBytes,omitempty" description:"memory on each worker"`
}

// jobAccepted is the response to an accepted job.
type jobAccepted struct {
	ID      hsid.JobID      `json:"id"`
	Verdict string          `json:"verdict" description:"accepted, or existing for a job that was accepted before"`
	Rules   hsid.RuleNumber `json:"rules" description:"the rule number that it was accepted under"`
}

const (
	// maxJobBody is the largest body of a submission; base64 makes the input a third larger.
	maxJobBody = hsadmission.MaxInput*4/3 + 4*hsid.KiB
	// maxTextLength is the largest length of names and idempotency keys, in bytes.
	maxTextLength = 128
	// maxDuration is the longest duration that a caller may specify.
	maxDuration = 30 * 24 * time.Hour
	// maxCancelled is the largest number of jobs in one cancellation.
	maxCancelled = 5000
)

func (a *API) submitJob(request *restful.Request, response *restful.Response) {
	body, problem := decodeBody[jobBody](response, request.Request, maxJobBody)
	if problem != nil {
		hsproblem.Write(response, *problem)
		return
	}
	spec, err := body.toSpec(request.HeaderParameter("Idempotency-Key"))
	if err != nil {
		hsproblem.Write(response, badRequest(err.Error()))
		return
	}
	reply := a.requester.Submit(request.Request.Context(), spec, commandTimeout)
	if reply.Status != hsmessage.StatusDone {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return
	}
	status := http.StatusAccepted
	if reply.Job.Verdict == hsstate.JobExisting {
		status = http.StatusOK
	}
	_ = response.WriteHeaderAndJson(status, jobAccepted{
		ID:      reply.Job.ID,
		Verdict: string(reply.Job.Verdict),
		Rules:   reply.Job.Rules,
	}, restful.MIME_JSON)
}

// toSpec validates a body and returns the job that it describes.
func (b *jobBody) toSpec(key string) (hsstate.Spec, error) {
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
		return s, fmt.Errorf("class: %q is not one of urgent, normal and batch", b.Class)
	}
	if s.Expect, err = parseDuration("expect", b.Expect); err != nil {
		return s, err
	}
	if s.StartWithin, err = parseDuration("startWithin", b.StartWithin); err != nil {
		return s, err
	}
	switch {
	case hsid.Bytes(len(b.Input)) > hsadmission.MaxInput:
		return s, fmt.Errorf("input: %d bytes exceed the limit of %d", len(b.Input), hsadmission.MaxInput)
	case len(key) > maxTextLength:
		return s, fmt.Errorf("Idempotency-Key: longer than %d bytes", maxTextLength)
	case b.MilliCores < 0 || b.MemoryBytes < 0:
		return s, fmt.Errorf("milliCores and memoryBytes must not be negative")
	}
	return s, nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxTextLength || strings.ContainsAny(name, " \t\r\n/\\?#%") {
		return fmt.Errorf("%s: %q is not a name of 1 to %d characters without spaces, slashes, ?, # or %%", field, name, maxTextLength)
	}
	return nil
}

func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDuration {
		return 0, fmt.Errorf("%s: %q is not a duration such as 10m, above zero and up to %s", field, text, maxDuration)
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
		hsproblem.Write(response, badRequest(fmt.Sprintf("jobs: 1 to %d are required", maxCancelled)))
		return
	}
	a.cancel(request, response, body.Jobs)
}

func (a *API) cancel(request *restful.Request, response *restful.Response, jobs []hsid.JobID) {
	m := hsmessage.Request{Cancel: &hsstate.CancelJobs{Jobs: jobs}}
	reply := a.requester.Request(request.Request.Context(), m, commandTimeout)
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
