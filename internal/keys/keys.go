// Package keys reads what a sender proves itself and its partners with: CA bundles, certificates and keys,
// in PEM. It checks them, warns before they expire, and makes TLS configurations of them (crypto/tls, 1.2
// and up). It opens no connection.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"time"
)

// ExpiryWarningPeriod is how long before its end a certificate is warned of.
const ExpiryWarningPeriod = 14 * 24 * time.Hour

// Files are where keys lie. An empty name: none.
type Files struct {
	CA        string // a bundle; else the system's
	Cert, Key string // the sender's own, for partners that ask for it
}

// Warning is a certificate that ends soon, or has ended.
type Warning struct {
	File    string
	Subject string
	Expires time.Time
}

// String is the warning in one line.
func (w Warning) String() string {
	return fmt.Sprintf("%s: certificate of %q ends on %s", w.File, w.Subject, w.Expires.UTC().Format(time.DateOnly))
}

// Load reads the files and checks them at that time. Nothing is used of files of which one is wrong.
func Load(f Files, now time.Time) (*tls.Config, []Warning, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	var warnings []Warning
	if f.CA != "" {
		pool, certs, err := bundle(f.CA)
		if err != nil {
			return nil, nil, err
		}
		cfg.RootCAs = pool
		warnings = append(warnings, ending(f.CA, certs, now)...)
	}
	if f.Cert == "" {
		return cfg, warnings, nil
	}
	if err := private(f.Key); err != nil {
		return nil, nil, err
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("%s, %s: %w", f.Cert, f.Key, err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	warnings = append(warnings, ending(f.Cert, []*x509.Certificate{pair.Leaf}, now)...)
	return cfg, warnings, nil
}

// private refuses a key that others may read.
func private(file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return fmt.Errorf("%s: others may read or write this key (mode %04o); allowed: 0600 or less", file, mode)
	}
	return nil
}

// bundle reads CA certificates.
func bundle(file string) (*x509.CertPool, []*x509.Certificate, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, nil, fmt.Errorf("%s: a PEM block %q; allowed: CERTIFICATE", file, block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", file, err)
		}
		pool.AddCert(c)
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, nil, fmt.Errorf("%s: %w", file, errNoCert)
	}
	return pool, certs, nil
}

var errNoCert = errors.New("no certificate in PEM")

func ending(file string, certs []*x509.Certificate, now time.Time) (list []Warning) {
	for _, c := range certs {
		if c != nil && now.Add(ExpiryWarningPeriod).After(c.NotAfter) {
			list = append(list, Warning{file, c.Subject.CommonName, c.NotAfter})
		}
	}
	return list
}
