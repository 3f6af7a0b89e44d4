package routing

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

func joined(parts []Part) []byte {
	var text []byte
	for _, part := range parts {
		text = append(text, part.Data...)
	}
	return text
}

// elements returns so many elements of a list.
func elements(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"r-%d","path":"/%s/","of":[1,{"a":"]},"}]}`, i, strings.Repeat("x", i%150))
	}
	return list
}

func document(list []string) []byte {
	return []byte(`{"version":7, "routes": [` + strings.Join(list, ",\n") + `], "tenants":[{"name":"a"}]}`)
}

// Two versions that differ in one element share all parts but a few.
func TestChangeOfAnElementChangesFewParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := elements(rapid.IntRange(200, 1200).Draw(t, "elements"))
		before := Split(document(list))
		at := rapid.IntRange(0, len(list)-1).Draw(t, "at")
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			list = slices.Delete(list, at, at+1)
		case 1:
			list = slices.Insert(list, at, `{"name":"new"}`)
		default:
			list[at] = `{"name":"other"}`
		}
		text := document(list)
		after := Split(text)
		require.Equal(t, text, joined(after))
		known := make(map[PartDigest]bool)
		for _, part := range before {
			known[part.Digest] = true
		}
		fresh := 0
		for _, part := range after {
			require.LessOrEqual(t, len(part.Data), 2*maxPart)
			if !known[part.Digest] {
				fresh++
			}
		}
		require.LessOrEqual(t, fresh, 3)
	})
}

func TestSplitFindsListsOfTheOutermostObject(t *testing.T) {
	long := `"` + strings.Repeat("y", 3*maxPart) + `"`
	cases := []struct {
		name  string
		text  string
		lists []string // of the parts
	}{
		{"lists", `{"a":[1,2],"b":{"c":[3]},"d":["]"]}`, []string{"", "a", "", "d", ""}},
		{"no element", `{"a":[]}`, []string{"", ""}},
		{"no object", `[1,2]`, []string{""}},
		{"two objects", `{} {}`, []string{""}},
		{"a comma after the last", `{"a":[1,]}`, []string{""}},
		{"a comma too many", `{"a":[1,,2]}`, []string{""}},
		{"brackets that don't match", `{"a":[1}`, []string{""}},
		{"a string without end", `{"a":["`, []string{""}},
		{"an escaped name", `{"\u0061":[1]}`, []string{""}},
		{"a name with a folded letter", `{"ſ":[1]}`, []string{""}},
		{"a long element", `{"a":[` + long + `]}`, []string{"", "", "", "", "", ""}},
	}
	for _, c := range cases {
		parts := Split([]byte(c.text))
		var lists []string
		for _, part := range parts {
			lists = append(lists, part.List)
			require.Equal(t, DigestOfPart(part.Data), part.Digest, c.name)
		}
		require.Equal(t, c.lists, lists, c.name)
		require.True(t, bytes.Equal([]byte(c.text), joined(parts)), c.name)
	}
}

func FuzzSplit(f *testing.F) {
	for _, seed := range []string{string(document(elements(40))), `{"a":[1,]}`, `{"a":[1,2],"a":["\"]"]}`, `{`, `]`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if !bytes.Equal(text, joined(Split(text))) {
			t.Errorf("the parts of %q are not its text", text)
		}
	})
}
