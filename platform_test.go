package chicoryrock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// A build is compared by the weights of one model only where these are known.
func TestBuildFor(t *testing.T) {
	cases := []struct{ build, model, want string }{
		{"", "m", ""},
		{"v1", "m", "v1"},
		{"v1 m=1", "m", "v1 m=1"},
		{"v1 m=1", "n", "v1 m=1"},
		{"v1 m=1,n=2", "n", "v1 n=2"},
		{"v1 m=1,n=2", "", "v1 m=1,n=2"},
		{"v1 m=1,n=2", "o", "v1 m=1,n=2"},
		{"v1 m=1,mm=2", "mm", "v1 mm=2"},
		{"of two words m=1,n=2", "m", "of two words m=1"},
		{"v1 a%2Cb=3,n=2", "a,b", "v1 a%2Cb=3"},
		{"v1 0f3a", "m", "v1 0f3a"}, // a digest of many models
	}
	for _, c := range cases {
		require.Equal(t, c.want, chicoryrock.BuildFor(c.build, c.model), c)
		require.Equal(t, c.want, chicoryrock.BuildFor(c.want, c.model), c)
	}
}

// Weights are told from the rest of a version.
func TestHasSoftware(t *testing.T) {
	cases := []struct {
		version, build string
		want           bool
	}{
		{"v1", "v1", true},
		{"v1", "v1 m=1,n=2", true},
		{"v1", "v1 0f3a", true},
		{"v1", "v1.2 m=1", false},
		{"v1", "v1 rc m=1", false},
		{"v1 rc", "v1 rc m=1", true},
		{"v1", "", false},
	}
	for _, c := range cases {
		server := chicoryrock.Server{Version: c.version}
		require.Equal(t, c.want, server.HasSoftware(c.build), c)
	}
}
