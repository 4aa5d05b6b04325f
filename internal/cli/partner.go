package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"sliptide/internal/h2"
	"sliptide/internal/operator"
	"sliptide/internal/outbound"
	"sliptide/internal/partners"
)

type partnerCmd struct {
	Probe partnerProbe `cmd:"" help:"Show what a partner offers: protocol, settings, certificate. Sends no message."`
}

type partnerProbe struct {
	Address  string        `arg:"" help:"host:port"`
	Operator string        `help:"The operators' file." placeholder:"FILE"`
	Dest     int           `help:"Connect as that file configures this destination." default:"-1"`
	Protocol string        `help:"Without a destination: http/1.1, https, h2 or h2c." enum:"http/1.1,https,h2,h2c" default:"h2"`
	Timeout  time.Duration `help:"How long it may take." default:"3s"`
	JSON     bool          `help:"As JSON."`
}

// probeResult is the result of a probe.
type probeResult struct {
	Address      string        `json:"address"`
	Protocol     string        `json:"protocol"`
	TLS          string        `json:"tls,omitempty"`
	Cipher       string        `json:"cipher,omitempty"`
	Settings     []h2.Field    `json:"settings,omitempty"`
	Certificates []certificate `json:"certificates,omitempty"`
}

type certificate struct {
	Subject  string    `json:"subject"`
	Names    []string  `json:"names,omitempty"`
	Issuer   string    `json:"issuer"`
	Ends     time.Time `json:"ends"`
	DaysLeft int       `json:"days_left"`
}

// partner returns the connection settings for the probe.
func (c *partnerProbe) partner(env *Env) (*outbound.Partner, error) {
	settings := operator.Partner{Dest: 0, Protocol: operator.Protocol(c.Protocol), MaxConns: 1}
	if c.Dest >= 0 {
		if c.Operator == "" {
			return nil, fmt.Errorf("%w--dest needs --operator", usageError)
		}
		f, err := operator.Load(c.Operator)
		if err != nil {
			return nil, fmt.Errorf("%w%w", usageError, err)
		}
		found := false
		for _, p := range f.Partners {
			if p.Dest == c.Dest {
				settings, found = p, true
			}
		}
		if !found {
			settings = operator.Partner{Dest: c.Dest, Protocol: operator.HTTP1}
		}
	}
	registry := partners.New(func() time.Time { return time.UnixMilli(int64(env.Now())) })
	warnings, err := registry.Load([]operator.Partner{settings})
	if err != nil {
		return nil, fmt.Errorf("%w%w", usageError, err)
	}
	for _, w := range warnings {
		fmt.Fprintln(env.Err, "warning:", w)
	}
	if p := registry.Lookup(settings.Dest); p != nil {
		return p, nil
	}
	return &outbound.Partner{}, nil
}

func (c *partnerProbe) Run(env *Env) error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("%w%w; allowed: host:port", usageError, err)
	}
	p, err := c.partner(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	nc, protocol, err := p.Dial(ctx, c.Address)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	defer nc.Close()
	result := probeResult{Address: c.Address, Protocol: protocol}
	if t, ok := nc.(*tls.Conn); ok {
		state := t.ConnectionState()
		result.TLS, result.Cipher = tls.VersionName(state.Version), tls.CipherSuiteName(state.CipherSuite)
		for _, x := range state.PeerCertificates {
			result.Certificates = append(result.Certificates, newCertificate(x, env.Now()))
		}
	}
	if protocol == "h2" {
		conn := h2.New(nc, h2.Options{MaxBody: 1 << 10})
		defer conn.Abort(h2.ErrClosed)
		select {
		case <-conn.Ready():
			result.Settings = conn.PeerSettings()
		case <-conn.Done():
			return fmt.Errorf("%s: %w", c.Address, conn.State().Lost)
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", c.Address, errNoSettings)
		}
	}
	return result.print(env, c.JSON)
}

var errNoSettings = errors.New("accepts connections but does not speak HTTP/2")

func newCertificate(x *x509.Certificate, now float64) certificate {
	left := x.NotAfter.Sub(time.UnixMilli(int64(now)))
	return certificate{x.Subject.CommonName, x.DNSNames, x.Issuer.CommonName, x.NotAfter.UTC(), int(math.Floor(left.Hours() / 24))}
}

func (r *probeResult) print(env *Env, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(env.Out).Encode(r)
	}
	fmt.Fprintf(env.Out, "%s speaks %s", r.Address, r.Protocol)
	if r.TLS != "" {
		fmt.Fprintf(env.Out, " over %s, %s", r.TLS, r.Cipher)
	}
	fmt.Fprintln(env.Out)
	for _, s := range r.Settings {
		fmt.Fprintf(env.Out, "  %s = %s\n", s.Name, s.Value)
	}
	for _, x := range r.Certificates {
		fmt.Fprintf(env.Out, "  certificate of %q %v, by %q, ends %s: %d days left\n", x.Subject, x.Names, x.Issuer, x.Ends.Format(time.DateOnly), x.DaysLeft)
	}
	return nil
}
