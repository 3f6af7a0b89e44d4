package chicoryrock

import (
	"context"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// KeyValue is one key of the platform's key-value service. Revision grows with
// every write to the store as a whole and therefore also serves as a fencing
// token.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"` // only in results of WatchPrefix
}

// Change is one compare-and-swap. PriorRevision is the revision that the key must
// have; zero means that the key must not exist. A TTL above zero attaches a lease:
// the key is removed unless it is written again within that time.
type Change struct {
	Key           string        `json:"key"`
	Value         []byte        `json:"value"`
	PriorRevision uint64        `json:"prior"`
	TTL           time.Duration `json:"ttl,omitempty"`
	// Unconditional writes the key whatever its revision is.
	Unconditional bool `json:"any,omitempty"`
	// MinTTL above zero attaches a lease that other keys share: the key stays for at least
	// that long, and is removed at some time within twice as long.
	MinTTL time.Duration `json:"least,omitempty"`
	// Delete removes the key instead of writing it.
	Delete bool `json:"delete,omitempty"`
}

// Store is the platform's key-value service. Errors: ErrNotFound, ErrConflict,
// ErrUnavailable (no effect), ErrUnknownOutcome (may have taken effect).
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys with a prefix, in key order.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Put writes one key and returns its new revision.
	Put(ctx context.Context, change Change) (uint64, error)
	// Delete removes one key if it still has the prior revision.
	Delete(ctx context.Context, key string, prior uint64) error
	// Watch waits until the key's revision is above after, or until wait has
	// passed, and then returns the key.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (KeyValue, error)
}

// TransactionalStore is a Store that also commits several changes atomically and
// watches all keys with a prefix.
type TransactionalStore interface {
	Store
	// Commit applies all changes or none, and returns their revision.
	Commit(ctx context.Context, changes []Change) (uint64, error)
	// ListWithRevision reads all keys with a prefix, in key order, and returns the
	// revision from which WatchPrefix continues without a gap.
	ListWithRevision(ctx context.Context, prefix string) ([]KeyValue, uint64, error)
	// WatchPrefix waits until a key with a prefix has changed after a revision, or
	// until wait has passed. It returns the changes in order and the revision to
	// continue from. It returns ErrCompacted if the store no longer keeps all of the
	// changes; the prefix must then be listed again.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error)
}

// VMState is whether a VM takes new work.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an element of the platform's list of VMs, which lags behind. Address is
// where this system's process on the VM listens for its peers: the agent's address
// on a backend server, the entry's peer address on an entry VM.
type VM struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"` // "entry" or "agent"
	Pool    string         `json:"pool,omitempty"`
	Centre  string         `json:"centre"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	State   VMState        `json:"state"`
}

// Directory is the platform's list of live and leaving VMs, which lags behind.
type Directory interface {
	// List returns the whole list. Error: ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}

// Order states how many backend servers a pool should have in a data centre.
// Since it states the total, repeating it is harmless.
type Order struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Centre   string `json:"centre"`
	Replicas int    `json:"wanted"`
	Fence    uint64 `json:"fence"` // fencing token of the sender's lease
}

// Orderer is the platform's interface for ordering backend servers. Errors:
// ErrUnavailable, ErrUnknownOutcome, ErrFenced.
type Orderer interface {
	Order(ctx context.Context, order Order) error
}

// UsageReport is the sealed usage of one workspace in one window. A report that
// is sent again under the same ID must carry the same figures.
type UsageReport struct {
	ID           string        `json:"id"`
	Workspace    string        `json:"workspace"`
	Start        time.Time     `json:"start"`
	Window       time.Duration `json:"window"`
	Requests     int64         `json:"requests"`
	PromptTokens int64         `json:"prompt"`
	OutputTokens int64         `json:"output"`
	Fence        uint64        `json:"fence"` // fencing token of the sender's lease
}

// Intake is the platform's interface for usage reports. Errors: ErrUnavailable,
// ErrUnknownOutcome, ErrConflict (a report with other figures exists).
type Intake interface {
	Report(ctx context.Context, report UsageReport) error
}

// WindowUsage is the sealed usage of all workspaces in one window. If it is sent
// again, it must carry the same figures.
type WindowUsage struct {
	Window   int64            // number of the window: Unix time divided by the window's length
	Requests map[string]int64 // by workspace, requests that began to run
	Fence    uint64           // fencing token of the sender's lease
}

// Biller is the platform's interface for the usage of all workspaces in a window.
// Errors: ErrUnavailable, ErrUnknownOutcome, ErrFenced.
type Biller interface {
	Bill(ctx context.Context, usage WindowUsage) error
}

// Server is a backend server's own entry in the platform's store.
type Server struct {
	ID        string         `json:"ID"`
	Service   string         `json:"Service"`
	Address   netip.AddrPort `json:"Address"`
	Centre    string         `json:"Centre"`
	Slots     int            `json:"Slots"`
	Leaving   bool           `json:"Leaving"` // still serves for a while, but takes no new work
	ColdFor   time.Duration  `json:"Cold"`    // how long it will still be slow; nanoseconds in JSON
	StartedMs int64          `json:"Born"`    // start time, milliseconds since 1970; zero if not stated
	Heartbeat uint64         `json:"Beat"`    // grows while the server is alive
	Version   string         `json:"Version"` // of its software; empty if not stated
	// Weights are the versions of its models' weights, NAME=VERSION with commas between; empty
	// if not stated.
	Weights string `json:"Weights,omitempty"`
	// RestUntil is until when it wants no requests from this process, as it has said in an
	// answer; no part of its entry.
	RestUntil time.Time `json:"-"`
}

// Build names what decides on the text that a server writes: its software and its weights. It
// is empty where the software isn't stated.
func (s *Server) Build() string {
	if s.Version == "" || s.Weights == "" {
		return s.Version
	}
	return s.Version + " " + s.Weights
}

// HasSoftware reports whether a build is of the server's software, whatever its weights.
func (s *Server) HasSoftware(build string) bool {
	if build == s.Version {
		return true
	}
	weights, found := strings.CutPrefix(build, s.Version+" ")
	return found && !strings.Contains(weights, " ") // which a version may hold, but no weights
}

// WeightsOf returns the version of a model's weights among those of a server (Server.Weights);
// empty if it isn't known.
func WeightsOf(all, model string) string {
	name := url.QueryEscape(model)
	for one := range strings.SplitSeq(all, ",") {
		if found, version, _ := strings.Cut(one, "="); found == name {
			return version
		}
	}
	return ""
}

// WithWeights returns the weights of a server with another version of a model's; the same where
// the model isn't among them.
func WithWeights(all, model, version string) string {
	old := WeightsOf(all, model)
	if old == "" {
		return all
	}
	name := url.QueryEscape(model) + "="
	models := strings.Split(all, ",")
	for i, one := range models {
		if one == name+old {
			models[i] = name + version
		}
	}
	return strings.Join(models, ",")
}

// BuildFor returns the part of a build that decides on the text of one model: its software and
// that model's weights. It is the whole build where these aren't known.
func BuildFor(build, model string) string {
	end := strings.LastIndexByte(build, ' ') + 1
	if end == 0 || model == "" || !strings.Contains(build[end:], ",") {
		return build
	}
	if version := WeightsOf(build[end:], model); version != "" {
		return build[:end] + url.QueryEscape(model) + "=" + version
	}
	return build
}
