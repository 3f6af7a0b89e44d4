package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// HeaderUsage set to "1" asks for usage at the end of a stream. Besides it the
// engine understands wire.RequestID, which names the request and so its words,
// wire.Tier and wire.Resume.
const HeaderUsage = "X-Chicory-Usage"

// request is the body of a chat or text completion, as far as the engine reads it.
type request struct {
	Model               string        `json:"model"`
	Messages            []message     `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

// text returns the whole prompt.
func (r *request) text() string {
	texts := make([]string, 0, len(r.Messages))
	for _, message := range r.Messages {
		texts = append(texts, message.Content)
	}
	return r.Prompt + strings.Join(texts, "\n")
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// work is one request as the engine runs it.
type work struct {
	id     string // names the request
	chat   bool
	tier   int
	first  int // first token that is made
	total  int // tokens of the whole answer
	prompt int // tokens of the prompt
	stream bool
	usage  bool // a stream ends with its usage
	model  string
	text   string // the whole prompt
	source source // the request whose answer is sent; another one only when answers cross
}

// source is the request that an answer belongs to.
type source struct {
	id    string
	print string // word.Fingerprint of the prompt
}

func newWork(header http.Header, body *request, chat bool, output int) *work {
	text := body.text()
	work := &work{
		id:     header.Get(wire.RequestID),
		chat:   chat,
		tier:   number(header, wire.Tier),
		first:  number(header, wire.Resume),
		total:  output,
		prompt: len(strings.Fields(text)),
		stream: body.Stream,
		usage:  body.StreamOptions.IncludeUsage || header.Get(HeaderUsage) == "1",
		model:  body.Model,
		text:   text,
	}
	switch {
	case body.MaxCompletionTokens > 0:
		work.total = body.MaxCompletionTokens
	case body.MaxTokens > 0:
		work.total = body.MaxTokens
	}
	if work.id == "" {
		work.id = word.Fingerprint(text)
	}
	work.source = source{id: work.id, print: word.Fingerprint(text)}
	return work
}

// number returns a header's value as a number, or zero.
func number(header http.Header, name string) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil || value < 0 {
		return 0
	}
	return value
}

// answer is a whole answer or one chunk of a stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Print   string   `json:"system_fingerprint"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage counts the tokens of this answer. A resumed one counts only those that
// it made itself.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finish is the reason with which every whole answer ends.
var finish = "stop"

func (w *work) whole(text string, made int) answer {
	answer := w.frame("text_completion", "chat.completion")
	answer.Usage = w.used(made)
	choice := choice{FinishReason: &finish}
	if w.chat {
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	answer.Choices = append(answer.Choices, choice)
	return answer
}

// chunk is one part of a stream; the last one has no text and a finish reason.
func (w *work) chunk(text string, last bool) answer {
	answer := w.frame("text_completion", "chat.completion.chunk")
	choice := choice{}
	if w.chat {
		choice.Delta = &delta{Content: text}
	} else {
		choice.Text = text
	}
	if last {
		choice.FinishReason = &finish
	}
	answer.Choices = append(answer.Choices, choice)
	return answer
}

func (w *work) frame(text, chat string) answer {
	prefix, object := "cmpl-", text
	if w.chat {
		prefix, object = "chatcmpl-", chat
	}
	return answer{ID: prefix + w.source.id, Object: object, Model: w.model, Print: w.source.print, Choices: []choice{}}
}

func (w *work) used(made int) *usage {
	return &usage{PromptTokens: w.prompt, CompletionTokens: made, TotalTokens: w.prompt + made}
}
