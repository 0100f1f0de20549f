// Package hsreport answers the queries about jobs, workers, rules, members and the overall status.
//
// Reader copies what it reports from a leader's State. It is stateless and doesn't change the State; it must be
// called on the goroutine that owns the State.
//
// # Usage
//
//	view, ok := hsreport.Reader{}.Read(state, query)
package hsreport

import (
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsleaderstate"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/core/hsview"
	"hyssopseam/core/query/hsexplain"
)

// MaxJobs is the largest number of jobs in one list; the latest ones are listed.
const MaxJobs = 500

// Reader answers queries from a State.
type Reader struct{}

// Read returns the result of a query. It returns false when the query is about a job that doesn't exist.
func (Reader) Read(s *hsleaderstate.State, q hsmessage.Query) (*hsview.View, bool) {
	v := &hsview.View{}
	switch q.Kind {
	case hsmessage.QueryJob, hsmessage.QueryExplain:
		j := s.Replicated.Jobs[q.Job]
		if j == nil {
			return nil, false
		}
		job := JobView(s, j)
		if q.Kind == hsmessage.QueryJob {
			v.Job = &job
			return v, true
		}
		v.Explain = hsexplain.Explain(s, j, job)
	case hsmessage.QueryJobs:
		v.Jobs = jobs(s)
	case hsmessage.QueryStatus:
		v.Status = status(s)
	case hsmessage.QueryWorkers:
		v.Workers = workers(s)
	case hsmessage.QueryRules:
		v.Rules = rules(s)
	case hsmessage.QueryHistory:
		v.History = history(s, q.Number)
	case hsmessage.QueryMembers:
		members := s.Members
		v.Members = &members
	}
	return v, true
}

// JobView returns the view of one job, with its answer.
func JobView(s *hsleaderstate.State, j *hsstate.Job) hsview.Job {
	v := hsview.Job{
		ID:         j.ID,
		Workspace:  j.Spec.Workspace,
		Kind:       j.Spec.Kind,
		Shape:      j.Spec.Shape.String(),
		Class:      j.Spec.Class.String(),
		Phase:      string(j.Phase),
		Attempt:    j.Attempt,
		AcceptedIn: j.Rules,
		StartedIn:  j.StartRules,
		Ran:        j.Ran || j.Phase == hsstate.Running,
		Outcome:    string(j.Outcome),
		Detail:     j.Detail,
		Answer:     j.Answer,
		AnswerSum:  j.AnswerSum,
		AnswerLost: j.Outcome == hsstate.Answered && j.Answer == nil && j.AnswerSum != "",
		Cancelling: j.Cancel && j.Phase == hsstate.Running,
	}
	for _, m := range j.Members {
		v.Workers = append(v.Workers, placement(m.Worker, m.Accelerators))
	}
	switch j.Phase {
	case hsstate.Queued:
		v.Waited = s.Clock - j.Accepted
		v.PredictStart = s.Predict(j)
	case hsstate.Running:
		v.Waited = j.Started - j.Accepted
	case hsstate.Finished:
		v.Waited = max(j.Started-j.Accepted, 0)
	}
	return v
}

func placement(w hsid.InstanceID, set []hsid.AcceleratorIndex) hsview.Placement {
	return hsview.Placement{Worker: w, Accelerators: append([]hsid.AcceleratorIndex(nil), set...)}
}

func rules(s *hsleaderstate.State) *hsview.Rules {
	v := &hsview.Rules{Everywhere: s.Everywhere, Lagging: s.Lagging, Processes: s.Processes}
	if f := s.Replicated.Rules.Find(s.Replicated.Rules.InForce.Number); f != nil {
		v.File = ruleFile(f)
	}
	return v
}

func ruleFile(f *hsstate.RuleFile) hsview.RuleFile {
	return hsview.RuleFile{Number: f.Number, Operator: f.Operator, Sum: f.Sum, Content: f.Content}
}

// history returns all accepted files without their contents, or, for a number other than zero, only the file with
// that number with its content.
func history(s *hsleaderstate.State, n hsid.RuleNumber) []hsview.RuleFile {
	if f := s.Replicated.Rules.Find(n); f != nil {
		return []hsview.RuleFile{ruleFile(f)}
	}
	if n != 0 {
		return nil
	}
	files := make([]hsview.RuleFile, 0, len(s.Replicated.Rules.Files))
	for i := range s.Replicated.Rules.Files {
		f := ruleFile(&s.Replicated.Rules.Files[i])
		f.Content = ""
		files = append(files, f)
	}
	return files
}
