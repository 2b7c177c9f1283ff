package membership

import "flag"

// The random tests use a fixed seed, so that every CI run has the same result. The command line may set another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
