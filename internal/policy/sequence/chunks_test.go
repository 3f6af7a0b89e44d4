package sequence

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCompletionOfSeveralAnswers(t *testing.T) {
	text := func(index int) Chunk { return Chunk{Body: true, Choices: []Choice{{Index: index, Text: true}}} }
	last := func(index int) Chunk { return Chunk{Body: true, Choices: []Choice{{Index: index, Finished: true}}} }
	both := Chunk{Body: true, Choices: []Choice{{Index: 0, Text: true, Finished: true}, {Index: 1, Text: true}}}
	usage, failure := Chunk{Body: true}, Chunk{Failed: true, Body: true}
	cases := []struct {
		name    string
		answers [][]Chunk // the error is that of the last one's last chunk, or of its end
		err     error
	}{
		{"one choice", [][]Chunk{{text(0), last(0), usage}}, nil},
		{"two choices", [][]Chunk{{usage, text(1), text(0), last(0), text(1), last(1)}}, nil},
		{"two choices at once", [][]Chunk{{both, last(1)}}, nil},
		{"text after a reason", [][]Chunk{{last(0), text(0)}}, nil},
		{"no chunk", [][]Chunk{{}}, ErrEmpty},
		{"usage only", [][]Chunk{{usage}}, ErrEmpty},
		{"an open choice", [][]Chunk{{text(0)}}, ErrBroken},
		{"a second, open choice", [][]Chunk{{both}}, ErrBroken},
		{"an error", [][]Chunk{{text(0), failure}}, ErrFailed},
		{"neither choices nor usage", [][]Chunk{{text(0), {}}}, ErrMalformed},
		{"too many choices", [][]Chunk{{{Body: true, Choices: make([]Choice, maxChoices+1)}}}, ErrMalformed},
		{"the rest", [][]Chunk{{text(0)}, {text(0), last(0)}}, nil},
		{"the rest of one of two choices", [][]Chunk{{both}, {last(1)}}, nil},
		{"no rest where none is left", [][]Chunk{{text(0), last(0)}, {}}, nil},
		{"the last chunk again", [][]Chunk{{text(0), last(0)}, {last(0), usage}}, nil},
		{"no rest", [][]Chunk{{text(0)}, {usage}}, ErrBroken},
		{"a choice goes on after its end", [][]Chunk{{both}, {text(0)}}, ErrOrder},
	}
	for _, c := range cases {
		var completion Completion
		var err error
		for _, answer := range c.answers {
			completion.Begin()
			for _, chunk := range answer {
				require.NoError(t, err, c.name)
				err = completion.Next(chunk)
			}
		}
		if err == nil {
			err = completion.End()
		}
		require.ErrorIs(t, err, c.err, c.name)
	}
}

func TestCheckLine(t *testing.T) {
	sound := []string{"data: x", "data", "id:1", "event: y", "retry: 5", "weight-versions: 2", "X-Trace: 9", ": x", ""}
	for _, line := range append(sound, "HTTP/1.1 200 OK", "Internal Server Error: x", `{"error":1}`, "<p>", "oops", "da ta: x") {
		err := CheckLine([]byte(line))
		if slices.Contains(sound, line) {
			require.NoError(t, err)
		} else {
			require.ErrorIs(t, err, ErrMalformed, line)
		}
	}
}

// Whatever engines send, the end is believed once all choices that passed have finished, and
// what is refused changes nothing.
func TestCompletionEndsWithItsChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var completion Completion
		finished := map[int]bool{}
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			completion.Begin()
			before := map[int]bool{}
			for index, done := range finished {
				before[index] = done
			}
			for range rapid.IntRange(0, 6).Draw(t, "chunks") {
				chunk := Chunk{Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0, Body: true}
				sound := !chunk.Failed
				for range rapid.IntRange(0, 2).Draw(t, "choices") {
					choice := Choice{rapid.IntRange(0, 2).Draw(t, "index"), rapid.Bool().Draw(t, "text"), rapid.Bool().Draw(t, "finished")}
					chunk.Choices = append(chunk.Choices, choice)
					sound = sound && (!choice.Text || !before[choice.Index])
				}
				require.Equal(t, sound, completion.Next(chunk) == nil)
				for _, choice := range chunk.Choices {
					if sound {
						finished[choice.Index] = finished[choice.Index] || choice.Finished
					}
				}
			}
			open := len(finished) == 0
			for _, done := range finished {
				open = open || !done
			}
			require.Equal(t, open, completion.End() != nil)
		}
	})
}
