package chicoryrock

import (
	"context"
	"net/netip"
	"time"
)

// KeyValue is one key of the platform's key-value service. Revision grows with
// every write to the store as a whole and therefore also serves as a fencing
// number.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"` // only in what Changes returns
}

// Change is one compare-and-swap. Prior is the revision that the key must have;
// zero means that the key must not exist. A TTL above zero attaches a lease: the
// key vanishes when it has not been written again for that long.
type Change struct {
	Key           string        `json:"key"`
	Value         []byte        `json:"value"`
	PriorRevision uint64        `json:"prior"`
	TTL           time.Duration `json:"ttl,omitempty"`
	// Unconditional writes the key whatever its revision is.
	Unconditional bool `json:"any,omitempty"`
	// Delete removes the key instead of writing it.
	Delete bool `json:"delete,omitempty"`
}

// Store is the platform's key-value service. Errors: ErrNotFound, ErrConflict,
// ErrUnavailable (no effect), ErrUnknownOutcome (may have had an effect).
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads every key below a prefix, in key order.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Put writes one key and returns its new revision.
	Put(ctx context.Context, change Change) (uint64, error)
	// Delete removes one key that still has the prior revision.
	Delete(ctx context.Context, key string, prior uint64) error
	// Watch waits until the key's revision is above after, or until wait has
	// passed, and returns the key as it is then.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (KeyValue, error)
}

// TransactionalStore is a Store whose changes can be followed by prefix and made together.
type TransactionalStore interface {
	Store
	// Commit makes all changes or none, and returns their revision.
	Commit(ctx context.Context, changes []Change) (uint64, error)
	// ListWithRevision reads every key below a prefix, in key order, and the store's revision
	// from which Changes goes on without a gap.
	ListWithRevision(ctx context.Context, prefix string) ([]KeyValue, uint64, error)
	// WatchPrefix waits until something below a prefix has changed after a revision, or
	// until wait has passed, and returns the changes in order and the revision to go
	// on from. Error: ErrHistoryGone when the store no longer knows them all; the
	// prefix is to be read again.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error)
}

// VMState says whether a VM takes new work.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's lagging list of VMs. Address is where the
// process of the system on that VM listens for its peers: an agent's address
// for a backend server, an entry's peer address for an entry VM.
type VM struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"` // "entry" or "agent"
	Pool    string         `json:"pool,omitempty"`
	Centre  string         `json:"centre"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	State   VMState        `json:"state"`
}

// Directory is the platform's lagging list of live and leaving VMs.
type Directory interface {
	// List returns the whole list. Error: ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}

// Order states how many backend servers a pool should have in a data centre.
// A repeat is harmless, because the order states the wanted count.
type Order struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Centre   string `json:"centre"`
	Replicas int    `json:"wanted"`
	Fence    uint64 `json:"fence"`
}

// Orderer is the platform's interface for ordering backend servers. Errors:
// ErrUnavailable, ErrUnknownOutcome, ErrFenced.
type Orderer interface {
	Order(ctx context.Context, order Order) error
}

// UsageReport is the sealed usage of one workspace in one window. Sending the
// same ID again must carry the same figures.
type UsageReport struct {
	ID           string        `json:"id"`
	Workspace    string        `json:"workspace"`
	Start        time.Time     `json:"start"`
	Window       time.Duration `json:"window"`
	Requests     int64         `json:"requests"`
	PromptTokens int64         `json:"prompt"`
	OutputTokens int64         `json:"output"`
	Fence        uint64        `json:"fence"`
}

// Intake is the platform's interface that takes usage reports. Errors:
// ErrUnavailable, ErrUnknownOutcome, ErrConflict (other figures are on file).
type Intake interface {
	Report(ctx context.Context, report UsageReport) error
}

// WindowUsage is the sealed usage of all workspaces in one window. Sending it again must
// carry the same figures.
type WindowUsage struct {
	Window   int64            // its number since the start of 1970, by the windows' length
	Requests map[string]int64 // by workspace, those that began to run
	Fence    uint64
}

// Biller takes the usage of all workspaces of a window at once. Errors:
// ErrUnavailable, ErrUnknownOutcome, ErrFenced.
type Biller interface {
	Bill(ctx context.Context, bill WindowUsage) error
}

// Server is what a backend server says of itself in the platform's store.
type Server struct {
	ID        string         `json:"ID"`
	Service   string         `json:"Service"`
	Address   netip.AddrPort `json:"Address"`
	Centre    string         `json:"Centre"`
	Slots     int            `json:"Slots"`
	Leaving   bool           `json:"Leaving"` // serves on for a while and takes no new work
	ColdFor   time.Duration  `json:"Cold"`    // it is slow for so long yet
	StartedMs int64          `json:"Born"`    // its start, milliseconds since 1970; zero when it doesn't say
	Heartbeat uint64         `json:"Beat"`    // grows while it lives
}
