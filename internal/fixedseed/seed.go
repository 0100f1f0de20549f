// Package fixedseed runs the property-based tests with the same seed every time, unless -rapid.seed is given on the
// command line.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
package fixedseed

import (
	"flag"
	"fmt"
	"os"
)

// defaultSeed is the value of -rapid.seed when the command line has none. It must not be 0, which makes rapid choose
// a random seed.
const defaultSeed = "20261204"

// Runner runs the tests of a package; *testing.M implements it.
type Runner interface {
	Run() int
}

// Run sets the seed, runs the tests and returns the exit code.
func Run(r Runner) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return r.Run()
}
