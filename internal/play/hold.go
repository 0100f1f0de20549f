package play

import (
	"cmp"
	"slices"

	"hyssopseam/core/command/hsrunner"
	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hswork"
)

// Hold implements hsrunner.Endpoint.
func (e *Endpoint) Hold(c hsrunner.HoldCall) {
	life, born := e.runner.life, e.born
	give := func(r hsrunner.HoldResult) {
		r.Turn = c.Target.Turn
		r.Number = c.Number
		r.Main = c.Main
		e.w.At(e.w.now+e.jitter(), func() {
			if e.runner.life == life {
				e.runner.do(func(x *hsrunner.Runner) { x.Held(r) })
			}
		})
	}
	none := hsrunner.HoldResult{CallResult: hsrunner.CallResult{Verdict: hsrunner.CallNoAnswer}}
	e.w.At(e.w.now+e.jitter(), func() {
		if e.down || e.born != born {
			e.w.At(e.w.now+answerWithin, func() { give(none) })
			return
		}
		e.held(c)
		answered := false
		answer := func() {
			switch {
			case answered:
			case e.down || e.born != born:
				// The connection breaks with the endpoint.
				answered = true
				give(none)
			default:
				answered = true
				give(e.lists())
			}
		}
		if c.Wait == 0 || len(e.ended) > 0 {
			answer()
			return
		}
		e.waiting = append(e.waiting, answer)
		e.w.At(e.w.now+c.Wait, answer)
		e.w.At(e.w.now+c.Wait+answerWithin, func() {
			if !answered {
				answered = true
				give(none)
			}
		})
	})
}

// held extends the lease and forgets what was noted.
func (e *Endpoint) held(c hsrunner.HoldCall) {
	if c.Term < e.term {
		return
	}
	e.term = c.Term
	e.extend(c.Deadline)
	for _, x := range e.ended {
		if x.Number <= c.Noted {
			e.w.noted(x.Run, hsid.InstanceID(e.runner.peer), e.lapsed)
		}
	}
	e.ended = slices.DeleteFunc(e.ended, func(x hsmessage.EndedTask) bool { return x.Number <= c.Noted })
}

// extend moves the end of the lease, which never comes nearer.
func (e *Endpoint) extend(r hsrunner.Reading) {
	at := min(e.at(r), e.w.now+holdMost)
	if at <= e.deadline {
		return
	}
	e.deadline = at
	born := e.born
	e.w.At(at, func() {
		if e.deadline != at || e.down || e.born != born {
			return
		}
		e.lapsed = e.w.now
		for _, r := range e.sorted() {
			e.finish(r, hswork.EndLapsed)
		}
	})
}

func (e *Endpoint) lists() hsrunner.HoldResult {
	r := hsrunner.HoldResult{Life: e.said.Life, Ended: slices.Clone(e.ended)}
	r.Verdict = hsrunner.CallDone
	r.Clock = e.clock()
	for _, x := range e.sorted() {
		// Each list shows more progress than the one before.
		percent := hswork.Percent((e.w.now - x.Began).Milliseconds() / 100 % 100)
		r.Running = append(r.Running, hsmessage.RunningTask{Run: x.Run, Percent: percent})
	}
	return r
}

func (e *Endpoint) sorted() []*WorkRun {
	var all []*WorkRun
	for _, r := range e.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *WorkRun) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	return all
}
