package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// Guards against answers of agents that state the software only, as older ones do.
func TestOnlyAnAnswerOfTheBuildGoesOn(t *testing.T) {
	cases := []struct {
		load string
		fits bool
	}{
		{`{"slots":4,"build":"1 garland=1"}`, true},
		{`{"slots":4,"build":"1 garland=2"}`, false},
		{`{"slots":4,"build":"1"}`, false},
		{`{"slots":4,"version":"1 garland=1"}`, false},
		{`{"slots":4,"version":"1"}`, false},
		{"", false},
	}
	for _, c := range cases {
		header := http.Header{wire.Load: {c.load}}
		call := &call{request: &chicoryrock.Request{Version: "1 garland=1"}, sent: 2}
		require.Equal(t, c.fits, call.keepBuild(header) == nil, c.load)
	}
	first := &call{request: &chicoryrock.Request{}}
	require.NoError(t, first.keepBuild(http.Header{wire.Load: {`{"slots":4,"version":"1"}`}}))
	require.Empty(t, first.build)
}
