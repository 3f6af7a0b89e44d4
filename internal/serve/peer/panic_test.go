package peer

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// A message that a handler stumbles over is answered with an error. The process and
// the connection go on.
func TestHandlerThatPanicsAnswersWithAnError(t *testing.T) {
	server := &Server{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: event.NewNop(),
		Handlers: map[string]Handler{
			"bad":  func(context.Context, json.RawMessage) (any, error) { panic("unexpected") },
			"fine": func(context.Context, json.RawMessage) (any, error) { return "fine", nil },
		},
	}
	address, err := server.Open()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	client := &Client{Address: address}
	defer client.Close()
	for range 3 {
		require.ErrorContains(t, client.Call(ctx, "bad", nil, nil), "panicked")
		var result string
		require.NoError(t, client.Call(ctx, "fine", nil, &result))
		require.Equal(t, "fine", result)
	}
	cancel()
	require.NoError(t, <-ended)
}
