package spread_test

import "flag"

// The random runs have the same verdict on every run of CI. The command line may set another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
