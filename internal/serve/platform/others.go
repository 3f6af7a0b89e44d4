package platform

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Directory is a client of the platform's list of VMs. Errors: ErrUnavailable,
// ErrInvalid.
type Directory struct {
	Address netip.AddrPort
	Client  *http.Client // nil means a client shared by this package
	Timeout time.Duration

	mutex sync.Mutex
	tag   string // entity tag of list
	list  []chicoryrock.VM
}

var _ chicoryrock.Directory = (*Directory)(nil)

// List implements chicoryrock.Directory.
func (d *Directory) List(ctx context.Context) ([]chicoryrock.VM, error) {
	var list []chicoryrock.VM
	call := &call{
		address:  d.Address,
		client:   d.Client,
		timeout:  d.Timeout,
		method:   http.MethodGet,
		path:     PathVMs,
		effect:   reads,
		conflict: chicoryrock.ErrInvalid,
		limit:    maxList,
		output:   &list,
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	call.tag = d.tag
	if err := call.do(ctx); err != nil {
		return nil, err
	}
	if !call.same {
		d.tag = call.tag
		d.list = list
	}
	return d.list, nil
}

// Orderer is a client of the platform's ordering of backend servers.
type Orderer struct {
	Address netip.AddrPort
	Client  *http.Client // nil means a client shared by this package
	Timeout time.Duration
}

var _ chicoryrock.Orderer = (*Orderer)(nil)

// Order implements chicoryrock.Orderer.
func (o *Orderer) Order(ctx context.Context, order chicoryrock.Order) error {
	call := &call{
		address:  o.Address,
		client:   o.Client,
		timeout:  o.Timeout,
		path:     PathOrder,
		conflict: chicoryrock.ErrFenced,
		input:    order,
	}
	return call.send(ctx)
}

// Intake is a client of the platform's intake of usage reports.
type Intake struct {
	Address netip.AddrPort
	Client  *http.Client // nil means a client shared by this package
	Timeout time.Duration
}

var _ chicoryrock.Intake = (*Intake)(nil)

// Report implements chicoryrock.Intake.
func (i *Intake) Report(ctx context.Context, report chicoryrock.UsageReport) error {
	call := &call{
		address:  i.Address,
		client:   i.Client,
		timeout:  i.Timeout,
		path:     PathReport,
		conflict: chicoryrock.ErrConflict,
		input:    report,
	}
	return call.send(ctx)
}

// send runs a call that changes something at its receiver and is answered by an
// empty object. Its errors are *Error.
func (c *call) send(ctx context.Context) error {
	var answer struct{}
	c.method = http.MethodPost
	c.effect = writes
	c.limit = maxAnswer
	c.output = &answer
	return c.do(ctx)
}
