// Package hsrule parses rule files and decides which one is in force.
//
// A rule file is plain text with one rule per line, the first of which is `number N`. Every other rule ends in a
// comment that names who asked for it. Parse reports all faults of a file in one pass, with line and column; a file
// with any fault must not be used.
//
//	number 18
//	guarantee workspace=kejetia shape=4x1worker within=1.4s   # Asantewaa, counter
//	quota     workspace=kejetia accelerators=24               # Asantewaa
//	refuse    job=sizeRun                                     # night shift
//	once      job=order                                       # Asantewaa
//
// Apply resolves concurrent pushes: the first file that is committed under a number wins, a resend of it gets the same
// verdict again, and a file whose number isn't above the one in force is never put into force.
//
// # Usage
//
//	set, faults := hsrule.Parse(content)
//	if len(faults) > 0 {
//		return faults[0]
//	}
package hsrule
