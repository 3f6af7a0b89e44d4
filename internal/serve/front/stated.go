package front

import (
	"net/http"
	"strconv"
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
	said := c.statedWeights(replica, platform.Weights(answer.Header))
	if answer.Status == http.StatusMisdirectedRequest {
		// Without an expectation another server at the address has answered. With one, this server
		// may have, and its next answer tells if it was the other.
		if c.expected != "" {
			c.front.Observe(time.Now(), startOf(replica), said)
		}
		return
	}
	rest, err := platform.ReadRest(answer.Status, answer.Header)
	if err != nil {
		c.front.Log.Write(event.RestBad, zap.String("server", replica.Name), zap.String("ref", c.ask.ID), zap.Error(err))
	}
	said.Leaving, said.Rest = platform.Leaves(answer.Header), rest
	c.front.Observe(time.Now(), startOf(replica), said)
}

// statedWeights returns a statement of the weights of the request's model, if they aren't those
// that a backend server is believed to have.
func (c *call) statedWeights(replica *chicoryrock.Replica, stated string) servers.Statement {
	if _, err := strconv.ParseUint(stated, 10, 64); err != nil {
		return servers.Statement{}
	}
	if believed := chicoryrock.WeightsOf(replica.Weights, c.request.Model); believed == "" || stated == believed {
		return servers.Statement{}
	}
	return servers.Statement{Model: c.request.Model, Weights: stated}
}

func startOf(replica *chicoryrock.Replica) servers.Start {
	return servers.Start{ID: replica.Name, Address: replica.Address, StartedMs: replica.StartedMs}
}
