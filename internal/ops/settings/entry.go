package settings

import (
	"io"
	"net/netip"
	"time"
)

const (
	// defaultMaxBody is the largest request body, bytes.
	defaultMaxBody = 16 << 20
	// defaultDrain is how long a shutdown waits for open requests. It is long,
	// because a planned stop must not cut a stream.
	defaultDrain = 30 * time.Minute
	// defaultWindow is the length of a usage window.
	defaultWindow = 5 * time.Minute
	// minWindow is the shortest usage window: parts of it are timers.
	minWindow = time.Second
	// bodyRoom is how many times its largest body an entry's memory must be: half of it is
	// for callers, half of that for connections, and a body is there three times.
	bodyRoom = 12
	// defaultSlots is how many streams a backend server runs at once.
	defaultSlots = 16
)

// ParseEntry reads an entry's settings from the command line and from the
// environment (a list of NAME=value, as os.Environ returns it). A flag goes
// before its variable.
//
// Errors: flag.ErrHelp after -h, with the help written to out; FaultErrors, which
// matches chicoryrock.ErrInvalid and lists every fault.
func ParseEntry(args, environ []string, out io.Writer) (*Entry, error) {
	entry := &Entry{Common: Common{Drain: defaultDrain, Window: defaultWindow}, MaxBody: defaultMaxBody}
	p := newParser("chicoryrock entry")
	common := p.common(&entry.Common)
	listen := p.address(&entry.Listen, "listen", "address where callers connect")
	callerCert := p.text(&entry.CallerCert, "callercert", "PEM file", "certificate chain shown to callers; needed unless -plain")
	callerKey := p.text(&entry.CallerKey, "callerkey", "PEM file", "private key of the certificate shown to callers; needed unless -plain")
	maxBody := p.integer(&entry.MaxBody, "maxbody", "bytes", "largest request body")
	orderer := p.address(&entry.Orderer, "orderer", "address of the platform's ordering of backend servers; without it this entry orders none")
	intake := p.address(&entry.Intake, "intake", "address of the platform's intake of usage reports; without it this entry reports none")
	if err := p.read(args, environ, out); err != nil {
		return nil, err
	}

	checkCommon(&entry.Common, common)
	checkListening(listen, entry.Listen, entry.Plain)
	checkListening(common.peer, entry.Peer, entry.Plain)
	checkDialled(common.store, entry.Store, entry.Plain, true)
	checkDialled(common.vms, entry.VMs, entry.Plain, true)
	checkDialled(orderer, entry.Orderer, entry.Plain, false)
	checkDialled(intake, entry.Intake, entry.Plain, false)
	checkPair(callerCert, callerKey, entry.CallerCert, entry.CallerKey, entry.Plain)
	checkAtLeastOne(maxBody, entry.MaxBody)
	if least := bodyRoom * entry.MaxBody >> 20; entry.Memory > 0 && entry.Memory < least {
		common.memory.faultf("%d is too little for a body of %d bytes; give %d at least", entry.Memory, entry.MaxBody, least)
	}
	if err := p.result(); err != nil {
		return nil, err
	}
	return entry, nil
}

// ParseAgent reads an agent's settings. Arguments and errors are those of
// ParseEntry.
func ParseAgent(args, environ []string, out io.Writer) (*Agent, error) {
	agent := &Agent{Common: Common{Drain: defaultDrain, Window: defaultWindow}}
	count := int64(defaultSlots)
	p := newParser("chicoryrock agent")
	common := p.common(&agent.Common)
	listen := p.address(&agent.Listen, "listen", "address where entries connect")
	engine := p.address(&agent.Engine, "engine", "address of the backend server beside this agent")
	pool := p.text(&agent.Pool, "pool", "name", "pool that the backend server belongs to")
	slots := p.integer(&count, "slots", "streams", "streams that the backend server runs at once")
	if err := p.read(args, environ, out); err != nil {
		return nil, err
	}

	checkCommon(&agent.Common, common)
	checkListening(listen, agent.Listen, agent.Plain)
	if agent.Peer != (netip.AddrPort{}) {
		checkListening(common.peer, agent.Peer, agent.Plain)
	}
	checkDialled(common.store, agent.Store, agent.Plain, false)
	checkDialled(common.vms, agent.VMs, agent.Plain, false)
	checkDialled(engine, agent.Engine, agent.Plain, true)
	checkName(pool, agent.Pool)
	checkAtLeastOne(slots, count)
	agent.Slots = int(count)
	if err := p.result(); err != nil {
		return nil, err
	}
	return agent, nil
}
