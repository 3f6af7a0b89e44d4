// Command chicoryrock runs one process of the router: an entry, an agent, or the
// demonstration of the whole path.
package main

import (
	"os"

	"github.com/chicoryrock/chicoryrock/internal/serve/program"
)

func main() {
	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
}
