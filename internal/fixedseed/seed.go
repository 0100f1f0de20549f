// Package fixedseed gives the stateful fuzzers the same seed on every run, unless the command line names
// another one with -rapid.seed.
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

// seed is the one that every run uses. It must not be zero, which stands for a random one.
const seed = "20261204"

// Runner runs the tests of a package.
type Runner interface {
	Run() int
}

// Run fixes the seed and runs the tests.
func Run(r Runner) int {
	flag.Parse()
	chosen := false
	flag.Visit(func(f *flag.Flag) { chosen = chosen || f.Name == "rapid.seed" })
	if !chosen {
		if err := flag.Set("rapid.seed", seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return r.Run()
}
