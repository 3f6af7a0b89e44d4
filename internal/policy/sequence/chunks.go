package sequence

import "github.com/pkg/errors"

// maxChoices bounds what is kept of a completion.
const maxChoices = 1 << 14

// ErrFailed is for an error that a server states within a stream.
var ErrFailed = errors.WithMessage(ErrForeign, "error of the server")

// Completion is what the caller of one request has of a streamed completion. Its chunks bear
// no numbers; what shows the end is that each choice has given a reason to finish (OpenAI's
// API reference, chat completion chunk object). The zero value is a completion from its start.
type Completion struct {
	answers int         // that have begun
	choices map[int]int // the answer in which each choice finished, from 1; 0 while it is open
	open    int         // choices that haven't finished
}

// Chunk is what a chunk says of its place in a completion.
type Chunk struct {
	Failed  bool // it states an error
	Body    bool // it has choices, which may be none, or usage
	Choices []Choice
}

// Choice is a part of one of a completion's choices.
type Choice struct {
	Index    int
	Text     bool // it adds text
	Finished bool // it gives a reason to finish
}

// Begin starts the next answer.
func (c *Completion) Begin() { c.answers++ }

// Next takes in a chunk of the answer, which may be passed on unless there is an error:
// ErrFailed, ErrMalformed or ErrOrder.
func (c *Completion) Next(chunk Chunk) error {
	switch {
	case chunk.Failed:
		return errors.WithStack(ErrFailed)
	case !chunk.Body:
		return errors.Wrap(ErrMalformed, "neither choices nor usage")
	case len(c.choices)+len(chunk.Choices) > maxChoices:
		return errors.Wrapf(ErrMalformed, "more than %d choices", maxChoices)
	}
	for _, choice := range chunk.Choices {
		// Some engines give the reason before the last text, but none goes on with a choice
		// that an earlier answer has finished.
		if finished := c.choices[choice.Index]; choice.Text && finished > 0 && finished < c.answers {
			return errors.Wrapf(ErrOrder, "text of choice %d after its end", choice.Index)
		}
	}
	for _, choice := range chunk.Choices {
		c.add(choice)
	}
	return nil
}

func (c *Completion) add(choice Choice) {
	if c.choices == nil {
		c.choices = make(map[int]int)
	}
	finished, known := c.choices[choice.Index]
	if !known {
		c.open++
		c.choices[choice.Index] = 0
	}
	if choice.Finished && finished == 0 {
		c.open--
		c.choices[choice.Index] = c.answers
	}
}

// End takes in an answer's statement that the stream is complete, which it is unless there is
// an error: ErrEmpty or ErrBroken.
func (c *Completion) End() error {
	if len(c.choices) == 0 {
		return errors.WithStack(ErrEmpty)
	}
	if c.open > 0 {
		return errors.Wrapf(ErrBroken, "%d of %d choices open", c.open, len(c.choices))
	}
	return nil
}
