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

// Authority makes certificates for tests. Its methods panic where a test could not go on.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// serial is the last certificate's number: no two of a process have the same.
var lastSerial atomic.Int64

func init() { lastSerial.Store(time.Now().UnixNano()) }

// NewAuthority returns one with a certificate of its own.
func NewAuthority(name string) *Authority {
	a := &Authority{}
	a.cert, a.key = issue(&x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(90 * 24 * time.Hour)}, nil)
	return a
}

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

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Pair issues a certificate for a host name, for both sides of a connection. A nil Authority signs with
// the certificate's own key.
func (a *Authority) IssueCertificate(name string, ends time.Time) tls.Certificate {
	c, key := issue(&x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: ends,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, a)
	return tls.Certificate{Certificate: [][]byte{c.Raw}, PrivateKey: key, Leaf: c}
}

// Pool holds the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// WriteCA writes the authority's certificate in PEM.
func (a *Authority) WriteCA(path string) { writePEM(path, 0o644, "CERTIFICATE", a.cert.Raw) }

// WritePair writes a certificate and its key in PEM.
func WriteKeyPair(c tls.Certificate, certPath, keyPath string, keyMode os.FileMode) {
	writePEM(certPath, 0o644, "CERTIFICATE", c.Certificate[0])
	writePEM(keyPath, keyMode, "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(c.PrivateKey.(*ecdsa.PrivateKey))))
}

func writePEM(path string, mode os.FileMode, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		panic(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		panic(err)
	}
}
