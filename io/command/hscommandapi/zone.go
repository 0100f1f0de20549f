package hscommandapi

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/io/hsproblem"
)

// changeZone returns the handler that evacuates or restores an availability zone. Repeating an order is harmless.
func (a *API) changeZone(action hsmessage.WorkAction) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		order := &hsmessage.WorkRequest{Action: action, Zone: hsid.ZoneID(request.PathParameter("zone"))}
		reply := a.requester.Request(request.Request.Context(), hsmessage.Request{Work: order}, commandTimeout)
		switch {
		case reply.Status != hsmessage.StatusDone || reply.Work == nil:
			hsproblem.Write(response, hsproblem.FromReply(reply))
		case reply.Work.Verdict == hsmessage.WorkNoZone:
			hsproblem.Write(response, hsproblem.New(http.StatusNotFound, hsproblem.NotFound, "there is no such availability zone"))
		case reply.Work.Verdict != hsmessage.WorkDone:
			hsproblem.Write(response, hsproblem.New(http.StatusServiceUnavailable, hsproblem.NotRun, "control isn't ready yet"))
		default:
			response.WriteHeader(http.StatusNoContent)
		}
	}
}
