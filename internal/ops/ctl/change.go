package ctl

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

var publishCommand = Command{
	Name:    "publish",
	Args:    "DIR",
	Summary: "put the declarations in a folder in force",
	Run:     runPublish,
}

var rollbackCommand = Command{
	Name:    "rollback",
	Args:    "REV",
	Summary: "publish the objects of an earlier revision as a new one",
	Run:     runRollback,
}

var withdrawCommand = Command{
	Name:    "withdraw",
	Args:    "KEYNAME",
	Summary: "withdraw a key, for good",
	Run:     runWithdraw,
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	set    *flag.FlagSet
	store  addresses
	admin  addresses
	json   *bool
	author *string
	note   *string
	id     *string
	wait   *time.Duration
}

func newChangeFlags(name string) *changeFlags {
	set := newFlags(name)
	c := &changeFlags{
		set:    set,
		json:   set.Bool("json", false, "print JSON"),
		author: set.String("author", "", "who publishes, kept with the revision"),
		note:   set.String("note", "", "why, kept with the revision"),
		id:     set.String("id", "", "ID of an earlier attempt whose answer was lost"),
		wait:   set.Duration("wait", 0, "how long to wait until the processes of -admin have the revision; 0s waits not at all"),
	}
	set.Var(&c.store, "store", "address of the platform's key-value service; needed")
	set.Var(&c.admin, "admin", "admin addresses of the processes, separated by commas")
	return c
}

// begin reads the command line and returns the positional argument.
func (c *changeFlags) begin(env *Env, args []string) (string, int, bool) {
	positional, code, goOn := parse(env, c.set, args, 1)
	if !goOn {
		return "", code, false
	}
	if !expectStore(env, c.store) {
		return "", ExitUsage, false
	}
	if *c.wait > 0 && len(c.admin) == 0 {
		_, _ = fmt.Fprintln(env.Err, "-wait needs -admin: name the processes to wait for.")
		return "", ExitUsage, false
	}
	return positional[0], ExitFine, true
}

func expectStore(env *Env, store []netip.AddrPort) bool {
	if len(store) != 1 {
		_, _ = fmt.Fprintln(env.Err, "-store needs one address: name the platform's key-value service, such as 127.0.0.1:7000.")
		return false
	}
	return true
}

func (c *changeFlags) publisher(env *Env) *publish.Publisher {
	return &publish.Publisher{Store: env.Connect(c.store[0])}
}

func (c *changeFlags) publication(env *Env) publish.Publication {
	author := *c.author
	for _, pair := range env.Environ {
		if user, found := strings.CutPrefix(pair, "USER="); found && author == "" {
			author = user
		}
	}
	if *c.id != "" {
		return publish.Publication{ID: *c.id, Author: author, Note: *c.note, Retry: true}
	}
	return publish.Publication{ID: rand.Text(), Author: author, Note: *c.note}
}

// finish waits for the processes, if asked to, and prints what came of it.
func (c *changeFlags) finish(ctx context.Context, env *Env, r *result) int {
	if r.code() == ExitFine && *c.wait > 0 {
		r.Processes = await(ctx, c.admin, r.Revision, *c.wait)
		if late := behind(r.Processes, r.Revision); late > 0 {
			r.Outcome = outcomePending
			r.Text += fmt.Sprintf(" After %s it is not yet known to be in force in %s of %d.", *c.wait, count(late, "process"), len(r.Processes))
		} else {
			r.Text += fmt.Sprintf(" It is in force in all %d.", len(r.Processes))
		}
	}
	return r.print(env, *c.json)
}

func runPublish(ctx context.Context, env *Env, args []string) int {
	flags := newChangeFlags("publish DIR")
	base := flags.set.Uint64("base", 0, "revision that the folder was last in step with; the one in force if left out")
	dir, code, goOn := flags.begin(env, args)
	if !goOn {
		return code
	}
	declared, faults, err := loadFolder(dir)
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	publication := flags.publication(env)
	publication.Base = *base
	if len(faults) > 0 {
		r := newResult(publication, publish.Head{}, &publish.FaultError{Faults: faults})
		return r.print(env, *flags.json)
	}
	head, err := flags.publisher(env).Publish(ctx, env.Now(), publication, declared.Set)
	r := newResult(publication, head, err)
	r.locate(declared)
	return flags.finish(ctx, env, r)
}

// locate gives faults that the publisher found their file and line.
func (r *result) locate(declared *object.Declared) {
	for i := range r.Faults {
		fault := &r.Faults[i]
		for _, position := range declared.Set.Refs() {
			if position.Ref.String() == fault.Object && fault.File == "" {
				source := declared.Sources[position.Ref.Kind][position.Index]
				fault.File, fault.Line = source.File, source.Line
			}
		}
	}
}

func runRollback(ctx context.Context, env *Env, args []string) int {
	flags := newChangeFlags("rollback REV")
	text, code, goOn := flags.begin(env, args)
	if !goOn {
		return code
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		_, _ = fmt.Fprintf(env.Err, "%q is no revision: give a whole number such as 12.\n", text)
		return ExitUsage
	}
	publication := flags.publication(env)
	head, kept, err := flags.publisher(env).Rollback(ctx, env.Now(), publication, revision)
	r := newResult(publication, head, err)
	r.Kept = kept
	return flags.finish(ctx, env, r)
}

func runWithdraw(ctx context.Context, env *Env, args []string) int {
	flags := newChangeFlags("withdraw KEYNAME")
	name, code, goOn := flags.begin(env, args)
	if !goOn {
		return code
	}
	publication := flags.publication(env)
	head, err := flags.publisher(env).Withdraw(ctx, env.Now(), publication, name)
	return flags.finish(ctx, env, newResult(publication, head, err))
}
