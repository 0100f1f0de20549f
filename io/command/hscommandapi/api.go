// Package hscommandapi is the HTTP interface for all commands, the requests that change state.
//
//	POST   /v1/jobs           submit a job (Idempotency-Key header)
//	DELETE /v1/jobs/{id}      cancel it
//	POST   /v1/cancellations  cancel many jobs
//	PUT    /v1/rules          put a rule file in force (?operator=NAME)
//	POST   /v1/members        change the control replicas
//	POST   /v1/zones/{zone}/evacuate and /restore   keep new work off an availability zone, and end that
//
// Errors are reported as problem details of package hsproblem. Invalid input never changes anything. The handlers are
// stateless: they pass typed requests to the control goroutine and wait for the reply.
//
// # Usage
//
//	hscommandapi.New(process).Register(service)
package hscommandapi

import (
	"context"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hsjson"
	"hyssopseam/io/hsproblem"
)

// commandTimeout is how long a command waits for a reply from control. After that its outcome is unknown.
const commandTimeout = 10 * time.Second

// Requester passes requests to the entry role and waits for the reply.
type Requester interface {
	Request(ctx context.Context, m hsmessage.Request, timeout time.Duration) hsmessage.Reply
	Submit(ctx context.Context, spec hsstate.Spec, timeout time.Duration) hsmessage.Reply
}

// API holds the handlers. It is safe for concurrent use.
type API struct {
	requester Requester
}

// New returns handlers that pass their requests to requester.
func New(requester Requester) *API { return &API{requester: requester} }

// Register adds the routes to a web service.
func (a *API) Register(ws *restful.WebService) {
	ws.Route(ws.POST("/jobs").To(a.submitJob).Doc("submit a job").Operation("submitJob").
		Param(ws.HeaderParameter("Idempotency-Key", "identifies the submission within its workspace")).
		Reads(jobBody{}).Returns(http.StatusAccepted, "accepted", jobAccepted{}).
		Returns(http.StatusServiceUnavailable, "not run", hsproblem.Problem{}))
	ws.Route(ws.DELETE("/jobs/{id}").To(a.cancelJob).Doc("cancel a job").Operation("cancelJob").
		Param(ws.PathParameter("id", "the job")))
	ws.Route(ws.POST("/cancellations").To(a.cancelJobs).Doc("cancel many jobs").Operation("cancelJobs").
		Reads(cancelBody{}))
	ws.Route(ws.PUT("/rules").To(a.pushRules).Doc("put a rule file in force").Operation("pushRules").
		Consumes("text/plain", restful.MIME_OCTET).
		Param(ws.QueryParameter("operator", "the operator who pushes the file")).Returns(http.StatusOK, "accepted", rulesAccepted{}))
	ws.Route(ws.POST("/members").To(a.changeMembers).Doc("change the control replicas").Operation("changeMembers").
		Reads(membersBody{}))
	zone := ws.PathParameter("zone", "the availability zone")
	ws.Route(ws.POST("/zones/{zone}/evacuate").To(a.changeZone(hsmessage.WorkEvacuate)).Param(zone).Consumes("*/*").
		Doc("keep new work off an availability zone").Operation("evacuateZone"))
	ws.Route(ws.POST("/zones/{zone}/restore").To(a.changeZone(hsmessage.WorkRestore)).Param(zone).Consumes("*/*").
		Doc("end the evacuation of an availability zone").Operation("restoreZone"))
}

// writeView writes a view as JSON.
func writeView(w http.ResponseWriter, status int, v any) {
	data, err := hsjson.Marshal(v)
	if err != nil {
		hsproblem.Write(w, hsproblem.New(http.StatusInternalServerError, hsproblem.Unknown, err.Error()))
		return
	}
	w.Header().Set("Content-Type", restful.MIME_JSON)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
