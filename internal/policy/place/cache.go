package place

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// cacheParts is how many parts of prompts are remembered for each replica, for
// the sessions of some minutes.
const cacheParts = 4096

// firstTrust and secondTrust are the shares of a shared part that a session's homes
// are taken to have in memory although this process has sent none there: others
// have.
const firstTrust, secondTrust = 0.8, 0.4

// cache is what a replica probably has in memory of what this process sent there.
type cache struct {
	parts map[uint64]struct{}
}

// unread returns how many tokens of a prompt the replica has to read, and how
// many of these are shared parts.
func (c *cache) unread(request *chicoryrock.Request, trust float64) (unread, shared float64) {
	if len(request.Parts) == 0 {
		return float64(request.PromptTokens), 0
	}
	missing := false
	sum := 0
	for i, part := range request.Parts {
		sum += part.Tokens
		if _, found := c.parts[part.ID]; !found {
			missing = true
		}
		if !missing {
			continue
		}
		tokens := float64(part.Tokens)
		if i < len(request.Parts)-1 {
			tokens *= 1 - trust
			shared += tokens
		}
		unread += tokens
	}
	return unread + float64(max(request.PromptTokens-sum, 0)), shared
}

// add notes that a replica reads a prompt.
func (c *cache) add(request *chicoryrock.Request) {
	if c.parts == nil || len(c.parts) > cacheParts {
		c.parts = make(map[uint64]struct{})
	}
	for _, part := range request.Parts {
		c.parts[part.ID] = struct{}{}
	}
}

// remove takes back that a replica reads a prompt, as it has not.
func (c *cache) remove(request *chicoryrock.Request) {
	for _, part := range request.Parts {
		delete(c.parts, part.ID)
	}
}

// session returns the part of a prompt that its session or subject shares: the
// last but one, as the last is the request's own.
func session(request *chicoryrock.Request) (uint64, bool) {
	if len(request.Parts) < 2 {
		return 0, false
	}
	return request.Parts[len(request.Parts)-2].ID, true
}

func mix(id, rank uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(id >> (8 * i))
		b[8+i] = byte(rank >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}
