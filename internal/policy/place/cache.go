package place

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// maxCachedParts is how many parts of prompts are kept for each replica, enough for the
// sessions of some minutes.
const maxCachedParts = 4096

const (
	// firstHomeCachedShare is the share of a session's shared parts that is assumed to be
	// cached on its first home replica, the one with its highest rendezvous hash, although
	// this process has sent none there: other processes send the session there.
	firstHomeCachedShare = 0.8
	// secondHomeCachedShare is the same for its second home replica, the one with the
	// next highest hash.
	secondHomeCachedShare = 0.4
)

// prefixCache holds the parts of prompts that a replica probably has in its prefix
// cache, as this process sent them there.
type prefixCache struct {
	parts map[uint64]struct{} // by Part.ID
}

// unreadTokens estimates how many tokens of a prompt the replica has to prefill, and
// how many of these belong to shared parts. CachedShare is the share of the shared
// parts that it is expected to have beyond those in c.
func (c *prefixCache) unreadTokens(request *chicoryrock.Request, cachedShare float64) (unread, shared float64) {
	if len(request.Parts) == 0 {
		return float64(request.PromptTokens), 0
	}
	missing := false
	partTokens := 0
	for i, part := range request.Parts {
		partTokens += part.Tokens
		if _, found := c.parts[part.ID]; !found {
			missing = true
		}
		if !missing {
			continue
		}
		tokens := float64(part.Tokens)
		if i < len(request.Parts)-1 {
			tokens *= 1 - cachedShare
			shared += tokens
		}
		unread += tokens
	}
	return unread + float64(max(request.PromptTokens-partTokens, 0)), shared
}

// add adds the parts of a prompt that the replica prefills. A full cache is emptied
// first.
func (c *prefixCache) add(request *chicoryrock.Request) {
	if c.parts == nil || len(c.parts) > maxCachedParts {
		c.parts = make(map[uint64]struct{})
	}
	for _, part := range request.Parts {
		c.parts[part.ID] = struct{}{}
	}
}

// remove removes the parts of a prompt that the replica did not prefill.
func (c *prefixCache) remove(request *chicoryrock.Request) {
	for _, part := range request.Parts {
		delete(c.parts, part.ID)
	}
}

// sessionPartID returns the ID of the part that identifies a request's session, or other
// prompts with the same beginning: the last but one, as the last is the request's own.
func sessionPartID(request *chicoryrock.Request) (uint64, bool) {
	if len(request.Parts) < 2 {
		return 0, false
	}
	return request.Parts[len(request.Parts)-2].ID, true
}

// hashPair combines the hashes of a session and of a replica's name into a score for
// rendezvous hashing.
func hashPair(id, nameHash uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(id >> (8 * i))
		b[8+i] = byte(nameHash >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}
