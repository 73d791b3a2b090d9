// Package rapidseed fixes the random seed of rapid's property tests, so that CI runs are reproducible. Test files
// import it for its side effect. The flag -rapid.seed on the command line takes precedence.
package rapidseed

import (
	"flag"

	// Imported so that rapid registers its flags before init sets them.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if flag.Lookup("rapid.seed") != nil {
		_ = flag.Set("rapid.seed", seed)
	}
	// A failure can be reproduced from the reported seed. A fail file in the source tree would make later runs differ.
	if flag.Lookup("rapid.nofailfile") != nil {
		_ = flag.Set("rapid.nofailfile", "true")
	}
}
