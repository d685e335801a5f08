package admitter_test

import "flag"

// The fixed seed makes every run the same; -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
