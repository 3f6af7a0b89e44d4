package object

import (
	"strconv"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"
)

const sound = `kind: workspace
name: jamal
---
kind: key
name: jamal-desk
workspace: jamal
digest: "0000000000000000000000000000000000000000000000000000000000000001"
---
kind: class
name: quotes
tier: 2
first: 400ms
token: 50ms
goal: 0.95
floor: 0.1
---
kind: route
name: garland
model: garland
class: quotes
pools: [near]
---
kind: pool
name: near
model: garland-7b
slots: 16
max: 4
start: 1m30s
`

func load(files map[string]string) (*Declared, []Fault) {
	folder := fstest.MapFS{}
	for name, content := range files {
		folder[name] = &fstest.MapFile{Data: []byte(content)}
	}
	return Load(folder)
}

// expectFaults loads the sound declarations with one more file and compares all
// faults, each given as the beginning of its one-line form.
func expectFaults(t *testing.T, extra string, want ...string) {
	t.Helper()
	_, faults := load(map[string]string{"a.yaml": sound, "b.yaml": extra})
	got := make([]string, 0, len(faults))
	for _, fault := range faults {
		got = append(got, fault.String())
	}
	require.Len(t, got, len(want), strings.Join(got, "\n"))
	for i := range want {
		require.Contains(t, got[i], want[i])
	}
}

func TestLoadSound(t *testing.T) {
	declared, faults := load(map[string]string{"deep/a.yaml": sound, "README.md": "no: [yaml", ".git/x.yaml": "]"})
	require.Empty(t, faults)
	set := declared.Set
	require.Equal(t, 400*time.Millisecond, set.Classes[0].First)
	require.Equal(t, 90*time.Second, set.Pools[0].Start)
	require.Equal(t, "deep/a.yaml", set.Routes[0].File)
	require.Equal(t, 17, declared.Sources[KindRoute][0].Line)
	require.Equal(t, 20, declared.Sources[KindRoute][0].line("class"))
	require.Equal(t, 17, declared.Sources[KindRoute][0].line("workspaces"))
}

func TestLoadFaults(t *testing.T) {
	expectFaults(t, "kind: shop\nname: x", "b.yaml:1: The field kind")
	expectFaults(t, "- x", "b.yaml:1: Each document")
	expectFaults(t, "kind: [", "The text from here on is no valid YAML")
	expectFaults(t, "kind: workspace\nname: x\ncolour: red",
		"b.yaml:3: workspace/x: The field colour is unknown here: use only burst, kind, name, rate, share.")
	expectFaults(t, "kind: workspace\nname: x\nrate: 1\nrate: 2", "b.yaml:4: workspace/x: The field rate stands twice")
	expectFaults(t, "kind: workspace\nname: x\nrate: fast\nshare: -1\nburst: .inf",
		"b.yaml:3: workspace/x: The field rate must be a plain number",
		"b.yaml:4: workspace/x: The share must not",
		"b.yaml:5: workspace/x: The field burst must be")
	expectFaults(t, "kind: workspace\nname: Big Shop", "b.yaml:2: workspace/Big Shop: The name must")
	expectFaults(t, "kind: workspace", "b.yaml:1: workspace/: The name must")
	expectFaults(t, "kind: workspace\nname: &x abc\nrate: *x", "b.yaml:3: workspace/abc: The field rate")
	expectFaults(t, "kind: workspace\nname: jamal", "b.yaml:2: workspace/jamal: Another workspace")
}

func TestCheckKeys(t *testing.T) {
	const head = "kind: key\nname: x\nworkspace: "
	expectFaults(t, head+"jamal\ndigest: \"0000000000000000000000000000000000000000000000000000000000000001\"",
		`b.yaml:4: key/x: The key "jamal-desk" has the same digest`)
	expectFaults(t, head+"gone\ndigest: \"0000000000000000000000000000000000000000000000000000000000000002\"",
		`b.yaml:3: key/x: The workspace "gone" isn't declared`)
}

func TestCheckRanges(t *testing.T) {
	expectFaults(t, "kind: class\nname: c\ntier: 8\nfirst: 0s\ntoken: -1ms\ngoal: 1.1\nfloor: -0.1",
		"b.yaml:2: class/c: No route uses", "b.yaml:3: class/c: The tier", "b.yaml:4: class/c: The target for the first",
		"b.yaml:5: class/c: The target between", "b.yaml:6: class/c: The goal", "b.yaml:7: class/c: The floor")
	expectFaults(t, "kind: pool\nname: p\nslots: 0\nmin: 2\nmax: 1\nstart: -1s\ncost: -3",
		"b.yaml:2: pool/p: No route uses", "b.yaml:3: pool/p: The slots", "b.yaml:4: pool/p: The field min is above",
		"b.yaml:6: pool/p: The start-up", "b.yaml:7: pool/p: The cost")
	expectFaults(t, "kind: pool\nname: p\nslots: 99999999999\nmax: 1\nstart: 5",
		"b.yaml:2: pool/p: No route uses", "b.yaml:3: pool/p: The field slots must be a whole",
		"b.yaml:3: pool/p: The slots", "b.yaml:5: pool/p: The field start must be a duration")
}

func TestCheckRoutes(t *testing.T) {
	const route = "kind: route\nname: r\nclass: quotes\n"
	expectFaults(t, route+"model: lens\npools: [near]\nworkspaces: []", "b.yaml:6: route/r: The field workspaces must be a list")
	expectFaults(t, route+"model: lens\npools: [far, near, near]\nworkspaces: [gone]",
		`b.yaml:5: route/r: The pool "far" isn't declared`, `b.yaml:5: route/r: The pool "near" is listed twice`,
		`b.yaml:6: route/r: The workspace "gone" isn't declared`)
	expectFaults(t, route+"model: lens\nservice: orders\npools: [near]", "b.yaml:4: route/r: The route must have either",
		`b.yaml:6: route/r: The pool "near" runs a model`)
	expectFaults(t, route+"service: orders", "b.yaml:1: route/r: The route has no pool")
	expectFaults(t, route+"model: garland\npools: [near]", `b.yaml:4: route/r: The route "garland" already serves this model for all`)
	expectFaults(t, route+"model: garland\npools: [near]\nworkspaces: [jamal]", "a.yaml:18: route/garland: Every workspace has a route of its own")
	named := route + "model: lens\npools: [near]\nworkspaces: [jamal]\n"
	expectFaults(t, named+"---\n"+strings.Replace(named, "name: r", "name: s", 1),
		`b.yaml:13: route/s: The route "r" already serves this model for the workspace "jamal"`)
}

func TestCheckFloors(t *testing.T) {
	const class = "kind: class\nname: bulk\ntier: 5\nfirst: 9s\ntoken: 1s\ngoal: 0.5\nfloor: %s\n---\nkind: route\nname: r\nmodel: lens\nclass: bulk\npools: [near]"
	expectFaults(t, strings.Replace(class, "%s", "0.9", 1))
	expectFaults(t, strings.Replace(class, "%s", "0.91", 1), "a.yaml:24: pool/near: The floors of the classes")
}

// TestLoadHidesKeys puts a raw key at every place where one may be pasted by
// mistake and looks for it in the messages.
func TestLoadHidesKeys(t *testing.T) {
	const secret = "sk-Invented-4711"
	places := []string{
		"kind: key\nname: x\nworkspace: jamal\ndigest: " + secret,
		"kind: key\nname: x\nworkspace: jamal\ndigest: [" + secret + "]",
		"kind: key\nname: x\nworkspace: jamal\ndigest: *" + secret,
		"kind: key\nname: x\nworkspace: jamal\n" + secret + ": digest",
		"kind: key\nname: x\nworkspace: jamal\ndigest: {" + secret + ": 1",
	}
	for _, extra := range places {
		_, faults := load(map[string]string{"a.yaml": sound, "b.yaml": extra})
		require.NotEmpty(t, faults)
		for _, fault := range faults {
			require.NotContains(t, fault.String(), secret)
		}
	}
}

func TestLoadLimits(t *testing.T) {
	_, faults := load(map[string]string{"a.yaml": sound, "b.yaml": strings.Repeat("#", maxFileBytes+1)})
	require.Len(t, faults, 1)
	require.Contains(t, faults[0].Text, "larger than 1 MiB")
	_, faults = load(map[string]string{"README.md": ""})
	require.Len(t, faults, 1)
	require.Contains(t, faults[0].Text, "declares no object")
	many := map[string]string{}
	for i := range maxFiles + 1 {
		many[strconv.Itoa(i)+".yaml"] = ""
	}
	_, faults = load(many)
	require.Contains(t, faults[0].Text, "too many files")
}
