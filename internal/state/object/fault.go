package object

import (
	"cmp"
	"fmt"
	"slices"
)

// Ref names one object of a set.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the form used in messages, e.g. "route/quotes".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Fault is one thing that is wrong with a set of declarations. Text is a plain
// sentence that says what to do. It never holds a value of the field "digest",
// because an operator may have pasted the key itself there.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`             // 0 when the fault belongs to no line
	Object string `json:"object,omitempty"` // e.g. "route/quotes"
	Text   string `json:"text"`
}

// String returns the fault on one line, in the form that editors can jump to.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Object == "" {
		return fmt.Sprintf("%s: %s", place, f.Text)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Object, f.Text)
}

// Source is where an object was declared. The zero Source is that of an object
// which came from elsewhere, for example from the store.
type Source struct {
	File   string
	Line   int
	fields map[string]int
}

// line returns the line of a field, or of the object when the field is missing.
func (s Source) line(field string) int {
	if line, found := s.fields[field]; found {
		return line
	}
	return s.Line
}

// Sources holds the source of every object of a set: Sources[kind][i] belongs
// to the i-th object of that kind.
type Sources map[Kind][]Source

func (s Sources) at(kind Kind, index int) Source {
	if index >= len(s[kind]) {
		return Source{}
	}
	return s[kind][index]
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
