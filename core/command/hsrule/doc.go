// Package hsrule reads rule files and decides which one is in force.
//
// A rule file is plain text with one rule a line and `number N` first. Every rule ends in a comment
// that names who asked for it. Parse reports every fault of a file in one pass, with line and column,
// and a file with any fault changes nothing.
//
//	number 18
//	guarantee workspace=kejetia shape=4x1worker within=1.4s   # Asantewaa, counter
//	quota     workspace=kejetia accelerators=24               # Asantewaa
//	refuse    job=sizeRun                                     # night shift
//	once      job=order                                       # Asantewaa
//
// Apply settles races: the first file committed under a number wins, a resend gets the first answer
// again, and a file whose number isn't above the one in force never gets in force.
//
// # Usage
//
//	set, faults := hsrule.Parse(content)
//	if len(faults) > 0 {
//		return faults[0]
//	}
package hsrule
