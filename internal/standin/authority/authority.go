// Package authority makes a certificate authority and its certificates in
// memory, for tests and for the demonstration. Nothing of it runs in production.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// authorityLife is how long the authority's own certificate is valid.
	authorityLife = 24 * time.Hour
	// fileMode keeps private keys from other users of the machine.
	fileMode = 0o600
	// serialBits is the length of a certificate's random serial number.
	serialBits = 120
)

// Authority signs certificates. It is safe for concurrent use.
type Authority struct {
	// PEM is the authority's own certificate, as put into a file of authorities.
	PEM []byte

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Spec says what a certificate is issued for.
type Spec struct {
	Name      string        // common name, the process's name
	Role      string        // organisational unit: entry, agent or ctl
	Addresses []netip.Addr  // IP addresses that the certificate is valid for
	Start     time.Time     // beginning of its validity
	Life      time.Duration // length of its validity
}

// Pair is a certificate and its private key, both PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// New makes an authority that is valid from an hour before now for a day.
func New(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "chicoryrock test authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	return &Authority{PEM: encode("CERTIFICATE", der), certificate: certificate, key: key}, nil
}

// Issue makes a new key and signs a certificate for it.
func (a *Authority) Issue(spec Spec) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: spec.Name},
		NotBefore:   spec.Start,
		NotAfter:    spec.Start.Add(spec.Life),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if spec.Role != "" {
		template.Subject.OrganizationalUnit = []string{spec.Role}
	}
	for _, address := range spec.Addresses {
		// The certificate library takes no netip type.
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	der, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return Pair{}, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode a key")
	}
	return Pair{Cert: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", secret)}, nil
}

// Write puts the pair into NAME.crt and NAME.key below folder and returns both
// paths. Files of the same names are replaced.
func (p Pair) Write(folder, name string) (cert, key string, err error) {
	cert = filepath.Join(folder, name+".crt")
	key = filepath.Join(folder, name+".key")
	if err := os.WriteFile(cert, p.Cert, fileMode); err != nil {
		return "", "", errors.Wrap(err, "write a certificate")
	}
	if err := os.WriteFile(key, p.Key, fileMode); err != nil {
		return "", "", errors.Wrap(err, "write a key")
	}
	return cert, key, nil
}

// sign fills in a random serial number and signs the template for subject's key.
func sign(template, issuer *x509.Certificate, subject, signer *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make a serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, &subject.PublicKey, signer)
	return der, errors.Wrap(err, "sign a certificate")
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
