// Package property gives the tests of properties the same cases in each run, so
// that a change is judged and not the draw.
package property

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Size is how much the properties of a package try. Zeros leave rapid's defaults.
type Size struct {
	Seed   int // 1 if zero
	Checks int
	Steps  int // of a state machine, on average
}

// Run runs a package's tests. RAPID_CHECKS, RAPID_STEPS and RAPID_SEED try more,
// longer, and other cases; with RAPID_CHECKS the seed is drawn.
func Run(m *testing.M, size Size) {
	flag.Parse()
	if os.Getenv("RAPID_CHECKS") == "" {
		set("RAPID_SEED", "rapid.seed", max(size.Seed, 1))
		set("", "rapid.checks", size.Checks)
	}
	set("RAPID_STEPS", "rapid.steps", size.Steps)
	os.Exit(m.Run())
}

// set sets a flag of rapid, unless a variable or the command line does.
func set(variable, name string, value int) {
	if value == 0 || os.Getenv(variable) != "" && variable != "" {
		return
	}
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		panic(err)
	}
}
