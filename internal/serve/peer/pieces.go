package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// pieceMethod returns a piece of another method's answer.
	pieceMethod = "piece"
	// pieceBytes is the size of a piece: at 400 ms for each, an answer of any size arrives over
	// 40 KB/s.
	pieceBytes = 16 << 10
	// maxAnswers bounds the long answers that are kept. While there are so many, others are
	// turned away, so that those that have begun come to an end.
	maxAnswers = 64
	// answerTime is how long an answer is kept of which no piece is asked for.
	answerTime = 5 * time.Second
)

// pieceParams asks for a piece of an answer.
type pieceParams struct {
	Answer uint64          `json:"answer"` // chosen by the caller
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	From   int             `json:"from,omitempty"`
}

// pieceResult is a piece of a compressed answer, or a short answer as it is.
type pieceResult struct {
	Whole json.RawMessage `json:"whole,omitempty"`
	Size  int             `json:"size,omitempty"` // of the compressed answer
	Data  []byte          `json:"data,omitempty"`
	AgeMs int64           `json:"ageMs,omitempty"` // how long ago the answer was made
}

// partial is an answer of which pieces have come.
type partial struct {
	params pieceParams
	packed []byte
}

// CallInPieces is Call for answers of any size. The limit is that of each piece, and the pieces
// that have come are kept for the next call with the same parameters. The method's handler may
// run more than once. It returns when the answer was made.
func (c *Client) CallInPieces(ctx context.Context, limit time.Duration, method string, params, result any) (time.Time, error) {
	encoded, err := json.Marshal(params)
	if err != nil {
		return time.Time{}, errors.WithStack(err)
	}
	p := c.takePartial(method, encoded)
	data, made, err := c.takePieces(ctx, limit, p)
	switch {
	case err == nil:
		return made, decode(data, result)
	case UnknownMethod(err):
		err = c.CallWithin(ctx, limit, method, params, result)
		return time.Now(), err
	case errors.Is(err, chicoryrock.ErrUnavailable), errors.Is(err, chicoryrock.ErrUnknownOutcome):
		c.keepPartial(p)
	}
	return time.Time{}, err
}

// takePieces returns an answer once all of it has come, and when it was made.
func (c *Client) takePieces(ctx context.Context, limit time.Duration, p *partial) ([]byte, time.Time, error) {
	for {
		p.params.From = len(p.packed)
		var piece pieceResult
		if err := c.CallWithin(ctx, limit, pieceMethod, &p.params, &piece); err != nil {
			return nil, time.Time{}, err
		}
		made := time.Now().Add(-time.Duration(piece.AgeMs) * time.Millisecond)
		if piece.Whole != nil {
			return piece.Whole, made, nil
		}
		whole, err := p.add(&piece)
		if err != nil {
			return nil, time.Time{}, err
		}
		if whole {
			data, err := Unpack(p.packed)
			return data, made, err
		}
	}
}

// add adds a piece, and reports whether it was the last one. Error: chicoryrock.ErrInvalid.
func (p *partial) add(piece *pieceResult) (whole bool, err error) {
	if piece.Size > maxMessage || len(piece.Data) == 0 || len(p.packed)+len(piece.Data) > piece.Size {
		return false, errors.Wrapf(chicoryrock.ErrInvalid, "%d bytes from %d of %d of an answer", len(piece.Data), len(p.packed), piece.Size)
	}
	p.packed = append(p.packed, piece.Data...)
	return len(p.packed) == piece.Size, nil
}

// takePartial returns what has come of a call's answer.
func (c *Client) takePartial(method string, params json.RawMessage) *partial {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.partials[method]
	delete(c.partials, method)
	if p != nil && bytes.Equal(p.params.Params, params) {
		return p
	}
	return &partial{params: pieceParams{Answer: rand.Uint64(), Method: method, Params: params}}
}

func (c *Client) keepPartial(p *partial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partials == nil {
		c.partials = make(map[string]*partial)
	}
	c.partials[p.params.Method] = p
}

// answers are those that callers take in pieces.
type answers struct {
	mutex sync.Mutex
	byID  map[uint64]*answer
}

// answer is one that is being made, or has been made and is too long for one piece.
type answer struct {
	used   time.Time
	made   chan struct{} // closed when it has been
	madeAt time.Time
	kept   bool
	whole  json.RawMessage
	packed []byte
	err    error
}

// get returns the answer that a caller asks a piece of, and whether it is to be made. Error:
// chicoryrock.ErrNotFound for one that isn't kept any more.
func (a *answers) get(now time.Time, asked *pieceParams) (found *answer, isNew bool, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if known := a.byID[asked.Answer]; known != nil {
		known.used = now
		return known, false, nil
	}
	if asked.From > 0 {
		return nil, false, errors.Wrapf(chicoryrock.ErrNotFound, "answer of %s", asked.Method)
	}
	if a.byID == nil {
		a.byID = make(map[uint64]*answer)
	}
	begun := &answer{used: now, made: make(chan struct{})}
	a.byID[asked.Answer] = begun
	return begun, true, nil
}

// keep keeps an answer that has been made, if it is long. Error: chicoryrock.ErrUnavailable
// while there are too many.
func (a *answers) keep(now time.Time, id uint64, made *answer) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	kept := 0
	for other, one := range a.byID {
		switch {
		case one.kept && now.Sub(one.used) > answerTime:
			delete(a.byID, other)
		case one.kept:
			kept++
		}
	}
	made.kept = made.packed != nil && kept < maxAnswers
	if made.kept {
		return nil
	}
	delete(a.byID, id)
	if made.packed != nil {
		return errors.Wrapf(chicoryrock.ErrUnavailable, "%d long answers are being taken", kept)
	}
	return nil
}

// answerPiece answers CallInPieces.
func (s *Server) answerPiece(ctx context.Context, data json.RawMessage) (any, error) {
	var asked pieceParams
	if err := json.Unmarshal(data, &asked); err != nil {
		return nil, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
	}
	handler, found := s.Handlers[asked.Method]
	if !found {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "no method %q", asked.Method)
	}
	answer, isNew, err := s.answers.get(time.Now(), &asked)
	if err != nil {
		return nil, err
	}
	if isNew {
		s.prepare(ctx, &asked, answer, handler)
	}
	select {
	case <-answer.made:
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	age := time.Since(answer.madeAt).Milliseconds()
	switch {
	case answer.err != nil:
		return nil, answer.err
	case answer.packed == nil:
		return pieceResult{Whole: answer.whole, AgeMs: age}, nil
	case asked.From < 0 || asked.From >= len(answer.packed):
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "byte %d of %d", asked.From, len(answer.packed))
	}
	to := min(asked.From+pieceBytes, len(answer.packed))
	return pieceResult{Size: len(answer.packed), Data: answer.packed[asked.From:to], AgeMs: age}, nil
}

// prepare has a handler make an answer. One that is too long for a piece is compressed and kept.
func (s *Server) prepare(ctx context.Context, asked *pieceParams, made *answer, handler Handler) {
	defer close(made.made)
	made.err = errors.Errorf("%s panicked", asked.Method)
	defer func() {
		if err := s.answers.keep(time.Now(), asked.Answer, made); err != nil {
			made.err = err
		}
	}()
	made.madeAt = time.Now()
	result, err := handler(ctx, asked.Params)
	if err == nil {
		made.whole, err = json.Marshal(result)
	}
	if err == nil && len(made.whole) > pieceBytes {
		made.packed, err = Pack(made.whole)
		made.whole = nil
	}
	made.err = err
}
