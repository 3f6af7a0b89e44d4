package object

import (
	"math"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// setter puts a value into one field of an object. It returns what the field
// must be when the value doesn't fit, and an empty string otherwise. It never
// returns the value itself.
type setter[T any] func(value *yaml.Node, object *T) string

var workspaceFields = map[string]setter[Workspace]{
	fieldName: text(func(w *Workspace) *string { return &w.Name }),
	"share":   number(func(w *Workspace) *float64 { return &w.Share }),
	"rate":    number(func(w *Workspace) *float64 { return &w.Rate }),
	"burst":   number(func(w *Workspace) *float64 { return &w.Burst }),
}

var keyFields = map[string]setter[Key]{
	fieldName:   text(func(k *Key) *string { return &k.Name }),
	"workspace": text(func(k *Key) *string { return &k.Workspace }),
	"digest":    text(func(k *Key) *string { return &k.Digest }),
}

var classFields = map[string]setter[Class]{
	fieldName: text(func(c *Class) *string { return &c.Name }),
	"tier":    whole(func(c *Class) *int { return &c.Tier }),
	"first":   duration(func(c *Class) *time.Duration { return &c.First }),
	"token":   duration(func(c *Class) *time.Duration { return &c.Token }),
	"goal":    number(func(c *Class) *float64 { return &c.Goal }),
	"floor":   number(func(c *Class) *float64 { return &c.Floor }),
}

var routeFields = map[string]setter[Route]{
	fieldName:    text(func(r *Route) *string { return &r.Name }),
	"model":      text(func(r *Route) *string { return &r.Model }),
	"service":    text(func(r *Route) *string { return &r.Service }),
	"class":      text(func(r *Route) *string { return &r.Class }),
	"pools":      names(func(r *Route) *[]string { return &r.Pools }),
	"workspaces": names(func(r *Route) *[]string { return &r.Workspaces }),
	"repeat":     boolean(func(r *Route) *bool { return &r.Repeat }),
}

var poolFields = map[string]setter[Pool]{
	fieldName: text(func(p *Pool) *string { return &p.Name }),
	"model":   text(func(p *Pool) *string { return &p.Model }),
	"slots":   whole(func(p *Pool) *int { return &p.Slots }),
	"min":     whole(func(p *Pool) *int { return &p.Min }),
	"max":     whole(func(p *Pool) *int { return &p.Max }),
	"start":   duration(func(p *Pool) *time.Duration { return &p.Start }),
	"cost":    number(func(p *Pool) *float64 { return &p.Cost }),
	"fence":   boolean(func(p *Pool) *bool { return &p.Fence }),
	"save":    boolean(func(p *Pool) *bool { return &p.Save }),
}

func isScalar(value *yaml.Node, tags ...string) bool {
	if value.Kind != yaml.ScalarNode {
		return false
	}
	for _, tag := range tags {
		if value.Tag == tag {
			return true
		}
	}
	return false
}

func text[T any](field func(*T) *string) setter[T] {
	return func(value *yaml.Node, object *T) string {
		if !isScalar(value, "!!str") || value.Value == "" {
			return "text (put it in quotes if it looks like a number)"
		}
		*field(object) = value.Value
		return ""
	}
}

func number[T any](field func(*T) *float64) setter[T] {
	const want = "a plain number, such as 0.95 or 200"
	return func(value *yaml.Node, object *T) string {
		if !isScalar(value, "!!int", "!!float") {
			return want
		}
		parsed, err := strconv.ParseFloat(value.Value, 64)
		if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
			return want
		}
		*field(object) = parsed
		return ""
	}
}

func whole[T any](field func(*T) *int) setter[T] {
	const want = "a whole number, such as 3"
	return func(value *yaml.Node, object *T) string {
		if !isScalar(value, "!!int") {
			return want
		}
		parsed, err := strconv.ParseInt(value.Value, 10, 32)
		if err != nil {
			return want
		}
		*field(object) = int(parsed)
		return ""
	}
}

func duration[T any](field func(*T) *time.Duration) setter[T] {
	const want = "a duration with its unit, such as 400ms, 2s or 3m"
	return func(value *yaml.Node, object *T) string {
		if !isScalar(value, "!!str") {
			return want
		}
		parsed, err := time.ParseDuration(value.Value)
		if err != nil {
			return want
		}
		*field(object) = parsed
		return ""
	}
}

func boolean[T any](field func(*T) *bool) setter[T] {
	return func(value *yaml.Node, object *T) string {
		if !isScalar(value, "!!bool") {
			return "true or false"
		}
		*field(object) = value.Value[0] == 't' || value.Value[0] == 'T'
		return ""
	}
}

// names reads a list of names. An empty list is refused: in the field
// "workspaces" it would open a route to all, which must be said by leaving the
// field out and not by emptying a list.
func names[T any](field func(*T) *[]string) setter[T] {
	const want = "a list with at least one name, such as [garland]; leave the field out if it isn't needed"
	return func(value *yaml.Node, object *T) string {
		if value.Kind != yaml.SequenceNode || len(value.Content) == 0 {
			return want
		}
		list := make([]string, 0, len(value.Content))
		for _, item := range value.Content {
			if !isScalar(item, "!!str") || item.Value == "" {
				return want
			}
			list = append(list, item.Value)
		}
		*field(object) = list
		return ""
	}
}
