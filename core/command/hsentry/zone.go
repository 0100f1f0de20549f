package hsentry

import "hyssopseam/core/hsmessage"

// withZone returns a request that names the entry's zone as that of its caller, if it submits a step job.
func (e *Entry) withZone(m hsmessage.Request) hsmessage.Request {
	if m.Work != nil && m.Work.Action == hsmessage.WorkSubmit {
		work := *m.Work
		work.Zone = e.config.Zone
		m.Work = &work
	}
	return m
}
