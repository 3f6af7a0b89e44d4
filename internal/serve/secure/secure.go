// Package secure makes the TLS settings of callers' connections and of the
// connections between the system's own processes. Certificates are read again
// when their files change, without a restart.
//
// Authorities are read once. To change one, first put both the old and the new
// into every file of authorities, and replace the processes; then the
// certificates; then take the old authority out.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// ErrStranger says that the other end of a connection has proved no role, or one
// that is not let in here.
var ErrStranger = errors.New("stranger")

// Role is what a process of the system may do. It stands as the only
// organisational unit in its certificate.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleCtl   Role = "ctl"
)

// Identity is who is at the other end of a connection.
type Identity struct {
	Name string // the certificate's common name
	Role Role
}

// Files names the PEM files of one process. Set the fields before the first call.
type Files struct {
	Cert  string           // certificate chain
	Key   string           // its private key
	CA    string           // authorities that sign peers; not needed for Callers
	Clock func() time.Time // the present time, e.g. time.Now
	Log   *event.Log       // told of certificates read again; nil for none
}

// Callers returns the settings of a listener for callers, who show no
// certificate. Error: chicoryrock.ErrInvalid when the files cannot be used.
func (f Files) Callers() (*tls.Config, error) {
	keeper, err := f.keeper()
	if err != nil {
		return nil, err
	}
	// Callers bring their own tools, some of which do not speak TLS 1.3 yet.
	config := f.config(keeper)
	config.MinVersion = tls.VersionTLS12
	return config, nil
}

// Accept returns the settings of a listener for peers in one of the roles. Error:
// chicoryrock.ErrInvalid when the files cannot be used.
func (f Files) Accept(roles ...Role) (*tls.Config, error) {
	config, pool, err := f.peers(roles)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = pool
	return config, nil
}

// Dial returns the settings of connections to peers in one of the roles. The
// peer's certificate must also be valid for the IP number that was dialled, so
// that one backend server's certificate cannot pass for another's. Error:
// chicoryrock.ErrInvalid when the files cannot be used.
func (f Files) Dial(roles ...Role) (*tls.Config, error) {
	config, pool, err := f.peers(roles)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

// Identify returns who is at the other end. Error: ErrStranger when it has shown
// no certificate that was verified, or one without exactly one known role.
func Identify(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return Identity{}, errors.Wrap(ErrStranger, "no verified certificate")
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Identity{}, errors.Wrapf(ErrStranger, "certificate of %q has not exactly one role", subject.CommonName)
	}
	role := Role(subject.OrganizationalUnit[0])
	if !slices.Contains([]Role{RoleEntry, RoleAgent, RoleCtl}, role) {
		return Identity{}, errors.Wrapf(ErrStranger, "certificate of %q has the unknown role %q", subject.CommonName, role)
	}
	return Identity{Name: subject.CommonName, Role: role}, nil
}

// config returns what all three kinds of settings have in common.
func (f Files) config(keeper *keeper) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       f.Clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return keeper.certificate(f.Clock()), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return keeper.certificate(f.Clock()), nil
		},
	}
}

func (f Files) peers(roles []Role) (*tls.Config, *x509.CertPool, error) {
	pool, err := readAuthorities(f.CA)
	if err != nil {
		return nil, nil, err
	}
	keeper, err := f.keeper()
	if err != nil {
		return nil, nil, err
	}
	config := f.config(keeper)
	// VerifyConnection is called on resumed connections too, which
	// VerifyPeerCertificate is not.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		identity, err := Identify(&state)
		if err != nil {
			return err
		}
		if !slices.Contains(roles, identity.Role) {
			return errors.Wrapf(ErrStranger, "%q has the role %q, which is not let in here", identity.Name, identity.Role)
		}
		return nil
	}
	return config, pool, nil
}

func readAuthorities(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "read the authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "%s holds no certificate", file)
	}
	return pool, nil
}
