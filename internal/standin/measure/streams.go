package measure

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
)

const (
	// keyName is the name under which a load knows its key.
	keyName = "key"
	// endless is more tokens than a stream makes before it is cancelled.
	endless = loader.MaxOutput
	// spread is the time between the openings of two streams.
	spread = 5 * time.Millisecond
	// openPoll is how often an engine is asked whether the streams run.
	openPoll = 50 * time.Millisecond
	// promptTokens is the length of every prompt.
	promptTokens = 50
)

// streams are open streams in the background.
type streams struct {
	cancel context.CancelFunc
	ended  chan error
	engine Process
}

// openStreams opens streams of the agent's model through an entry and waits until
// all of them run on its engine. Agent number i stands for model number i.
func (m *Measure) openStreams(ctx context.Context, entry, agent *Process, model string, count int) (*streams, error) {
	ctx, cancel := context.WithCancel(ctx)
	opened := &streams{cancel: cancel, ended: make(chan error, 1), engine: *agent}
	call := loader.Call{Key: keyName, Model: model, Prompt: promptTokens, Output: endless, Stream: true}
	load := &loader.Loader{
		Name:    "open-" + model,
		Calls:   loader.Constant(call, spread, count),
		Keys:    map[string]string{keyName: secretOf(0, 0)},
		Target:  entry.Listen,
		Open:    max(count, 1),
		Timeout: longest,
	}
	go func() {
		_, err := load.Run(ctx)
		opened.ended <- err
	}()
	if err := opened.awaitRunning(ctx, count); err != nil {
		cancel()
		return nil, errors.Wrapf(err, "open %d streams", count)
	}
	return opened, nil
}

func (s *streams) awaitRunning(ctx context.Context, count int) error {
	return await(ctx, openPoll, func() (bool, error) {
		var load chicoryrock.Load
		if err := get(ctx, s.engine.Engine, "/load", &load); err != nil {
			return false, err
		}
		return load.Running == count, errors.Errorf("%d run", load.Running)
	})
}

// close cancels the streams and waits until the engine has none.
func (s *streams) close(ctx context.Context) error {
	s.cancel()
	if err := <-s.ended; err != nil {
		return err
	}
	return s.awaitRunning(ctx, 0)
}
