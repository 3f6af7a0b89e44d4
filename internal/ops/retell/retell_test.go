package retell

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

const log = `{"level":"info","event":101,"name":"front-a-1"}
  7.20 front-a-1 {"event":304,"ref":"r1","at":"0s","route":"long","service":"llm","workspace":"w1","version":7,"prompt":9000,"patience":"6s"}
half a line {"event":305,"ref":"r1
{"event":304,"ref":"r2","at":"0s","route":"book","service":"app","workspace":"w2","version":7,"patience":"800ms"}
{"event":305,"ref":"r1","at":"310.123µs","server":"i-1","first":"412.3456ms","unread":2700,"ahead":900,"open":6,"age":"83.1ms"}
not json at all
{"event":306,"ref":"r1","at":"1.2s","server":"i-1","events":3,"error":"read the answer: unexpected EOF"}
{"event":309,"ref":"r1","at":"1.2s","after":"3"}
{"event":305,"ref":"r1","at":"1.3s","server":"i-2","first":"90ms"}
{"event":307,"ref":"r1","at":"2s","status":200,"first":"400ms","pause":"300ms","sent":2,"late":true}
{"event":301,"ref":"r2","at":"48ms","reason":"late","wait":"250ms"}
{"event":304,"ref":"r4","at":"0s","workspace":"w1"}
{"event":320,"ref":"r4","at":"90ms","server":"i-2","slow":"i-1","after":"80ms","first":"20ms"}
{"event":321,"ref":"r4","at":"110ms","server":"i-1","won":true}
{"event":304,"ref":"r5","at":"0s","workspace":"w1","regions":["north","west"]}
{"event":305,"ref":"r5","at":"1ms","server":"i-1","first":"90ms","evacuated":3,"outside":2}
{"event":301,"ref":"r5","at":"2ms","reason":"region","wait":"2s"}
{"event":304,"ref":"r6","at":"0s","workspace":"w1","regions":[]}
{"event":302,"ref":"r3","at":"1.5s","reason":"unknown-outcome","error":"context deadline exceeded"}
`

func TestStories(t *testing.T) {
	cases := []struct {
		ref  string
		want []string
	}{
		{"r1", []string{"workspace w1", "Given to i-1", "expected to begin within 412.3ms", "failed after 3 events: read the answer", "after event 3", "Given to i-2", "status 200, late"}},
		{"r2", []string{"workspace w2", "Refused, not run: The answer could not have begun within the class's target. Told to come back after 250ms."}},
		{"r3", []string{"Failed: The call may have run, but its answer was lost. The last error was: context deadline exceeded."}},
		{"r4", []string{"workspace w1", "i-1 had not answered, so it was sent to i-2 too, expected to begin within 20ms", "attempt on i-1 was cancelled", "No end is written"}},
		{"r5", []string{"Only backend servers in north, west may serve it.", "3 others stand in data centres that are being evacuated. 2 others stand in regions", "in a region that its route and workspace allow"}},
		{"r6", []string{"allow no region in common"}},
	}
	for _, c := range cases {
		story, err := Story(strings.NewReader(log), c.ref)
		require.NoError(t, err)
		text := strings.Join(story, "\n")
		for _, part := range c.want {
			require.Contains(t, text, part)
		}
	}
}

func TestRequestThatIsNotThere(t *testing.T) {
	_, err := Story(strings.NewReader(log), "r9")
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
	_, err = Story(strings.NewReader(""), "r1")
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
}

func TestPredictions(t *testing.T) {
	const played = `{"event":304,"ref":"a","at":"0s","route":"long"}
{"event":305,"ref":"a","at":"10ms","server":"i-1","first":"200ms"}
  3.2 front-1 {"event":307,"ref":"a","at":"2s","first":"310ms","pause":"80ms"}
{"event":304,"ref":"b","at":"0s","route":"long"}
{"event":305,"ref":"b","at":"0s","server":"i-1","first":"100ms"}
{"event":306,"ref":"b","at":"1s"}
{"event":305,"ref":"b","at":"1s","server":"i-2","first":"100ms"}
{"event":307,"ref":"b","at":"2s","first":"1100ms"}
{"event":304,"ref":"c","at":"0s","route":"book"}
half {"event":305,"ref":"c
{"event":305,"ref":"c","at":"0s","first":"20ms"}
{"event":307,"ref":"c","at":"30ms","first":"10ms","pause":"0s"}
{"event":304,"ref":"d","at":"0s","route":"book"}
{"event":301,"ref":"d","at":"1ms","reason":"late"}
`
	got, err := Predictions(strings.NewReader(played))
	require.NoError(t, err)
	ms := time.Millisecond
	require.Equal(t, []Prediction{
		{Route: "book", Requests: 1, Predicted: 20 * ms, Seen: 10 * ms, Ratio: 0.5, Tail: 10 * ms},
		{Route: "long", Requests: 1, Predicted: 200 * ms, Seen: 300 * ms, Ratio: 1.5, Tail: 300 * ms, Pause: 80 * ms},
	}, got)
	_, err = Predictions(strings.NewReader(log))
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
}
