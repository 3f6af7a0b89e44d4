package backup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

func stream(prompt, output int) *chicoryrock.Request {
	return &chicoryrock.Request{PromptTokens: prompt, MaxOutputTokens: output, MaxTokenGap: 300 * time.Millisecond}
}

// Guards against copies of what needs none, or of what would fill the links: each is
// memory and bandwidth that other requests lack.
func TestWanted(t *testing.T) {
	engines := Engines{Enabled: true, TransferTime: 5 * time.Microsecond}
	resumable, plain, repeatable := stream(800, 300), stream(800, 300), stream(800, 300)
	resumable.Resumable = true
	plain.MaxTokenGap = 0
	repeatable.Idempotent = true
	cases := []struct {
		name    string
		engines Engines
		request *chicoryrock.Request
		want    bool
	}{
		{"a stream that would be lost", engines, stream(800, 300), true},
		{"engines that keep no copies", Engines{TransferTime: time.Microsecond}, stream(800, 300), false},
		{"a stream that may be resumed", engines, resumable, false},
		{"a request that may be sent again", engines, repeatable, false},
		{"no stream", engines, plain, false},
		{"a long prompt with a short answer", engines, stream(9000, 300), false},
		{"what takes too long to copy", engines, stream(9000, 6000), false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, c.engines.Wanted(c.request), c.name)
	}
}

// Guards against copies on servers that can't keep them or lose them with the original.
func TestChoose(t *testing.T) {
	primary := &Server{Name: "a", Centre: "kalupur", Region: "ahmedabad", Load: 0.5}
	near := func(name string, load float64) Server {
		return Server{Name: name, Centre: "kalupur", Region: "ahmedabad", Load: load}
	}
	unfit, long, other, abroad := near("b", 0.1), near("b", 0.3), near("b", 0.1), near("b", 0.1)
	unfit.Unfit, long.LongPrompts = true, true
	other.Centre, abroad.Region = "manek-chowk", "surat"
	cases := []struct {
		name    string
		servers []Server
		want    string
	}{
		{"the one with the lowest load", []Server{near("b", 0.4), near("c", 0.2)}, "c"},
		{"never the one that runs it", []Server{*primary}, ""},
		{"none that is unfit", []Server{unfit, near("c", 0.7)}, "c"},
		{"none that needs its memory itself", []Server{near("b", 0.9)}, ""},
		{"rather one without long prompts", []Server{long, near("c", 0.4)}, "c"},
		{"rather one in the same data centre", []Server{other, near("c", 0.5)}, "c"},
		{"another data centre before none", []Server{other, near("c", 0.9)}, "b"},
		{"never another region", []Server{abroad}, ""},
	}
	for _, c := range cases {
		i, found := Choose(primary, c.servers)
		got := ""
		if found {
			got = c.servers[i].Name
		}
		require.Equal(t, c.want, got, c.name)
	}
}

// Guards against a request that runs on more servers than its route allows: it may go on
// after a crash, of which nothing is left, but not whenever a connection breaks.
func TestTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		t    Takeover
		want bool
	}{
		{"the server is down", Takeover{Allowed: 1, Down: true, Closed: true}, true},
		{"only the connection broke", Takeover{Allowed: 1, Closed: true}, false},
		{"the connection broke and the route allows another server", Takeover{Allowed: 2, Closed: true}, true},
		{"the server may still work on it", Takeover{Allowed: 2}, false},
		{"nobody waits for it any more", Takeover{Allowed: 1, Down: true, Deadline: now}, false},
	}
	for _, c := range cases {
		c.t.Now = now
		if c.t.Deadline.IsZero() {
			c.t.Deadline = now.Add(time.Second)
		}
		require.Equal(t, c.want, c.t.Allows(), c.name)
	}
}
