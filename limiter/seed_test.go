package limiter_test

import "flag"

// A fixed seed gives the same result on every run; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
