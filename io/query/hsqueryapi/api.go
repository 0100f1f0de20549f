// Package hsqueryapi is the HTTP interface for all queries, the requests that only read state.
//
//	GET /v1/jobs                   the newest jobs
//	GET /v1/jobs/{id}              one job (?wait=10s waits for its end)
//	GET /v1/jobs/{id}/answer       its answer, unchanged, as received from the endpoint
//	GET /v1/jobs/{id}/explanation  why it waits, runs or was refused
//	GET /v1/status                 a summary of the cluster
//	GET /v1/workers                the workers
//	GET /v1/rules                  the rules in force (?everywhere=N&wait=4s)
//	GET /v1/rules/history          the accepted files (?number=N with content)
//	GET /v1/members                the control replicas
//	GET /v1/zones                  the evacuated availability zones
//
// Every query is answered by the leader while its lease is valid. The handlers are stateless.
//
// # Usage
//
//	hsqueryapi.New(process).Register(service)
package hsqueryapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsview"
	"hyssopseam/io/hsjson"
	"hyssopseam/io/hsproblem"
)

const (
	// queryTimeout is how long a query waits for control, in addition to the wait that it asked for.
	queryTimeout = 10 * time.Second
	maxWait      = 10 * time.Minute
)

// Requester passes requests to the entry role and waits for the reply.
type Requester interface {
	Request(ctx context.Context, m hsmessage.Request, timeout time.Duration) hsmessage.Reply
}

// API holds the handlers. It is safe for concurrent use.
type API struct {
	requester Requester
}

// New returns handlers that pass their requests to requester.
func New(requester Requester) *API { return &API{requester: requester} }

// Register adds the routes to a web service.
func (a *API) Register(ws *restful.WebService) {
	job := ws.PathParameter("id", "the job")
	wait := ws.QueryParameter("wait", "the longest time to wait, such as 10s")
	ws.Route(ws.GET("/jobs").To(viewHandler(a, hsmessage.QueryJobs, func(v *hsview.View) any { return v.Jobs })).
		Doc("the newest jobs").Operation("listJobs").Writes([]hsview.Job{}))
	ws.Route(ws.GET("/jobs/{id}").To(viewHandler(a, hsmessage.QueryJob, func(v *hsview.View) any { return v.Job })).
		Doc("one job").Operation("getJob").Param(job).Param(wait).Writes(hsview.Job{}))
	ws.Route(ws.GET("/jobs/{id}/answer").To(a.writeAnswer).Produces(restful.MIME_OCTET, restful.MIME_JSON).
		Doc("the answer of a job").Operation("getAnswer").Param(job).Param(wait))
	ws.Route(ws.GET("/jobs/{id}/explanation").To(viewHandler(a, hsmessage.QueryExplain, func(v *hsview.View) any { return v.Explain })).
		Doc("why a job waits or ended").Operation("explainJob").Param(job).Writes(hsview.Explanation{}))
	ws.Route(ws.GET("/status").To(viewHandler(a, hsmessage.QueryStatus, func(v *hsview.View) any { return v.Status })).
		Doc("a summary of the cluster").Operation("getStatus").Writes(hsview.Status{}))
	ws.Route(ws.GET("/workers").To(viewHandler(a, hsmessage.QueryWorkers, func(v *hsview.View) any { return v.Workers })).
		Doc("the workers").Operation("listWorkers").Writes([]hsview.Worker{}))
	ws.Route(ws.GET("/rules").To(viewHandler(a, hsmessage.QueryRules, func(v *hsview.View) any { return v.Rules })).
		Doc("the rules in force").Operation("getRules").Param(wait).
		Param(ws.QueryParameter("everywhere", "the rule number to wait for")).Writes(hsview.Rules{}))
	ws.Route(ws.GET("/rules/history").To(viewHandler(a, hsmessage.QueryHistory, func(v *hsview.View) any { return v.History })).
		Doc("the accepted rule files").Operation("listRules").
		Param(ws.QueryParameter("number", "the number of the file to return with its content")).Writes([]hsview.RuleFile{}))
	ws.Route(ws.GET("/members").To(viewHandler(a, hsmessage.QueryMembers, func(v *hsview.View) any { return v.Members })).
		Doc("the control replicas").Operation("listMembers").Writes(hsview.Members{}))
	ws.Route(ws.GET("/zones").To(viewHandler(a, hsmessage.QueryStatus, func(v *hsview.View) any { return v.Status.EvacuatedZones })).
		Doc("the evacuated availability zones").Operation("listZones").Writes([]hsid.ZoneID{}))
}

// viewHandler returns the handler of one query; selectPart returns the part of the view that is written.
func viewHandler(a *API, kind hsmessage.QueryKind, selectPart func(v *hsview.View) any) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		view := a.query(kind, request, response)
		if view == nil {
			return
		}
		data, err := hsjson.Marshal(selectPart(view))
		if err != nil {
			hsproblem.Write(response, hsproblem.New(http.StatusInternalServerError, hsproblem.Unknown, err.Error()))
			return
		}
		response.Header().Set("Content-Type", restful.MIME_JSON)
		_, _ = response.Write(data)
	}
}

// query sends one query and returns its view. If it fails, query writes the problem and returns nil.
func (a *API) query(kind hsmessage.QueryKind, request *restful.Request, response *restful.Response) *hsview.View {
	q := hsmessage.Query{Kind: kind, Job: hsid.JobID(request.PathParameter("id"))}
	var err error
	if q.Wait, err = parseWait(request); err == nil {
		q.Number, err = parseNumber(request)
	}
	if err != nil {
		hsproblem.Write(response, hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, err.Error()))
		return nil
	}
	reply := a.requester.Request(request.Request.Context(), hsmessage.Request{Query: &q}, q.Wait+queryTimeout)
	if reply.Status != hsmessage.StatusDone || reply.View == nil {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return nil
	}
	return reply.View
}

func parseWait(request *restful.Request) (time.Duration, error) {
	text := request.QueryParameter("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxWait {
		return 0, fmt.Errorf("wait: %q is not a duration such as 10s, up to %s", text, maxWait)
	}
	return d, nil
}

func parseNumber(request *restful.Request) (hsid.RuleNumber, error) {
	text := request.QueryParameter("everywhere") + request.QueryParameter("number")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%q is not a rule number", text)
	}
	return hsid.RuleNumber(n), nil
}

// writeAnswer writes the answer of a job with its checksum, or a problem that tells why there is none.
func (a *API) writeAnswer(request *restful.Request, response *restful.Response) {
	view := a.query(hsmessage.QueryJob, request, response)
	if view == nil {
		return
	}
	j := view.Job
	switch {
	case j.Outcome == "":
		hsproblem.Write(response, hsproblem.New(http.StatusConflict, hsproblem.Conflict, "the job hasn't finished"))
	case j.Outcome == "notRun" || j.Outcome == "cancelled" && !j.Ran:
		hsproblem.Write(response, hsproblem.New(http.StatusGone, hsproblem.NotRun, j.Detail))
	case j.Outcome == "unknown":
		hsproblem.Write(response, hsproblem.New(http.StatusGone, hsproblem.Unknown, j.Detail))
	case j.Outcome != "answered":
		hsproblem.Write(response, hsproblem.New(http.StatusGone, hsproblem.Conflict, "the job ran and "+j.Outcome+": "+j.Detail))
	case j.AnswerLost:
		hsproblem.Write(response, hsproblem.New(http.StatusGone, hsproblem.NotFound, "the answer was removed after its retention time"))
	default:
		response.Header().Set("Content-Type", restful.MIME_OCTET)
		response.Header().Set("Content-Length", strconv.Itoa(len(j.Answer)))
		response.Header().Set("Answer-Sha256", j.AnswerSum)
		_, _ = response.Write(j.Answer)
	}
}
