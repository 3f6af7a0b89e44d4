package platform

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Paths of the platform's key-value service. All are called by POST.
const (
	PathGet    = "/get"
	PathList   = "/list"
	PathPut    = "/put"
	PathDelete = "/delete"
	PathWatch  = "/watch"
)

// Paths of the platform's other interfaces.
const (
	PathVMs    = "/vms"
	PathOrder  = "/order"
	PathReport = "/report"
)

// GetRequest asks for one key. The answer is a chicoryrock.Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for all keys below a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListAnswer holds the entries in key order.
type ListAnswer struct {
	Entries []chicoryrock.Entry `json:"entries"`
}

// PutAnswer tells the revision that a write got. A write is requested by a
// chicoryrock.Change.
type PutAnswer struct {
	Revision uint64 `json:"revision"`
}

// DeleteRequest asks to remove a key that still has the prior revision.
type DeleteRequest struct {
	Key   string `json:"key"`
	Prior uint64 `json:"prior"`
}

// WatchRequest waits until a key's revision is above After, at most for Wait. The
// answer is a chicoryrock.Entry.
type WatchRequest struct {
	Key   string        `json:"key"`
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait"`
}
