package peer

import "flag"

// The property tests use a fixed seed, so that CI runs are reproducible. The flag -rapid.seed on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
