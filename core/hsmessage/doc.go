// Package hsmessage declares the messages between the processes as typed data.
//
// The package doesn't define an encoding; each transport may encode the messages in its own way. Messages between the
// leader and an agent or a runner carry full state rather than changes: Orders and Plan list everything that should
// run on a worker, AgentReport and RunnerReport everything that does. So the next message corrects the effects of one
// that was lost, delayed, duplicated or reordered.
//
// # Usage
//
//	var m hsmessage.Message = hsmessage.AgentReport{Renewal: hsmessage.Renewal{Instance: "w1"}}
//	sender.Send("127.0.1.1:7001", m)
package hsmessage

// Message is implemented by the message types of this package, and by no others.
type Message interface {
	message()
}
