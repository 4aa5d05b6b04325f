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
	Dest     int           `help:"Reach it as that file says of this destination." default:"-1"`
	Protocol string        `help:"Without a destination: http/1.1, https, h2 or h2c." enum:"http/1.1,https,h2,h2c" default:"h2"`
	Timeout  time.Duration `help:"How long it may take." default:"3s"`
	JSON     bool          `help:"As JSON."`
}

// offer is what a partner offers.
type offer struct {
	Address  string     `json:"address"`
	Protocol string     `json:"protocol"`
	TLS      string     `json:"tls,omitempty"`
	Cipher   string     `json:"cipher,omitempty"`
	Settings []h2.Field `json:"settings,omitempty"`
	Certs    []cert     `json:"certificates,omitempty"`
}

type cert struct {
	Subject  string    `json:"subject"`
	Names    []string  `json:"names,omitempty"`
	Issuer   string    `json:"issuer"`
	Ends     time.Time `json:"ends"`
	DaysLeft int       `json:"days_left"`
}

// partner is how the probe reaches it.
func (c *partnerProbe) partner(env *Env) (*outbound.Partner, error) {
	set := operator.Partner{Dest: 0, Protocol: operator.Protocol(c.Protocol), MaxConns: 1}
	if c.Dest >= 0 {
		if c.Operator == "" {
			return nil, fmt.Errorf("%w--dest needs --operator", misuse)
		}
		f, err := operator.Load(c.Operator)
		if err != nil {
			return nil, fmt.Errorf("%w%w", misuse, err)
		}
		found := false
		for _, p := range f.Partners {
			if p.Dest == c.Dest {
				set, found = p, true
			}
		}
		if !found {
			set = operator.Partner{Dest: c.Dest, Protocol: operator.HTTP1}
		}
	}
	book := partners.New(func() time.Time { return time.UnixMilli(int64(env.Now())) })
	warnings, err := book.Load([]operator.Partner{set})
	if err != nil {
		return nil, fmt.Errorf("%w%w", misuse, err)
	}
	for _, w := range warnings {
		fmt.Fprintln(env.Err, "warning:", w)
	}
	if p := book.Lookup(set.Dest); p != nil {
		return p, nil
	}
	return &outbound.Partner{}, nil
}

// Run runs the command.
func (c *partnerProbe) Run(env *Env) error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return fmt.Errorf("%w%w; allowed: host:port", misuse, err)
	}
	p, err := c.partner(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	nc, proto, err := p.Dial(ctx, c.Address)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	defer nc.Close()
	o := offer{Address: c.Address, Protocol: proto}
	if t, ok := nc.(*tls.Conn); ok {
		st := t.ConnectionState()
		o.TLS, o.Cipher = tls.VersionName(st.Version), tls.CipherSuiteName(st.CipherSuite)
		for _, x := range st.PeerCertificates {
			o.Certs = append(o.Certs, certOf(x, env.Now()))
		}
	}
	if proto == "h2" {
		k := h2.New(nc, h2.Options{MaxBody: 1 << 10})
		defer k.Abort(h2.ErrClosed)
		select {
		case <-k.Ready():
			o.Settings = k.PeerSettings()
		case <-k.Done():
			return fmt.Errorf("%s: %w", c.Address, k.State().Lost)
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", c.Address, errNoSettings)
		}
	}
	return o.print(env, c.JSON)
}

var errNoSettings = errors.New("it accepts connections and does not speak HTTP/2")

func certOf(x *x509.Certificate, now float64) cert {
	left := x.NotAfter.Sub(time.UnixMilli(int64(now)))
	return cert{x.Subject.CommonName, x.DNSNames, x.Issuer.CommonName, x.NotAfter.UTC(), int(math.Floor(left.Hours() / 24))}
}

func (o *offer) print(env *Env, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(env.Out).Encode(o)
	}
	fmt.Fprintf(env.Out, "%s speaks %s", o.Address, o.Protocol)
	if o.TLS != "" {
		fmt.Fprintf(env.Out, " over %s, %s", o.TLS, o.Cipher)
	}
	fmt.Fprintln(env.Out)
	for _, s := range o.Settings {
		fmt.Fprintf(env.Out, "  %s = %s\n", s.Name, s.Value)
	}
	for _, x := range o.Certs {
		fmt.Fprintf(env.Out, "  certificate of %q %v, by %q, ends %s: %d days left\n", x.Subject, x.Names, x.Issuer, x.Ends.Format(time.DateOnly), x.DaysLeft)
	}
	return nil
}
