package object

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fields that every kind of object has.
const (
	fieldKind = "kind"
	fieldName = "name"
)

// document turns one YAML document into one object of the set.
func (l *loader) document(file string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.fault(file, node.Line, "", "Each document must be one object with fields such as kind and name: separate objects by a line with ---.")
		return
	}
	kind := Kind("")
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == fieldKind {
			kind = Kind(node.Content[i+1].Value)
		}
	}
	set := l.declared.Set
	switch kind {
	case KindWorkspace:
		object := decode(l, file, node, kind, workspaceFields)
		object.File = file
		set.Workspaces = append(set.Workspaces, object)
	case KindKey:
		object := decode(l, file, node, kind, keyFields)
		object.File = file
		set.Keys = append(set.Keys, object)
	case KindClass:
		object := decode(l, file, node, kind, classFields)
		object.File = file
		set.Classes = append(set.Classes, object)
	case KindRoute:
		object := decode(l, file, node, kind, routeFields)
		object.File = file
		set.Routes = append(set.Routes, object)
	case KindPool:
		object := decode(l, file, node, kind, poolFields)
		object.File = file
		set.Pools = append(set.Pools, object)
	default:
		l.fault(file, node.Line, "", "The field kind must be one of workspace, key, class, route, pool.")
	}
}

// decode fills one object field by field, so that every wrong field of it is
// reported and not only the first. It notes where the object stands.
func decode[T any](l *loader, file string, node *yaml.Node, kind Kind, fields map[string]setter[T]) T {
	var object T
	source := Source{File: file, Line: node.Line, fields: map[string]int{}}
	label := Ref{Kind: kind, Name: nameOf(node)}.String()
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if _, seen := source.fields[name.Value]; seen {
			l.fault(file, name.Line, label, fmt.Sprintf("The field %s stands twice: keep one of them.", printable(name.Value)))
			continue
		}
		source.fields[name.Value] = name.Line
		if name.Value == fieldKind {
			continue
		}
		set, known := fields[name.Value]
		if !known {
			l.fault(file, name.Line, label, unknownField(name.Value, fields))
			continue
		}
		if want := set(value, &object); want != "" {
			l.fault(file, value.Line, label, fmt.Sprintf("The field %s must be %s.", name.Value, want))
		}
	}
	l.declared.Sources[kind] = append(l.declared.Sources[kind], source)
	return object
}

func nameOf(node *yaml.Node) string {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == fieldName && node.Content[i+1].Kind == yaml.ScalarNode {
			return shorten(node.Content[i+1].Value)
		}
	}
	return ""
}

func unknownField[T any](name string, fields map[string]setter[T]) string {
	names := []string{fieldKind}
	for known := range fields {
		names = append(names, known)
	}
	slices.Sort(names)
	return fmt.Sprintf("The field %s is unknown here: use only %s.", printable(name), strings.Join(names, ", "))
}

var wordPattern = regexp.MustCompile(`^[a-z_]{1,24}$`)

// printable returns a field's name as far as it is fit to be printed. A name
// that is no plain word could be a key pasted at the wrong place.
func printable(name string) string {
	if !wordPattern.MatchString(name) {
		return "at this line"
	}
	return name
}

const maxShown = 64 // characters of a name shown in a message

func shorten(name string) string {
	runes := []rune(name)
	if len(runes) <= maxShown {
		return name
	}
	return string(runes[:maxShown]) + "…"
}
