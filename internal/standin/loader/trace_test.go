package loader

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

func expectRead(t *testing.T, text string, want []Call) {
	t.Helper()
	calls, err := Read(strings.NewReader(text))
	if want == nil {
		require.ErrorIs(t, err, chicoryrock.ErrInvalid, text)
		return
	}
	require.NoError(t, err)
	require.Equal(t, want, calls)
}

func TestRead(t *testing.T) {
	const good = `{"at":"1.5s","key":"stall","model":"garland","prompt":3,"output":2,"stream":true}` + "\n"
	call := Call{At: 1500 * time.Millisecond, Key: "stall", Model: "garland", Prompt: 3, Output: 2, Stream: true}
	expectRead(t, good+"\n"+good, []Call{call, call})
	target := Call{Prompt: 1, Output: 1, First: 400 * time.Millisecond, Token: 50 * time.Millisecond}
	expectRead(t, `{"at":"0s","prompt":1,"output":1,"first":"400ms","token":"50ms"}`, []Call{target})
	expectRead(t, `{"at":"0s","prompt":1,"output":1,"first":"quick"}`, nil)
	expectRead(t, good+`{"at":"1s","prompt":1,"output":1}`, nil)
	expectRead(t, `{"at":"-1s","prompt":1,"output":1}`, nil)
	expectRead(t, `{"at":1,"prompt":1,"output":1}`, nil)
	expectRead(t, `{"at":"soon","prompt":1,"output":1}`, nil)
	expectRead(t, `{"at":"0s","prompt":0,"output":1}`, nil)
	expectRead(t, `{"at":"0s","prompt":1,"output":100001}`, nil)
	expectRead(t, `{"at":"0s"`, nil)
	expectRead(t, strings.Repeat(" ", maxLine+1), nil)
}

func TestConstant(t *testing.T) {
	calls := Constant(Call{Prompt: 1, Output: 1}, time.Second, 3)
	require.NoError(t, Check(calls))
	require.Equal(t, 2*time.Second, calls[2].At)
}
