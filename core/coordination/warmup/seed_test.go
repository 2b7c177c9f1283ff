package warmup_test

import "flag"

// The fixed seed makes the random tests reproducible in CI. The command line may set another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
