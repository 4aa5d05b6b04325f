package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"sync/atomic"
	"time"
)

// Authority is a certificate authority for tests. Its methods panic on errors.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// lastSerial is the serial number of the last certificate. The numbers count up from the time at which the process
// started, in nanoseconds, so that two processes hardly ever use the same one.
var lastSerial atomic.Int64

func init() { lastSerial.Store(time.Now().UnixNano()) }

// NewAuthority returns an Authority with a new self-signed certificate, which is valid for 90 days.
func NewAuthority(name string) *Authority {
	a := &Authority{}
	a.cert, a.key = issue(&x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(90 * 24 * time.Hour)}, nil)
	return a
}

// issue makes a certificate with a new key. A nil issuer means self-signed.
func issue(template *x509.Certificate, issuer *Authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template.SerialNumber = big.NewInt(lastSerial.Add(1))
	template.NotBefore = time.Now().Add(-100 * time.Hour)
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der := must(x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer))
	return must(x509.ParseCertificate(der)), key
}

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// IssueCertificate issues a certificate for a host name, for use as client and as server. With a nil Authority it is
// self-signed.
func (a *Authority) IssueCertificate(name string, ends time.Time) tls.Certificate {
	c, key := issue(&x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: ends,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, a)
	return tls.Certificate{Certificate: [][]byte{c.Raw}, PrivateKey: key, Leaf: c}
}

// Pool returns a pool with the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// WriteCA writes the authority's certificate as PEM.
func (a *Authority) WriteCA(path string) { writePEM(path, 0o644, "CERTIFICATE", a.cert.Raw) }

// WriteKeyPair writes a certificate and its key as PEM. It panics on errors.
func WriteKeyPair(c tls.Certificate, certPath, keyPath string, keyMode os.FileMode) {
	writePEM(certPath, 0o644, "CERTIFICATE", c.Certificate[0])
	writePEM(keyPath, keyMode, "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(c.PrivateKey.(*ecdsa.PrivateKey))))
}

// writePEM writes one PEM block to a file of exactly the given mode, whatever the umask. It panics on errors.
func writePEM(path string, mode os.FileMode, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		panic(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		panic(err)
	}
}
