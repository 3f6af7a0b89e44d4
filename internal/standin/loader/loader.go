package loader

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Settings that a zero field of Loader stands for.
const (
	DefaultOpen    = 1000
	DefaultLongest = time.Minute
	DefaultTimeout = 30 * time.Second
)

// Loader sends a trace. The exported fields are set before Run.
type Loader struct {
	Name    string            // begins the name of every request; unlike that of any other run
	Calls   []Call            // in order of time
	Keys    map[string]string // the secret of each key name
	Target  netip.AddrPort    // the system; a loopback address
	Direct  []netip.AddrPort  // engines that get every call as well, in turn; may be empty
	Model   string            // what the engines call the model; empty means as in the calls
	Open    int               // most calls open at once on each way; further ones are left out
	Longest time.Duration     // no call is sent after this
	Timeout time.Duration     // longest wait for one answer
	Seen    func(Outcome)     // told of each call that has ended, one at a time; may be nil

	client *http.Client
	mutex  sync.Mutex
	tally  Tally
	unsent int
}

// Run sends the trace and waits for the answers, at most Longest and Timeout
// together. Error: ErrInvalid.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	if err := l.check(); err != nil {
		return Report{}, err
	}
	l.client = newClient(l.Open)
	defer l.client.CloseIdleConnections()
	start := time.Now()
	open := map[Way]chan struct{}{
		System: make(chan struct{}, l.Open),
		Direct: make(chan struct{}, l.Open),
	}
	var answers sync.WaitGroup
	for i, call := range l.Calls {
		due := start.Add(call.At)
		if call.At > l.Longest || !sleepUntil(ctx, due) {
			l.skip(len(l.Calls) - i)
			break
		}
		for _, sender := range l.senders(i, call, due) {
			select {
			case open[sender.out.Way] <- struct{}{}:
			default:
				l.skip(1)
				continue
			}
			answers.Add(1)
			go func() {
				defer answers.Done()
				l.send(ctx, sender)
				<-open[sender.out.Way]
			}()
		}
	}
	answers.Wait()
	report := l.tally.Report()
	report.Unsent = l.unsent
	report.Span = time.Since(start)
	return report, nil
}

func (l *Loader) check() error {
	if l.Open <= 0 {
		l.Open = DefaultOpen
	}
	if l.Longest <= 0 {
		l.Longest = DefaultLongest
	}
	if l.Timeout <= 0 {
		l.Timeout = DefaultTimeout
	}
	// A load is for servers on this machine only.
	for _, address := range append([]netip.AddrPort{l.Target}, l.Direct...) {
		if !address.Addr().IsLoopback() {
			return errors.Wrapf(chicoryrock.ErrInvalid, "not a loopback address: %s", address)
		}
	}
	return Check(l.Calls)
}

// senders prepares call number i for each way. The engines get no caller's key.
func (l *Loader) senders(i int, call Call, due time.Time) []*sender {
	number := strconv.Itoa(i)
	through := &sender{client: l.client, target: l.Target, secret: l.Keys[call.Key], call: call, due: due}
	through.id = l.Name + "-s-" + number
	through.out = &Outcome{Way: System, Key: call.Key, Model: call.Model}
	if len(l.Direct) == 0 {
		return []*sender{through}
	}
	straight := &sender{client: l.client, target: l.Direct[i%len(l.Direct)], call: call, due: due}
	if l.Model != "" {
		straight.call.Model = l.Model
	}
	straight.id = l.Name + "-d-" + number
	straight.out = &Outcome{Way: Direct, Key: call.Key, Model: call.Model}
	// The way that goes first has a little less to wait, so the ways take turns.
	if i%2 == 1 {
		return []*sender{straight, through}
	}
	return []*sender{through, straight}
}

func (l *Loader) send(ctx context.Context, sender *sender) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	sender.send(ctx)
	sender.out.Met = sender.out.meets(sender.call)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tally.Add(*sender.out)
	if l.Seen != nil {
		l.Seen(*sender.out)
	}
}

func (l *Loader) skip(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unsent += count
}

// sleepUntil returns false when the context ended before.
func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newClient(conns int) *http.Client {
	dialer := &net.Dialer{Timeout: DefaultTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: conns,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
