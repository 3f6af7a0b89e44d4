package platform

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Store is a client of the platform's key-value service. Besides the errors of
// chicoryrock.Store, a read fails with ErrInvalid when its answer makes no sense.
type Store struct {
	Address netip.AddrPort
	Client  *http.Client  // nil means a client shared by this package
	Timeout time.Duration // longest wait for an answer; a watch's own wait is added
}

var _ chicoryrock.Store = (*Store)(nil)

// Get implements chicoryrock.Store.
func (s *Store) Get(ctx context.Context, key string) (chicoryrock.Entry, error) {
	var entry chicoryrock.Entry
	call := s.call(PathGet, reads, GetRequest{Key: key}, &entry)
	if err := call.do(ctx); err != nil {
		return chicoryrock.Entry{}, err
	}
	return checked(call, key, entry)
}

// List implements chicoryrock.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]chicoryrock.Entry, error) {
	var answer ListAnswer
	call := s.call(PathList, reads, ListRequest{Prefix: prefix}, &answer)
	call.limit = maxList
	if err := call.do(ctx); err != nil {
		return nil, err
	}
	for i, entry := range answer.Entries {
		ordered := i == 0 || answer.Entries[i-1].Key < entry.Key
		if !strings.HasPrefix(entry.Key, prefix) || entry.Revision == 0 || !ordered {
			return nil, call.fail(chicoryrock.ErrInvalid, errors.Errorf("unasked entry %q", entry.Key))
		}
	}
	return answer.Entries, nil
}

// Put implements chicoryrock.Store.
func (s *Store) Put(ctx context.Context, change chicoryrock.Change) (uint64, error) {
	var answer PutAnswer
	call := s.call(PathPut, writes, change, &answer)
	if err := call.do(ctx); err != nil {
		return 0, err
	}
	if answer.Revision <= change.Prior {
		return 0, call.fail(chicoryrock.ErrUnknownOutcome, errors.New("revision did not grow"))
	}
	return answer.Revision, nil
}

// Delete implements chicoryrock.Store.
func (s *Store) Delete(ctx context.Context, key string, prior uint64) error {
	var answer struct{}
	return s.call(PathDelete, writes, DeleteRequest{Key: key, Prior: prior}, &answer).do(ctx)
}

// Watch implements chicoryrock.Store. A key that was there at revision after and
// is gone ends the wait at once with ErrNotFound.
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (chicoryrock.Entry, error) {
	var entry chicoryrock.Entry
	call := s.call(PathWatch, reads, WatchRequest{Key: key, After: after, Wait: wait}, &entry)
	if call.timeout <= 0 {
		call.timeout = defaultTimeout
	}
	call.timeout += wait
	if err := call.do(ctx); err != nil {
		return chicoryrock.Entry{}, err
	}
	return checked(call, key, entry)
}

func (s *Store) call(path string, effect effect, input, output any) *call {
	return &call{
		address:  s.Address,
		client:   s.Client,
		timeout:  s.Timeout,
		method:   http.MethodPost,
		path:     path,
		effect:   effect,
		conflict: chicoryrock.ErrConflict,
		limit:    maxAnswer,
		input:    input,
		output:   output,
	}
}

// checked refuses an entry that was not asked for.
func checked(call *call, key string, entry chicoryrock.Entry) (chicoryrock.Entry, error) {
	if entry.Key != key || entry.Revision == 0 {
		return chicoryrock.Entry{}, call.fail(chicoryrock.ErrInvalid, errors.Errorf("unasked entry %q", entry.Key))
	}
	return entry, nil
}
