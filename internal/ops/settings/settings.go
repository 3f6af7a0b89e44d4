// Package settings reads the settings of each program from flags and
// environment variables and checks them all before the program starts.
package settings

import (
	"net/netip"
	"time"
)

// Common is what every long-running process of the system needs.
type Common struct {
	Name    string           // unique among the running processes
	Centre  string           // data centre
	Region  string           // region
	Peer    netip.AddrPort   // where peers and agents reach this process
	Admin   netip.AddrPort   // where /metrics, /healthz and /readyz are served
	Store   netip.AddrPort   // the platform's key-value service
	VMs     netip.AddrPort   // the platform's list of VMs
	Peers   []netip.AddrPort // processes to learn the configuration from at the start
	Home    string           // region of the platform's store; empty means this process's own
	Plain   bool             // no TLS; loopback addresses only
	Cert    string           // file with the certificate chain, PEM
	Secret  string           // file with the private key, PEM
	CA      string           // file with the authorities that sign peers, PEM
	Memory  int64            // that this process may use, MB; 0 for no limit
	Files   int64            // descriptors that it may use; 0 for no limit
	Drain   time.Duration    // longest wait for open requests at a shutdown
	Window  time.Duration    // length of a usage window, the same in all processes
	Verbose bool
}

// Entry is the settings of an entry.
type Entry struct {
	Common
	Listen     netip.AddrPort // where callers connect
	CallerCert string         // certificate shown to callers, PEM file
	CallerKey  string         // its private key, PEM file
	MaxBody    int64          // largest request body, bytes
	Orderer    netip.AddrPort // the platform's ordering of backend servers
	Intake     netip.AddrPort // the platform's intake of usage reports
}

// Agent is the settings of an agent.
type Agent struct {
	Common
	Listen netip.AddrPort // where entries connect
	Engine netip.AddrPort // the backend server beside this agent
	Pool   string         // the pool that the backend server belongs to
	Slots  int            // streams that the backend server runs at once
}
