// Package hsmessage declares the messages between the processes, as plain typed data.
//
// How a message is written to a connection is not decided here; any front end may encode them its own
// way. Messages from a leader to an agent carry the whole of what the agent should hold, and reports
// carry the whole of what it does hold, so that a lost, late, doubled or crossed message is repaired
// by the next one.
//
// # Usage
//
//	var m hsmessage.Message = hsmessage.Report{Instance: "w1"}
//	sender.Send("127.0.1.1:7001", m)
package hsmessage

// Message is any of the message types of this package.
type Message interface {
	message()
}
