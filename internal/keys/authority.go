// Package keys creates and reads the certificates and tokens that authenticate
// processes, callers and operators.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"time"
)

// Lifetimes and other parameters of certificates.
const (
	AuthorityLifetime   = 365 * 24 * time.Hour
	CertificateLifetime = 30 * 24 * time.Hour
	clockSkew           = time.Hour // How long before now validity starts, for clocks that are behind.
	serialBits          = 127       // Size of the random serial numbers in bits.
)

// ErrKey is returned for a key or certificate that can't be read or is of the wrong
// kind.
var ErrKey = errors.New("bad key")

// Authority signs the certificates of processes and the tokens of callers.
type Authority struct {
	Certificate *x509.Certificate
	Key         ed25519.PrivateKey
}

// NewAuthority creates a development authority with a new key.
func NewAuthority(now time.Time) (*Authority, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys.NewAuthority: %w", err)
	}
	template, err := newTemplate("sniperill development authority", now, AuthorityLifetime)
	if err != nil {
		return nil, fmt.Errorf("keys.NewAuthority: %w", err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("keys.NewAuthority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys.NewAuthority: %w", err)
	}
	return &Authority{Certificate: cert, Key: private}, nil
}

// Issue signs a certificate for a process of the given role and name. It is valid
// for the given hosts, which are host names or IP addresses.
func (a *Authority) Issue(role Role, name string, now time.Time, hosts ...string) (*Pair, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys.Issue: %w", err)
	}
	template, err := newTemplate(string(role)+":"+name, now, CertificateLifetime)
	if err != nil {
		return nil, fmt.Errorf("keys.Issue: %w", err)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.Subject.OrganizationalUnit = []string{string(role)}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, public, a.Key)
	if err != nil {
		return nil, fmt.Errorf("keys.Issue: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, fmt.Errorf("keys.Issue: %w", err)
	}
	return &Pair{
		Authority:   encode("CERTIFICATE", a.Certificate.Raw),
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", keyDER),
	}, nil
}

// Public returns the public key that verifies the tokens of this authority.
func (a *Authority) Public() ed25519.PublicKey {
	return a.Key.Public().(ed25519.PublicKey)
}

// MarshalPEM returns the authority's certificate and its private key in PEM format.
func (a *Authority) MarshalPEM() (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("keys.MarshalPEM: %w", err)
	}
	return encode("CERTIFICATE", a.Certificate.Raw), encode("PRIVATE KEY", der), nil
}

// ParseAuthority reads the output of MarshalPEM.
func ParseAuthority(certificate, key []byte) (*Authority, error) {
	cert, err := parseCertificate(certificate)
	if err != nil {
		return nil, fmt.Errorf("keys.ParseAuthority: %w", err)
	}
	block, _ := pem.Decode(key)
	if block == nil {
		return nil, fmt.Errorf("keys.ParseAuthority: no PEM block in the key: %w", ErrKey)
	}
	private, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys.ParseAuthority: %w", err)
	}
	signer, ok := private.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("keys.ParseAuthority: key is a %T, not Ed25519: %w", private, ErrKey)
	}
	return &Authority{Certificate: cert, Key: signer}, nil
}

// ClientTLS returns the TLS settings of callers and operators, who trust this
// authority.
func (a *Authority) ClientTLS() *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.Certificate)
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func parseCertificate(data []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("no PEM block in the certificate: %w", ErrKey)
	}
	return x509.ParseCertificate(block.Bytes)
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Pair is the certificate and key of one process, with the authority's certificate.
type Pair struct {
	Authority   []byte
	Certificate []byte
	Key         []byte
}

// TLS returns the settings for both ends of a connection between processes. Each end
// presents its certificate and requires one of the same authority from the other.
func (p *Pair) TLS() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("keys.TLS: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(p.Authority) {
		return nil, fmt.Errorf("keys.TLS: no certificate of an authority: %w", ErrKey)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// ServerTLS returns the settings of a listener for callers and operators, who
// authenticate by a token instead of a certificate.
func (p *Pair) ServerTLS() (*tls.Config, error) {
	c, err := p.TLS()
	if err != nil {
		return nil, err
	}
	c.ClientAuth = tls.NoClientCert
	return c, nil
}

// TokenKey returns the public key that verifies the tokens of the pair's authority.
func (p *Pair) TokenKey() (ed25519.PublicKey, error) {
	cert, err := parseCertificate(p.Authority)
	if err != nil {
		return nil, fmt.Errorf("keys.TokenKey: %w", err)
	}
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok {
		return nil, fmt.Errorf("keys.TokenKey: key is a %T, not Ed25519: %w", cert.PublicKey, ErrKey)
	}
	return key, nil
}
