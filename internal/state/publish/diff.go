package publish

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Action is the kind of a Change.
type Action string

// Actions of a Change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is the difference of one object between two sets.
type Change struct {
	object.Ref
	Action Action  `json:"action"`
	Fields []Field `json:"fields,omitempty"` // of a changed object, sorted by name
}

// Field is a field whose value changed. Old and New are formatted as in declaration
// files; an empty string stands for an omitted field.
type Field struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Diff returns the changes from one set to another, sorted by kind and name. It
// returns none when a set can't be encoded, which can't happen with a checked set.
func Diff(from, to *object.Set) []Change {
	before, err := encodedByRef(from)
	if err != nil {
		return nil
	}
	after, err := encodedByRef(to)
	if err != nil {
		return nil
	}
	var changes []Change
	for ref, content := range after {
		old, found := before[ref]
		switch {
		case !found:
			changes = append(changes, Change{Ref: ref, Action: Added})
		case !bytes.Equal(old, content):
			changes = append(changes, Change{Ref: ref, Action: Changed, Fields: compareFields(old, content)})
		}
	}
	for ref := range before {
		if _, found := after[ref]; !found {
			changes = append(changes, Change{Ref: ref, Action: Removed})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareRefs(a.Ref, b.Ref) })
	return changes
}

func compareFields(old, text json.RawMessage) []Field {
	var before, after map[string]json.RawMessage
	if json.Unmarshal(old, &before) != nil || json.Unmarshal(text, &after) != nil {
		return nil
	}
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var fields []Field
	for name := range names {
		if !bytes.Equal(before[name], after[name]) {
			fields = append(fields, Field{Name: name, Old: formatValue(name, before[name]), New: formatValue(name, after[name])})
		}
	}
	slices.SortFunc(fields, func(a, b Field) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return fields
}

// formatValue formats a value as in a declaration file, where durations have a unit.
func formatValue(name string, value json.RawMessage) string {
	if name == "first" || name == "token" || name == "start" {
		var duration time.Duration
		if json.Unmarshal(value, &duration) == nil {
			return duration.String()
		}
	}
	return string(value)
}

// findClashes returns the objects that two edits of the same base both changed, to
// different values.
func findClashes(base, mine, theirs *object.Set) []object.Ref {
	theirChanges := map[object.Ref]bool{}
	for _, change := range Diff(base, theirs) {
		theirChanges[change.Ref] = true
	}
	differing := map[object.Ref]bool{}
	for _, change := range Diff(theirs, mine) {
		differing[change.Ref] = true
	}
	var both []object.Ref
	for _, change := range Diff(base, mine) {
		if theirChanges[change.Ref] && differing[change.Ref] {
			both = append(both, change.Ref)
		}
	}
	return both
}
