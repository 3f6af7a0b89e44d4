package ctl

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

const (
	// reportTimeout bounds the wait for one process's part of a report, which may
	// be large and come over the link between regions.
	reportTimeout = 10 * time.Second
	// maxReplyBytes is the largest answer that is read.
	maxReplyBytes = 16 << 20
	// maxAsked is how many processes are asked at the same time.
	maxAsked = 32
)

// question is one GET that is put to the admin addresses of processes.
type question struct {
	path    string
	query   url.Values
	timeout time.Duration // for each process
}

// reply is what one process answered. Err is an *admin.ProblemError when the process
// itself says why it has no value.
type reply[T any] struct {
	address netip.AddrPort
	value   T
	err     error
}

// askEach puts a question to every process and returns the replies in the order
// of the addresses.
func askEach[T any](ctx context.Context, addresses []netip.AddrPort, q question) []reply[T] {
	client := web.NewClient(nil)
	defer client.CloseIdleConnections()
	service := web.NewService("chicoryctl", client)
	replies := make([]reply[T], len(addresses))
	slots := make(chan struct{}, maxAsked)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			replies[i].address = address
			replies[i].err = askOne(ctx, service, address, q, &replies[i].value)
		})
	}
	group.Wait()
	return replies
}

func askOne(ctx context.Context, service httpc.Service, address netip.AddrPort, q question, value any) error {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address.String(), Path: q.path, RawQuery: q.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := service.DoRequest(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readReply(response)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return problemOf(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return errors.New("its answer cannot be read")
	}
	return nil
}

// readReply reads an answer up to the largest size, which bounds what a compressed
// one may grow to as well.
func readReply(response *http.Response) ([]byte, error) {
	var body io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == "gzip" {
		unpacked, err := gzip.NewReader(response.Body)
		if err != nil {
			return nil, errors.New("its answer cannot be read")
		}
		body = unpacked
	}
	content, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	return content, errors.Wrap(err, "read the answer")
}

// problemOf tells a process that says what is wrong from something that does not
// know the question, such as an agent or another program at that address.
func problemOf(status int, content []byte) error {
	problem := &admin.ProblemError{}
	if err := json.Unmarshal(content, problem); err != nil || problem.Text == "" {
		return errors.Errorf("it answered with status %d", status)
	}
	problem.Status = status
	return problem
}

// missing lists the processes that gave no answer, each with the cause.
func missing[T any](replies []reply[T]) []string {
	var names []string
	for _, one := range replies {
		if one.err != nil {
			names = append(names, fmt.Sprintf("%s (%v)", one.address, one.err))
		}
	}
	return names
}

// expectAdmin says whether there are processes to ask, and complains if not.
func expectAdmin(env *Env, addresses []netip.AddrPort) bool {
	if len(addresses) == 0 {
		_, _ = fmt.Fprintln(env.Err, "-admin is missing: name the processes to ask, such as 127.0.0.1:7101,127.0.0.1:7102.")
		return false
	}
	return true
}

// expectPeriod says whether a report covers any time, and complains if not.
func expectPeriod(env *Env, period time.Duration) bool {
	if period <= 0 {
		_, _ = fmt.Fprintf(env.Err, "-period must be above zero, not %s.\n", period)
		return false
	}
	return true
}
