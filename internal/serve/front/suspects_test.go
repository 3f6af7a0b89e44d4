package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

// A request asks for the trial of a ban that has just begun, and the ban is enforced while the
// answer is on its way. Guards against ending the request that the trial is granted to: the
// trial counts, and nothing is sent. One that isn't granted it is refused.
func TestBanSparesTheRequestThatAsksForItsTrial(t *testing.T) {
	cases := []struct {
		name    string
		granted bool
	}{
		{"granted", true},
		{"another request has it", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			const pool, part = "llm", 0xbad
			f := &Front{Log: event.NewNop(), Process: "front-a-1"}
			var evidence suspect.Evidence
			for i := range 5 {
				evidence.Failures = append(evidence.Failures, suspect.Failure{
					ID: fmt.Sprint("crash-", i), Server: fmt.Sprint("gone-", i), Workspace: "w1", Crash: true,
					Parts: []suspect.Fingerprint{suspect.PartFingerprint(pool, part)},
					Age:   suspect.Age(time.Minute + time.Duration(i)*time.Second),
				})
			}
			f.Told(time.Now(), evidence)
			c := &call{
				front: f, print: &suspect.Fingerprint{1},
				request: &chicoryrock.Request{Pool: pool, Workspace: "w1", Parts: []chicoryrock.Part{{ID: part}, {ID: 2}}},
			}
			c.ctx, c.stop = context.WithCancelCause(t.Context())
			defer c.stop(nil)
			f.suspects.addCall(c)
			asked := 0
			f.Trial = func(ctx context.Context, _ *suspect.Ban, id string, candidate *suspect.Candidate) bool {
				asked++
				if !test.granted {
					id = "another"
				}
				offered, due := f.OfferTrial(time.Now(), id, candidate)
				f.RecordTrials(time.Now(), offered)
				require.True(t, due)
				f.enforceBans(time.Now())
				require.NoError(t, ctx.Err(), "the request is ended while it asks")
				return test.granted
			}
			err := c.maySend()
			require.Equal(t, 1, asked)
			if test.granted {
				require.NoError(t, err)
				require.NoError(t, c.ctx.Err())
				return
			}
			require.Error(t, err)
			require.False(t, f.suspects.calls[c].safe, "a ban may end it again")
		})
	}
}
