// Package hscommandapi is the HTTP interface for everything that changes state.
//
//	POST   /v1/jobs           accept a job (Idempotency-Key header)
//	DELETE /v1/jobs/{id}      cancel it
//	POST   /v1/cancellations  cancel many
//	PUT    /v1/rules          put a rule file in force (?operator=NAME)
//	POST   /v1/members        change the control replicas
//
// Errors are problem details of package hsproblem. Bad input of any kind changes nothing. The handlers
// hold no state; they hand typed requests to the control goroutine and wait for the answer.
//
// # Usage
//
//	container.Add(hscommandapi.New(process).WebService())
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

// commandTime is how long a command waits for control before its outcome is unknown.
const commandTime = 10 * time.Second

// Asker hands requests to the entry role and waits for the answer.
type Asker interface {
	Ask(ctx context.Context, m hsmessage.Request, timeout time.Duration) hsmessage.Reply
	Submit(ctx context.Context, spec hsstate.Spec, timeout time.Duration) hsmessage.Reply
}

// API holds the handlers. It is safe for concurrent use.
type API struct {
	asker Asker
}

// New returns the handlers.
func New(asker Asker) *API { return &API{asker: asker} }

// Register adds the routes to a web service.
func (a *API) Register(ws *restful.WebService) {
	ws.Route(ws.POST("/jobs").To(a.submitJob).Doc("accept a job").Operation("submitJob").
		Param(ws.HeaderParameter("Idempotency-Key", "names the submission within its workspace")).
		Reads(jobBody{}).Returns(http.StatusAccepted, "accepted", accepted{}).
		Returns(http.StatusServiceUnavailable, "not run", hsproblem.Problem{}))
	ws.Route(ws.DELETE("/jobs/{id}").To(a.cancelJob).Doc("cancel a job").Operation("cancelJob").
		Param(ws.PathParameter("id", "the job")))
	ws.Route(ws.POST("/cancellations").To(a.cancelJobs).Doc("cancel many jobs").Operation("cancelJobs").
		Reads(cancelBody{}))
	ws.Route(ws.PUT("/rules").To(a.pushRules).Doc("put a rule file in force").Operation("pushRules").
		Consumes("text/plain", restful.MIME_OCTET).
		Param(ws.QueryParameter("operator", "who pushes")).Returns(http.StatusOK, "accepted", rulesAccepted{}))
	ws.Route(ws.POST("/members").To(a.changeMembers).Doc("change the control replicas").Operation("changeMembers").
		Reads(membersBody{}))
}

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
