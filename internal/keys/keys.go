// Package keys loads CA bundles, certificates and private keys from PEM files, checks them, warns before they expire,
// and builds TLS configurations from them (crypto/tls, version 1.2 and up). It opens no connection.
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

// ExpiryWarningPeriod is how long before a certificate's expiry warnings begin.
const ExpiryWarningPeriod = 14 * 24 * time.Hour

// Files are the names of PEM files. An empty name means that there is no such file.
type Files struct {
	CA        string // CA bundle; empty: the system's root certificates
	Cert, Key string // this process's own, presented to peers that request a certificate
}

// Warning reports a certificate that expires soon or has expired.
type Warning struct {
	File    string
	Subject string
	Expires time.Time
}

// String returns the warning as one line.
func (w Warning) String() string {
	return fmt.Sprintf("%s: certificate of %q expires on %s", w.File, w.Subject, w.Expires.UTC().Format(time.DateOnly))
}

// Load reads the files and returns a TLS configuration, and a warning for each certificate that has expired at now or
// expires within ExpiryWarningPeriod after it. If one of the files is invalid, it returns an error and no
// configuration.
func Load(f Files, now time.Time) (*tls.Config, []Warning, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	var warnings []Warning
	if f.CA != "" {
		pool, certs, err := readBundle(f.CA)
		if err != nil {
			return nil, nil, err
		}
		cfg.RootCAs = pool
		warnings = append(warnings, expiryWarnings(f.CA, certs, now)...)
	}
	if f.Cert == "" {
		return cfg, warnings, nil
	}
	if err := checkKeyMode(f.Key); err != nil {
		return nil, nil, err
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("%s, %s: %w", f.Cert, f.Key, err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	warnings = append(warnings, expiryWarnings(f.Cert, []*x509.Certificate{pair.Leaf}, now)...)
	return cfg, warnings, nil
}

// checkKeyMode returns an error if users other than the owner may read or write the key file.
func checkKeyMode(file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return fmt.Errorf("%s: others may read or write this private key (mode %04o); allowed: 0600 or less", file, mode)
	}
	return nil
}

// readBundle reads a file of CA certificates.
func readBundle(file string) (*x509.CertPool, []*x509.Certificate, error) {
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
			return nil, nil, fmt.Errorf("%s: unexpected PEM block %q; allowed: CERTIFICATE", file, block.Type)
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

// expiryWarnings returns a warning for each certificate that has expired at now or expires within ExpiryWarningPeriod
// after it.
func expiryWarnings(file string, certs []*x509.Certificate, now time.Time) (list []Warning) {
	for _, c := range certs {
		if c != nil && now.Add(ExpiryWarningPeriod).After(c.NotAfter) {
			list = append(list, Warning{file, c.Subject.CommonName, c.NotAfter})
		}
	}
	return list
}
