package content

import "flag"

// A fixed seed gives the randomised tests the same result in every run of CI. The command line may set another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
