package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

const (
	// serviceName is the name under which httpc would keep a breaker.
	serviceName = "loader"
	// maxAnswer bounds an answer that is not streamed, bytes.
	maxAnswer = 16 << 20
	// done is the data of the event that ends a stream.
	done = "[DONE]"
	// filler is a word of a prompt: one token.
	filler = "lot "
)

func init() {
	breaker.NoBreakerFor(serviceName)
}

// body is the body of a chat completion.
type body struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answer is a chat completion or one chunk of its stream.
type answer struct {
	Print   string   `json:"system_fingerprint"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Message message `json:"message"`
	Delta   message `json:"delta"`
}

// sender sends one call one way.
type sender struct {
	client *http.Client
	target netip.AddrPort
	secret string // the caller's key; empty sends none
	call   Call
	id     string
	due    time.Time
	out    *Outcome
	text   strings.Builder
	prompt string
	last   time.Time
}

// send sends the call and fills the outcome.
func (s *sender) send(ctx context.Context) {
	s.out.Sent = time.Since(s.due)
	s.prompt = strings.Repeat(filler, s.call.Prompt-1) + s.id
	request, err := s.request(ctx)
	if err != nil {
		s.out.Err = err
		return
	}
	response, err := httpc.NewServiceWithClient(serviceName, s.client).DoRequest(request)
	if err != nil {
		s.out.Err = lost(ctx, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.out.Status = response.StatusCode
	s.out.Reason = response.Header.Get(wire.Reason)
	s.out.Ref = response.Header.Get(wire.RequestID)
	if response.StatusCode != http.StatusOK {
		return
	}
	s.out.Err = s.read(ctx, response)
	s.out.Whole = time.Since(s.due)
}

func (s *sender) request(ctx context.Context) (*http.Request, error) {
	encoded, err := json.Marshal(body{
		Model:     s.call.Model,
		Messages:  []message{{Role: "user", Content: s.prompt}},
		MaxTokens: s.call.Output,
		Stream:    s.call.Stream,
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	url := "http://" + s.target.String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// The transport may not send the call again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.RequestID, s.id)
	if s.secret != "" {
		request.Header.Set("Authorization", "Bearer "+s.secret)
	}
	return request, nil
}

// read reads the answer and checks that it is whole and the call's own.
func (s *sender) read(ctx context.Context, response *http.Response) error {
	var err error
	if s.call.Stream {
		err = s.readStream(ctx, response)
	} else {
		err = s.readWhole(ctx, response)
	}
	if err != nil {
		return err
	}
	// The system may have given the request a name of its own.
	ref := s.out.Ref
	if ref == "" {
		ref = s.id
	}
	return word.Check(ref, s.text.String(), s.call.Output)
}

func (s *sender) readWhole(ctx context.Context, response *http.Response) error {
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return lost(ctx, err)
	}
	return s.take(encoded)
}

func (s *sender) readStream(ctx context.Context, response *http.Response) error {
	events := ssestream.NewDecoder(response)
	for events.Next() {
		data := bytes.TrimSpace(events.Event().Data)
		if string(data) == done {
			return nil
		}
		if err := s.take(data); err != nil {
			return err
		}
	}
	if err := events.Err(); err != nil {
		return lost(ctx, err)
	}
	return errors.WithStack(chicoryrock.ErrTruncated)
}

// take takes in a whole answer or one chunk of a stream.
func (s *sender) take(encoded []byte) error {
	var read answer
	if err := json.Unmarshal(encoded, &read); err != nil {
		return errors.Wrap(chicoryrock.ErrTruncated, err.Error())
	}
	if read.Print != "" && read.Print != word.Fingerprint(s.prompt) {
		return errors.WithStack(word.ErrForeign)
	}
	for _, choice := range read.Choices {
		s.count(choice.Message.Content + choice.Delta.Content)
	}
	return nil
}

// count takes in text and, in a stream, the time of its arrival.
func (s *sender) count(text string) {
	if text == "" {
		return
	}
	s.text.WriteString(text)
	s.out.Tokens += len(strings.Fields(text))
	if !s.call.Stream {
		return
	}
	now := time.Now()
	if s.out.First == 0 {
		s.out.First = now.Sub(s.due)
	} else {
		s.out.Gaps = append(s.out.Gaps, now.Sub(s.last))
	}
	s.last = now
}

func lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Wrap(ErrLate, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}
