package warmup_test

import "flag"

// The fixed seed makes the random tests reproducible in CI, and the number of checks lets them end within seconds. The
// command line may set others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "24"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
