package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// FuzzParse feeds the decoder of what other processes send. What it takes encodes to the
// same bytes again.
func FuzzParse(f *testing.F) {
	message := quota.Message{From: "front-a-1", Number: 7, Members: 6, Entries: []quota.Entry{
		{Server: 1, Limit: 1.5, Age: time.Second, Asks: true, Pledges: true, Wanted: 3, Rate: 2},
		{Server: 2, Limit: chicoryrock.Unlimited, Permits: 2, Interval: time.Second},
	}}
	f.Add(message.Append(nil))
	f.Add([]byte{quota.FormatVersion, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := quota.Parse(data)
		if err != nil {
			return
		}
		again, err := quota.Parse(got.Append(nil))
		require.NoError(t, err)
		require.Equal(t, got, again)
		m := quota.Member{Name: "a"}
		m.SetMembers([]string{got.From}, true, 2)
		m.Receive(start, &got)
		m.Messages(start)
	})
}
