package hscommandapi

import (
	"fmt"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"hyssopseam/core/command/hsadmission"
	"hyssopseam/core/command/hsrule"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hsproblem"
)

// rulesAccepted is the response to an accepted rule file.
type rulesAccepted struct {
	Number  hsid.RuleNumber `json:"number"`
	InForce hsid.RuleNumber `json:"inForce" description:"the number in force when the file was committed, or later"`
	Sum     string          `json:"sum"`
}

func (a *API) pushRules(request *restful.Request, response *restful.Response) {
	data, problem := readBody(response, request.Request, hsrule.MaxContent)
	if problem != nil {
		hsproblem.Write(response, *problem)
		return
	}
	operator := request.QueryParameter("operator")
	if err := checkName("operator", operator); err != nil {
		hsproblem.Write(response, badRequest(err.Error()))
		return
	}
	set, faults := hsrule.Parse(string(data))
	if len(faults) > 0 {
		hsproblem.Write(response, faultsProblem(faults))
		return
	}
	push := &hsstate.PushRules{
		Set:      set,
		Sum:      hsadmission.Checksum(data),
		Content:  string(data),
		Operator: hsid.OperatorID(operator),
	}
	reply := a.requester.Request(request.Request.Context(), hsmessage.Request{Push: push}, commandTimeout)
	if reply.Status != hsmessage.StatusDone {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return
	}
	_ = response.WriteHeaderAndJson(http.StatusOK, rulesAccepted{
		Number:  reply.Rules.Number,
		InForce: reply.Rules.InForce,
		Sum:     push.Sum,
	}, restful.MIME_JSON)
}

func faultsProblem(faults []hsrule.Fault) hsproblem.Problem {
	p := badRequest(fmt.Sprintf("the rule file has %d faults; nothing was changed", len(faults)))
	for _, f := range faults {
		p.Faults = append(p.Faults, hsproblem.Fault{Line: f.Line, Column: f.Column, Text: f.Text})
	}
	return p
}

// membersBody is the body of POST /v1/members.
type membersBody struct {
	Action string         `json:"action" description:"add, remove or replace"`
	ID     hsid.ReplicaID `json:"id" description:"the replica to add or remove, or the one that joins in a replacement"`
	Old    hsid.ReplicaID `json:"old,omitempty" description:"the replica that is removed in a replacement"`
}

func (a *API) changeMembers(request *restful.Request, response *restful.Response) {
	body, problem := decodeBody[membersBody](response, request.Request, 4*hsid.KiB)
	if problem != nil {
		hsproblem.Write(response, *problem)
		return
	}
	m := hsmessage.Request{Members: &hsmessage.MembersChange{
		Action: hsmessage.MembersAction(body.Action),
		ID:     body.ID,
		Old:    body.Old,
	}}
	reply := a.requester.Request(request.Request.Context(), m, commandTimeout)
	if reply.Status != hsmessage.StatusDone {
		hsproblem.Write(response, hsproblem.FromReply(reply))
		return
	}
	response.WriteHeader(http.StatusNoContent)
}
