// Command _harness3 runs the scripted cases of the third review. It starts a small deployment of the daemon as separate
// processes on loopback addresses, with simulated workers, a client and an operator, and checks one rule.
//
// # Usage
//
//	cd REPOSITORY && target/review-3/harness CASE RECORD
//
// CASE is the number of a case, and RECORD the file for what was sent, answered and run. With TROUBLE=0 in the
// environment, nothing is disturbed. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run.
package main
