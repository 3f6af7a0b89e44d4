package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

var checkCommand = Command{
	Name:    "check",
	Args:    "DIR",
	Summary: "check all declarations in a folder and print every fault",
	Run:     runCheck,
}

// checkResult is what check prints with -json.
type checkResult struct {
	Objects int            `json:"objects"`
	Faults  []object.Fault `json:"faults"`
}

func runCheck(_ context.Context, env *Env, args []string) int {
	flags := newFlags("check DIR")
	asJSON := flags.Bool("json", false, "print JSON")
	positional, code, goOn := parse(env, flags, args, 1)
	if !goOn {
		return code
	}
	declared, faults, err := loadFolder(positional[0])
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	set := declared.Set
	if *asJSON {
		printJSON(env.Out, checkResult{Objects: len(set.Refs()), Faults: faults})
	} else {
		printFaults(env, positional[0], set, faults)
	}
	if len(faults) > 0 {
		return ExitFaults
	}
	return ExitFine
}

// loadFolder reads and checks a folder of declarations. Links that lead out of
// the folder are not followed. The slice of faults is never nil.
func loadFolder(dir string) (*object.Declared, []object.Fault, error) {
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = root.Close() }()
	declared, faults := object.Load(root.FS())
	if faults == nil {
		faults = []object.Fault{}
	}
	return declared, faults, nil
}

func printFaults(env *Env, dir string, set *object.Set, faults []object.Fault) {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(env.Out, fault)
	}
	if len(faults) > 0 {
		_, _ = fmt.Fprintf(env.Out, "%s: %s in %s; nothing can be published.\n", dir, count(len(faults), "fault"), count(len(set.Refs()), "object"))
		return
	}
	_, _ = fmt.Fprintf(env.Out, "%s: %s, no faults.\n", dir, count(len(set.Refs()), "object"))
}

// count returns a number with its noun, e.g. "1 fault" or "3 faults".
func count(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "s") {
		return fmt.Sprintf("%d %ses", number, noun)
	}
	return fmt.Sprintf("%d %ss", number, noun)
}
