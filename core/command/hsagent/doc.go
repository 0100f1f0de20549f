// Package hsagent implements the agent role, which controls one endpoint on the same instance: it receives the
// endpoint's announcements, reserves the accelerators that the leader grants, and runs, watches and stops tasks
// through the platform.
//
// An agent persists nothing. It reports everything that it holds at every interval and at every change, and it
// reconciles what it holds with the newest orders. Orders of an older term, an older serial or for another
// incarnation are ignored. A grant that the orders no longer list is dropped; if its task is running, the task is
// stopped first.
//
// Three leases limit what an agent does without contact to the leader. All of them count from when it sent the
// report that was answered. When the rules lease expires, it accepts no new grants. When the hold lease expires, it
// drops the grants that aren't started. When the run lease expires, it stops the tasks that may be run elsewhere;
// jobs that must never run twice continue.
//
// After a restart the agent asks the platform which tasks still run before it accepts any grant. From then on the
// platform refuses starts of earlier incarnations.
//
// An Agent isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	a := hsagent.New(config, clock, sender, platform)
//	a.HandleAnnouncement(worker)
//	a.Receive(peer, orders)
//	a.HandleTaskEnd(grant, result)
//	a.Wake() // at NextWake
package hsagent
