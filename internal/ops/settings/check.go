package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"regexp"
)

// nameForm is what names may consist of: they become parts of store keys, URLs
// and metric labels.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// commonOptions holds the options of Common for the checks after reading.
type commonOptions struct {
	name, centre, region   *option
	home                   *option
	peer, admin            *option
	store, vms, peers      *option
	cert, secret, ca, wait *option
	window                 *option
	memory, files          *option
}

func (p *parser) common(c *Common) *commonOptions {
	options := &commonOptions{
		name:   p.text(&c.Name, "name", "name", "name of this process, unique among those running"),
		centre: p.text(&c.Centre, "centre", "name", "data centre of this process"),
		region: p.text(&c.Region, "region", "name", "region of this process"),
		peer:   p.address(&c.Peer, "peer", "address where peers and agents reach this process"),
		admin:  p.address(&c.Admin, "admin", "address of /metrics, /healthz and /readyz"),
		home:   p.text(&c.Home, "home", "name", "region of the platform's store; without it the region of this process"),
		store:  p.address(&c.Store, "store", "address of the platform's key-value service"),
		vms:    p.address(&c.VMs, "vms", "address of the platform's list of VMs"),
		peers:  p.addresses(&c.Peers, "peers", "processes to learn the configuration from at the start"),
		cert:   p.text(&c.Cert, "cert", "PEM file", "certificate chain shown to peers; needed unless -plain"),
		secret: p.text(&c.Secret, "secret", "PEM file", "private key of the certificate shown to peers; needed unless -plain"),
		ca:     p.text(&c.CA, "ca", "PEM file", "authorities that sign the certificates of peers; needed unless -plain"),
		wait:   p.duration(&c.Drain, "drain", "longest wait for open requests at a shutdown"),
		window: p.duration(&c.Window, "window", "length of a usage window; the same in all processes, and never changed while usage is unreported"),
	}
	options.memory = p.integer(&c.Memory, "memory", "MB", "memory that this process may use; 0 for no limit")
	options.files = p.integer(&c.Files, "files", "descriptors", "file descriptors that this process may use, 200 of them for files; 0 for no limit")
	p.boolean(&c.Plain, "plain", "no TLS; allowed with loopback addresses only")
	p.boolean(&c.Verbose, "verbose", "log events of the level debug too")
	return options
}

func checkCommon(c *Common, options *commonOptions) {
	checkName(options.name, c.Name)
	checkName(options.centre, c.Centre)
	checkName(options.region, c.Region)
	if c.Home == "" {
		c.Home = c.Region
	} else {
		checkName(options.home, c.Home)
	}
	checkListening(options.admin, c.Admin, c.Plain)
	for _, peer := range c.Peers {
		checkDialled(options.peers, peer, c.Plain, true)
	}
	checkPair(options.cert, options.secret, c.Cert, c.Secret, c.Plain)
	checkAuthorities(options.ca, c.CA, c.Plain)
	if !options.window.bad && c.Window < minWindow {
		options.window.faultf("%s is shorter than %s", c.Window, minWindow)
	}
	if !options.memory.bad && c.Memory < 0 {
		options.memory.faultf("%d is below 0", c.Memory)
	}
	if !options.files.bad && c.Files < 0 {
		options.files.faultf("%d is below 0", c.Files)
	}
	if c.Drain < 0 {
		options.wait.faultf("%s is negative; give a duration of zero or more", c.Drain)
	}
}

func checkName(o *option, name string) {
	switch {
	case name == "":
		o.faultf("it is missing")
	case !nameForm.MatchString(name):
		o.faultf("%q holds other signs than letters, digits, points, dashes and underscores", name)
	}
}

func checkAtLeastOne(o *option, value int64) {
	if !o.bad && value < 1 {
		o.faultf("%d is below 1", value)
	}
}

// checkListening checks an address to listen on. Port zero stands for a free one.
func checkListening(o *option, address netip.AddrPort, plain bool) {
	switch {
	case o.bad:
	case !address.IsValid():
		o.faultf("it is missing; give an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080")
	case plain && !address.Addr().Unmap().IsLoopback():
		o.faultf("%s is no loopback address, and -plain allows no other; give certificates instead of -plain", address)
	}
}

// checkDialled checks an address to connect to.
func checkDialled(o *option, address netip.AddrPort, plain, needed bool) {
	if !address.IsValid() && !needed {
		return
	}
	checkListening(o, address, plain)
	if address.IsValid() && address.Port() == 0 {
		o.faultf("%s has port 0, which cannot be connected to", address)
	}
}

// checkPair checks that a certificate and its key can be read and belong together.
func checkPair(certOption, keyOption *option, cert, key string, plain bool) {
	if plain && cert == "" && key == "" {
		return
	}
	readable := checkFile(certOption, cert)
	readable = checkFile(keyOption, key) && readable
	if !readable {
		return
	}
	if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
		certOption.faultf("%s and the key %s are no pair: %v", cert, key, err)
	}
}

func checkAuthorities(o *option, file string, plain bool) {
	if plain && file == "" {
		return
	}
	if !checkFile(o, file) {
		return
	}
	text, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err == nil && !x509.NewCertPool().AppendCertsFromPEM(text) {
		o.faultf("%s holds no certificate", file)
	}
}

// checkFile reports whether a file can be read, and records a fault if not.
func checkFile(o *option, file string) bool {
	if file == "" {
		o.faultf("it is missing, and -plain is not set")
		return false
	}
	if _, err := os.ReadFile(file); err != nil { //nolint:gosec // The operator names the file.
		o.faultf("%v", err)
		return false
	}
	return true
}
