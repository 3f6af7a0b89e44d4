package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// caller is who sent a request, taken from the key alone.
type caller struct {
	secret    string // the key itself; it must not leave this process
	key       *object.Key
	workspace *object.Workspace
	table     *object.Table
}

// admit finds the caller's workspace from its key and nothing else.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, request *chicoryrock.Request) (caller, bool) {
	table := e.Tables.Table()
	if table == nil || !e.Safe(time.Now()) {
		e.refuse(w, request, chicoryrock.ReasonStaleConfig, "")
		return caller{}, false
	}
	if e.draining.Load() {
		e.refuse(w, request, chicoryrock.ReasonShutdown, "")
		return caller{}, false
	}
	headers := r.Header.Values("Authorization")
	if len(headers) != 1 || !strings.HasPrefix(headers[0], "Bearer ") {
		e.refuse(w, request, chicoryrock.ReasonUnknownKey, "Exactly one bearer key is expected.")
		return caller{}, false
	}
	secret := strings.TrimPrefix(headers[0], "Bearer ")
	digest := object.Digest(secret)
	key, workspace, err := table.Authenticate(digest)
	if err != nil {
		e.refuseKey(w, request, table, digest)
		return caller{}, false
	}
	request.Workspace = workspace.Name
	return caller{secret: secret, key: key, workspace: workspace, table: table}, true
}

// refuseKey tells a withdrawn key from one that nobody ever had.
func (e *Entry) refuseKey(w http.ResponseWriter, request *chicoryrock.Request, table *object.Table, digest string) {
	if !table.Withdrawn(digest) {
		e.refuse(w, request, chicoryrock.ReasonUnknownKey, "")
		return
	}
	withdrawal := withdrawalOf(table, digest)
	request.Workspace = withdrawal.Workspace
	e.Observer.refusedUnder(time.Now(), request, chicoryrock.ReasonWithdrawn, keyRule(table, withdrawal.Key))
	e.answer(w, request, wire.Refusal{Reason: chicoryrock.ReasonWithdrawn, Outcome: wire.OutcomeNotRun})
}

// readBody takes in a request's body whole. Where it can't, it refuses the request. The
// hold is to be released in any case.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, request *chicoryrock.Request, who caller) ([]byte, *reserve.Hold, bool) {
	claim := memory.Claim{
		Owner: memory.Owner{Address: reserve.AddressOf(r), Workspace: who.workspace.Name},
		Kind:  memory.Body, Bytes: firstRead, Wait: roomWait,
	}
	if r.ContentLength >= 0 {
		claim.Bytes = min(r.ContentLength, e.Settings.MaxBody) + 1
	}
	size := claim.Bytes
	claim.Bytes += requestBytes
	control := http.NewResponseController(w)
	hold, err := e.Room.Reserve(r.Context(), claim, func() {
		// It ends the reading. Where that fails the body ends by itself.
		_ = control.SetReadDeadline(request.Arrived)
	})
	var data []byte
	if err == nil {
		data, err = hold.ReadAll(r.Context(), roomWait, make([]byte, 0, size), e.Settings.MaxBody+1, http.MaxBytesReader(w, r.Body, e.Settings.MaxBody))
	}
	if err == nil {
		err = hold.Grow(r.Context(), copies*int64(len(data)), roomWait)
	}
	if moved := hold.Move(memory.Running, nil); moved != nil {
		err = moved
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, reserve.ErrNoRoom):
		w.Header().Set("Connection", "close")
		e.refuse(w, request, chicoryrock.ReasonNoRoom, "")
		hold.Release()
		reserve.Linger(w, r, e.Settings.MaxBody)
		return nil, hold, false
	case errors.As(err, &tooLarge):
		e.refuse(w, request, chicoryrock.ReasonTooLarge, "")
		return nil, hold, false
	case err != nil:
		e.refuse(w, request, chicoryrock.ReasonMalformed, "The body ended early.")
		return nil, hold, false
	}
	if carriesKey(r, data, who.secret) {
		e.refuse(w, request, chicoryrock.ReasonMalformed, "The key may stand in the Authorization header only.")
		return nil, hold, false
	}
	return data, hold, true
}

// carriesKey says whether the caller's key stands anywhere in what would go on to
// a backend server. No list of headers helps against a key in a path or a body.
func carriesKey(r *http.Request, body []byte, secret string) bool {
	if bytes.Contains(body, []byte(secret)) || strings.Contains(r.URL.RequestURI(), secret) {
		return true
	}
	path, err := url.PathUnescape(r.URL.RequestURI())
	if err != nil || strings.Contains(path, secret) {
		return true
	}
	for _, name := range passed {
		if strings.Contains(r.Header.Get(name), secret) {
			return true
		}
	}
	return false
}
