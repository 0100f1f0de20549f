// Package hsagent is the agent role: it stands beside one endpoint, takes its announcements, holds the
// accelerators that the leader grants, and runs, watches and stops tasks through the platform.
//
// An agent keeps nothing on a disk. It reports the whole of what it holds at every interval and at
// every change, and it brings what it holds to what the newest orders list. Orders of an older term,
// an older serial or another incarnation change nothing. A grant that the orders don't list any more is
// dropped; if its task runs it is stopped first.
//
// Three leases bound what an agent does without contact, all counted from when it sent the report that
// was answered: the rules lease (it accepts no new grants), the hold lease (it drops what isn't started)
// and the run lease (it stops what may be run elsewhere; jobs that never run twice go on).
//
// After a restart the agent asks the platform what still runs before it accepts any grant. The platform
// refuses starts of earlier incarnations from then on.
//
// An Agent isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	a := hsagent.New(config, ports)
//	a.Announce(worker)
//	a.Receive(peer, orders)
//	a.Ended(grant, result)
//	a.Wake() // at NextWake
package hsagent
