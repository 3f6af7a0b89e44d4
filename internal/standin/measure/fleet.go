package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/platform"
)

// The roles of the stand-ins in a fleet, besides member.RoleEntry and
// member.RoleAgent.
const (
	roleStore  = "store"
	roleVMs    = "vms"
	roleEngine = "engine"
)

const (
	// centre and region are where all processes of a fleet stand.
	centre = "centre"
	region = "region"
	// readyPoll is how often a starting process is asked for its status.
	readyPoll = 100 * time.Millisecond
)

// Process is one process that the script has started.
type Process struct {
	Role   string         `json:"role"`
	Name   string         `json:"name"`
	PID    int            `json:"pid"`
	Pool   string         `json:"pool,omitempty"`   // agents only
	Listen netip.AddrPort `json:"listen"`           // callers', entries' or the platform's calls
	Peer   netip.AddrPort `json:"peer,omitempty"`   // entries only
	Admin  netip.AddrPort `json:"admin,omitempty"`  // entries and agents
	Engine netip.AddrPort `json:"engine,omitempty"` // agents only
	Log    string         `json:"log"`              // file that the process writes its events to
}

// Fleet is all processes that the script has started.
type Fleet struct {
	Processes []Process
}

// ReadFleet reads a fleet, one JSON object a line. Error: chicoryrock.ErrInvalid.
func ReadFleet(reader io.Reader) (*Fleet, error) {
	fleet := &Fleet{}
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		var process Process
		if err := json.Unmarshal(lines.Bytes(), &process); err != nil {
			return nil, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
		}
		if !process.Listen.Addr().IsLoopback() {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "%s does not listen on a loopback address", process.Name)
		}
		fleet.Processes = append(fleet.Processes, process)
	}
	for _, role := range []string{roleStore, roleVMs, member.RoleEntry} {
		if len(fleet.of(role)) == 0 {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "the fleet has no %s", role)
		}
	}
	return fleet, nil
}

func (f *Fleet) of(roles ...string) []Process {
	var found []Process
	for i := range f.Processes {
		if slices.Contains(roles, f.Processes[i].Role) {
			found = append(found, f.Processes[i])
		}
	}
	return found
}

// own returns the processes of the system itself.
func (f *Fleet) own() []Process { return f.of(member.RoleEntry, member.RoleAgent) }

func (f *Fleet) store() *platform.Store {
	return &platform.Store{Address: f.of(roleStore)[0].Listen}
}

// vms describes the fleet to the list of VMs, with agents that do not run added
// for the list's length.
func (f *Fleet) vms(ghosts int) []chicoryrock.VM {
	var list []chicoryrock.VM
	for _, process := range f.own() {
		vm := chicoryrock.VM{
			Name: process.Name, Role: process.Role, Pool: process.Pool, Centre: centre, Region: region,
			Address: process.Listen, State: chicoryrock.VMLive,
		}
		if process.Role == member.RoleEntry {
			vm.Address = process.Peer
		}
		list = append(list, vm)
	}
	for i := range ghosts {
		list = append(list, chicoryrock.VM{
			Name: fmt.Sprintf("ghost-%d", i), Role: member.RoleAgent, Pool: poolName(models - 1), Centre: centre, Region: region,
			Address: netip.MustParseAddrPort("127.0.0.1:9"), State: chicoryrock.VMLive,
		})
	}
	return list
}

// awaitRevision waits until a process has a revision in force.
func (p *Process) awaitRevision(ctx context.Context, revision uint64, interval time.Duration) error {
	err := await(ctx, interval, func() (bool, error) {
		var status admin.Status
		err := get(ctx, p.Admin, "/status", &status)
		return status.Revision >= revision, err
	})
	return errors.Wrap(err, p.Name)
}

func get(ctx context.Context, address netip.AddrPort, path string, output any) error {
	return exchange(ctx, http.MethodGet, address, path, "", output)
}

// exchange makes one call of the operators' or a stand-in's interface.
func exchange(ctx context.Context, method string, address netip.AddrPort, path, body string, output any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", path, response.StatusCode)
	}
	if output == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(response.Body).Decode(output))
}

// client keeps one connection to each process of the largest fleet.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
