package object

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzLoad feeds the loader with arbitrary files. It must come back with faults or
// with a set that passes the checks also without its sources, as a reader of the
// store makes them.
func FuzzLoad(f *testing.F) {
	f.Add(sound)
	f.Add("kind: key\nname: &a x\nworkspace: *a\n? [b]\n: c\n<<: {kind: pool}")
	f.Add("%YAML 1.1\n--- !!binary x\n...\n---\n? \n")
	f.Add("kind: [route]\n---\nkind: {kind: pool}\n---\nkind: pool\nslots: 0x7fffffff\nmin: 1e3\ncost: .nan")
	f.Add("kind: pool\nname: {}\nfence: []\nsave:\nmin: ''\nstart: ~")
	f.Fuzz(func(t *testing.T, content string) {
		declared, faults := load(map[string]string{"a.yaml": content})
		for _, fault := range faults {
			require.NotEmpty(t, fault.File)
			require.NotEmpty(t, fault.Text)
		}
		if len(faults) == 0 {
			require.Empty(t, Check(declared.Set, nil))
			require.NotNil(t, NewTable(1, declared.Set))
		}
	})
}
