package sequence

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var events = Head{Type: mediaType, Framed: true}

// play feeds blocks to a stream, and returns those that pass up to the first error.
func play(s *Stream, blocks ...string) (passed []string, err error) {
	for _, block := range blocks {
		if _, err := s.Next([]byte(block)); err != nil {
			return passed, err
		}
		passed = append(passed, block)
	}
	return passed, nil
}

func TestParse(t *testing.T) {
	cases := []struct {
		block string
		event Event
		err   error
	}{
		{"id: 3\ndata: x\n\n", Event{"3", true}, nil},
		{"id:3\r\ndata\r\n\r\n", Event{"3", true}, nil},
		{"\ufeffdata: x\n\n", Event{}, ErrMalformed},
		{"weight-versions: 2\nid: 3\ndata: x\n\n", Event{"3", true}, nil},
		{"event: done\ndata: y\nretry: 5\n\n", Event{"", true}, nil},
		{"id\ndata: y\n\n", Event{"", true}, nil},
		{": x\n:\nretry: 100\n\n", Event{}, nil},
		{"\n", Event{}, nil},
		{"", Event{}, nil},
		{"weight-versions: 2\n\n", Event{}, ErrMalformed},
		{"id: 3\noops\n\n", Event{}, ErrMalformed},
		{"id: 3\nX-Trace: 9\n\n", Event{"3", false}, nil},
		{"Content-Type: text/plain\r\n\r\n", Event{}, ErrMalformed},
		{"HTTP/1.1 500 Internal Server Error\r\n\r\n", Event{}, ErrMalformed},
		{"{\"error\":1}\n\n", Event{}, ErrMalformed},
		{"data: x\rid: 9\n\n", Event{}, ErrMalformed},
	}
	for _, c := range cases {
		got, err := parse([]byte(c.block))
		require.ErrorIs(t, err, c.err, c.block)
		require.Equal(t, c.event, got, c.block)
	}
}

func TestStreamOfSeveralAnswers(t *testing.T) {
	unframed, typeless, plain := events, events, events
	unframed.Framed, typeless.Type, plain.Type = false, "", "text/plain"
	none := []string{}
	cases := []struct {
		name   string
		after  string
		first  []string // passed before the break; nil for none
		head   Head
		blocks []string // of the answer under test
		passed int      // of these
		err    error    // of the first block that doesn't pass, or of the end
	}{
		{"from the start", "", nil, events, []string{"id: 0\n", "id: 5\n", "id: 90\n"}, 3, nil},
		{"without IDs", "", nil, typeless, []string{"data: a\n", ": x\n", "data: b\n"}, 3, nil},
		{"nothing at all", "", nil, events, none, 0, nil},
		{"nothing before the connection ends", "", nil, unframed, none, 0, ErrBroken},
		{"a connection that ends behind an event", "", nil, unframed, []string{"id: 1\n"}, 1, nil},
		{"another type", "", nil, plain, none, 0, ErrHead},
		{"numbers that go back", "", nil, events, []string{"id: 2\n", "data: x\n", "id: 1\n"}, 2, ErrOrder},
		{"a number again", "", nil, events, []string{"id: 2\n", "id: 2\n"}, 1, ErrOrder},
		{"a name again", "", nil, events, []string{"id: a\n", "id: a\n"}, 2, nil},
		{"a mark at the beginning", "", nil, events, []string{"\ufeffid: 1\n", "id: 2\n"}, 2, nil},
		{"a mark later", "", nil, events, []string{"id: 1\n", "\ufeffid: 2\n"}, 1, ErrMalformed},
		{"a mark at the beginning of the rest", "", []string{"id: 1\n"}, events, []string{"\ufeffid: 2\n"}, 0, ErrMalformed},
		{"the rest", "", []string{"id: 1\n"}, events, []string{": x\n", "id: 3\n", "data: x\n"}, 3, nil},
		{"the rest without a type", "", []string{"id: 1\n"}, typeless, none, 0, ErrHead},
		{"the rest begins without an ID", "", []string{"id: 1\n"}, events, []string{"data: x\n"}, 0, ErrUnplaced},
		{"the rest begins with a name", "", []string{"id: 1\n"}, events, []string{"id: x\n"}, 0, ErrUnplaced},
		{"the rest begins anew", "", []string{"id: 1\n", "id: 2\n"}, events, []string{"id: 1\n"}, 0, ErrOrder},
		{"no rest", "", []string{"id: 1\n"}, events, []string{": x\n"}, 1, ErrEmpty},
		{"a rest that ends with its connection", "", []string{"id: 1\n"}, unframed, []string{"id: 2\n"}, 1, ErrBroken},
		{"a caller's rest", "7", nil, events, []string{"id: 8\n"}, 1, nil},
		{"a caller's rest of nothing", "7", nil, events, none, 0, nil},
		{"a caller's rest begins anew", "7", nil, events, []string{"id: 1\n"}, 0, ErrOrder},
		{"a caller's rest without a type", "7", nil, typeless, none, 0, ErrHead},
		{"a caller's rest without an ID", "7", nil, events, []string{"data: x\n"}, 0, ErrUnplaced},
		{"a caller's rest after a name", "x", nil, events, []string{"id: y\n"}, 1, nil},
		{"a caller's rest with that name", "x", nil, events, []string{"id: x\n"}, 0, ErrUnplaced},
		{"a caller's rest after a name, without an ID", "x", nil, events, []string{"data: y\n"}, 0, ErrUnplaced},
		{"the rest of a caller's rest", "7", []string{"id: 8\n"}, events, []string{"id: 8\n"}, 0, ErrOrder},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Stream{After: c.after}
			if c.first != nil {
				require.NoError(t, s.Begin(events))
				_, err := play(s, c.first...)
				require.NoError(t, err)
				require.True(t, s.GoesOn())
			}
			err := s.Begin(c.head)
			var passed []string
			if err == nil {
				passed, err = play(s, c.blocks...)
			}
			if err == nil {
				err = s.End(false)
			}
			require.ErrorIs(t, err, c.err)
			require.Len(t, passed, c.passed)
			if err == nil {
				require.ErrorIs(t, s.End(true), ErrBroken)
			}
		})
	}
}

// Guards against a second answer being asked for where its place couldn't be checked.
func TestGoesOnOnlyAfterANumber(t *testing.T) {
	cases := []struct {
		blocks []string
		goesOn bool
		last   string
	}{
		{nil, false, ""},
		{[]string{": x\n"}, false, ""},
		{[]string{"data: x\n"}, false, ""},
		{[]string{"id: x\n"}, false, "x"},
		{[]string{"id: 1\n", "data: x\n"}, false, "1"},
		{[]string{"id: 1\n", "data: x\n", "id: 2\n", ": x\n"}, true, "2"},
	}
	for _, c := range cases {
		s := &Stream{}
		require.NoError(t, s.Begin(events))
		_, err := play(s, c.blocks...)
		require.NoError(t, err)
		require.Equal(t, c.goesOn, s.GoesOn(), c.blocks)
		require.Equal(t, c.last, s.Last(), c.blocks)
	}
}

// Guards against a stream of which an event began being taken for an empty one.
func TestStreamThatBeganIsNotEmpty(t *testing.T) {
	s := &Stream{}
	require.NoError(t, s.Begin(events))
	s.Break(true)
	require.NoError(t, s.Begin(events))
	require.ErrorIs(t, s.End(false), ErrEmpty)
}

// Guards against an answer going on with a stream whose place isn't known.
func TestNothingGoesOnBehindAnUnknownPlace(t *testing.T) {
	s := &Stream{}
	require.NoError(t, s.Begin(events))
	_, err := play(s, "id: 1\n", "data: x\n")
	require.NoError(t, err)
	require.ErrorIs(t, s.Begin(events), ErrUnplaced)
}

// Whatever servers answer, what passes is in order, each answer after the first adds to it,
// and an answer that heeds what the caller has is never refused.
func TestAnyAnswersKeepTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Stream{After: rapid.SampledFrom([]string{"", "0", "4"}).Draw(t, "after")}
		before := -1
		if s.After != "" {
			_, _ = fmt.Sscan(s.After, &before)
		}
		last := before
		for answers := rapid.IntRange(1, 6).Draw(t, "answers"); answers > 0; answers-- {
			if s.Events() > 0 && !s.GoesOn() {
				return
			}
			sound := rapid.Bool().Draw(t, "sound")
			head, next, passed := events, last+1, 0
			if !sound {
				head.Type = rapid.SampledFrom([]string{mediaType, mediaType, "", "application/json"}).Draw(t, "type")
				head.Framed = rapid.Bool().Draw(t, "framed")
				next = rapid.IntRange(0, last+3).Draw(t, "next")
			}
			err := s.Begin(head)
			require.False(t, sound && err != nil, "%v", err)
			for n := rapid.IntRange(0, 4).Draw(t, "events"); n > 0 && err == nil; n-- {
				block := fmt.Sprintf("id: %d\ndata: x\n\n", next)
				if !sound {
					block = rapid.SampledFrom([]string{block, block, "data: x\n\n", "oops\n\n", ": x\n\n"}).Draw(t, "block")
				}
				var event Event
				event, err = s.Next([]byte(block))
				require.False(t, sound && err != nil, "%v", err)
				if err != nil || !event.IsEvent() {
					continue
				}
				require.NotContains(t, block, "oops")
				if passed++; strings.HasPrefix(block, "id") {
					require.Greater(t, next, last)
					last = next
				} else {
					require.False(t, passed == 1 && last >= 0 && (s.Events() > 1 || before >= 0), "its place isn't known")
				}
				next++
			}
			if err == nil && s.End(false) == nil && s.Events() > passed {
				require.True(t, passed > 0 && head.Framed, "an end that nothing shows")
			}
		}
	})
}
