package object

import (
	"fmt"
	"regexp"
)

// Check examines a whole set and returns every fault at once, in the order of
// file and line. Sources may be nil for a set that came from elsewhere.
//
// No check for cycles is needed. A key refers to a workspace, and a route to a
// class, to pools and to workspaces; these three refer to nothing, and nothing
// refers to keys and routes. Every chain of references therefore ends after one
// step. A new field that breaks this needs a check here.
func Check(set *Set, sources Sources) []Fault {
	c := &checker{set: set, sources: sources, known: map[Ref]bool{}}
	c.collectNames()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkClasses()
	c.checkPools()
	c.checkRoutes()
	c.checkReach()
	c.checkFloors()
	sortFaults(c.faults)
	return c.faults
}

type checker struct {
	set     *Set
	sources Sources
	known   map[Ref]bool
	faults  []Fault
}

// place is where a fault of an object is reported.
type place struct {
	ref    Ref
	source Source
}

func (c *checker) place(kind Kind, index int, name string) place {
	return place{ref: Ref{Kind: kind, Name: name}, source: c.sources.at(kind, index)}
}

func (c *checker) faultf(at place, field, format string, arguments ...any) {
	label := Ref{Kind: at.ref.Kind, Name: shorten(at.ref.Name)}
	c.faults = append(c.faults, Fault{
		File:   at.source.File,
		Line:   at.source.line(field),
		Object: label.String(),
		Text:   fmt.Sprintf(format, arguments...),
	})
}

// expectf reports a fault unless a condition holds.
func (c *checker) expectf(fine bool, at place, field, format string, arguments ...any) {
	if !fine {
		c.faultf(at, field, format, arguments...)
	}
}

// Names stand in paths, metrics and commands, so they hold no character that
// needs escaping there. Models keep the names that callers' tools already send.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (c *checker) collectNames() {
	for _, ref := range c.set.Refs() {
		at := c.place(ref.Ref.Kind, ref.Index, ref.Ref.Name)
		if !namePattern.MatchString(ref.Ref.Name) {
			c.faultf(at, fieldName, "The name must have 1 to 63 lower-case letters, digits and hyphens: write one such as evening-quotes.")
			continue
		}
		if c.known[ref.Ref] {
			c.faultf(at, fieldName, "Another %s has the same name: rename or remove one of them.", ref.Ref.Kind)
		}
		c.known[ref.Ref] = true
	}
}

func (c *checker) refer(at place, field string, kind Kind, name string) {
	if name == "" {
		c.faultf(at, field, "The field %s is missing: name a declared %s.", field, kind)
		return
	}
	if !c.known[Ref{Kind: kind, Name: name}] {
		c.faultf(at, field, "The %s %q isn't declared: declare it or correct the name.", kind, shorten(name))
	}
}

func (c *checker) referAll(at place, field string, kind Kind, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		c.refer(at, field, kind, name)
		c.expectf(!seen[name], at, field, "The %s %q is listed twice: keep one of them.", kind, shorten(name))
		seen[name] = true
	}
}

func (c *checker) checkWorkspaces() {
	for i, workspace := range c.set.Workspaces {
		at := c.place(KindWorkspace, i, workspace.Name)
		c.expectf(workspace.Share >= 0, at, "share", "The share must not be negative: write a weight such as 2, or leave it out for 1.")
		c.expectf(workspace.Rate >= 0, at, "rate", "The rate must not be negative: write tokens per second, or leave it out for no limit.")
		c.expectf(workspace.Burst >= 0, at, "burst", "The burst must not be negative: write a number of tokens.")
	}
}

// checkKeys says nothing of a digest's value: it may be the key itself.
func (c *checker) checkKeys() {
	barred := map[string]bool{}
	for _, withdrawal := range c.set.Withdrawn {
		barred[withdrawal.Digest] = true
	}
	first := map[string]string{}
	for i, key := range c.set.Keys {
		at := c.place(KindKey, i, key.Name)
		c.refer(at, "workspace", KindWorkspace, key.Workspace)
		if !digestPattern.MatchString(key.Digest) {
			c.faultf(at, "digest", "The digest must be the SHA-256 of the key in 64 lower-case hex digits, never the key itself: if a key stood here, withdraw it.")
			continue
		}
		if other, found := first[key.Digest]; found {
			c.faultf(at, "digest", "The key %q has the same digest: give each name a key of its own.", shorten(other))
			continue
		}
		first[key.Digest] = key.Name
		c.expectf(!barred[key.Digest], at, "digest", "The key was withdrawn: remove it here and give the workspace a new key.")
	}
}

func (c *checker) checkClasses() {
	for i, class := range c.set.Classes {
		at := c.place(KindClass, i, class.Name)
		c.expectf(class.Tier >= TierFirst && class.Tier <= TierLast, at, "tier",
			"The tier must be from %d (highest) to %d.", TierFirst, TierLast)
		c.expectf(class.First > 0, at, "first", "The target for the first token must be above zero, such as 400ms.")
		c.expectf(class.Token > 0, at, "token", "The target between tokens must be above zero, such as 50ms.")
		c.expectf(class.Goal > 0 && class.Goal <= 1, at, "goal", "The goal must be above 0 and at most 1, such as 0.95.")
		c.expectf(class.Floor >= 0 && class.Floor <= 1, at, "floor", "The floor must be from 0 to 1: write a share of a pool's slots such as 0.05.")
	}
}

func (c *checker) checkPools() {
	for i, pool := range c.set.Pools {
		at := c.place(KindPool, i, pool.Name)
		c.expectf(pool.Model == "" || modelPattern.MatchString(pool.Model), at, "model",
			"The model's name must have at most 128 letters, digits and . _ : / -: write the name that the engines use.")
		c.expectf(pool.Slots >= 1, at, "slots", "The slots must be at least 1: write how many streams one backend server runs at once.")
		c.expectf(pool.Min >= 0, at, "min", "The field min must not be negative: write how many backend servers each data centre keeps.")
		c.expectf(pool.Max >= 1, at, "max", "The field max must be at least 1: write how many backend servers each data centre may have.")
		c.expectf(pool.Min <= pool.Max, at, "min", "The field min is above max: lower min or raise max.")
		c.expectf(pool.Start >= 0, at, "start", "The start-up time must not be negative: write a duration such as 90s.")
		c.expectf(pool.Cost >= 0, at, "cost", "The cost must not be negative: write money per backend server and hour.")
	}
}
