package front

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
)

// observe takes in what a backend server says of itself in an answer.
func (c *call) observe(replica *chicoryrock.Replica, answer *upstream.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		return // another server answered
	}
	start := servers.Start{ID: replica.Name, Address: replica.Address, StartedMs: replica.StartedMs}
	rest, err := platform.ReadRest(answer.Status, answer.Header)
	if err != nil {
		c.front.Log.Write(event.RestBad, zap.String("server", replica.Name), zap.String("ref", c.ask.ID), zap.Error(err))
	}
	c.front.Observe(time.Now(), start, servers.Statement{Leaving: platform.Leaves(answer.Header), Rest: rest})
}
