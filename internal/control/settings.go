// Package control implements a control member. It holds the directory of endpoints and members
// (internal/fleet/directory), leads or follows the control member that leads, and serves the senders that subscribe.
// The leader is the holder of a duty in the control members' own group (internal/fleet).
package control

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"sliptide/internal/keys"
	"sliptide/internal/strictxml"
)

// Member is one control member in the settings.
type Member struct {
	Name          string
	Addr          string // accepts links of the control members' group
	DirectoryAddr string // accepts links of subscribers
	Region        string
	Voter         bool
}

// Settings are the contents of a control member's settings file.
type Settings struct {
	Name            string // name of this member
	StateDir        string // state directory
	DiscoveryAddr   string // address of the discovery agent
	Replicas        int    // senders of each region that serve a destination
	Members         []Member
	Lease           time.Duration // a leader that is cut off or stopped ceases to lead within this time
	ClockDrift      float64       // fraction by which a member's clock may run fast or slow
	ElectionTimeout time.Duration // a voter that hears from no leader for this time starts an election
	CA              string        // paths of PEM files; empty: no TLS
	Cert, Key       string
	MaxListBytes    int64 // maximum size of a list of endpoints from discovery
}

// Self returns this member's entry in Members, empty if there is none.
func (s *Settings) Self() Member {
	for _, m := range s.Members {
		if m.Name == s.Name {
			return m
		}
	}
	return Member{}
}

// spec returns the elements and attributes of the settings file.
func spec() *strictxml.Element[Settings] {
	type attribute = strictxml.Attribute[Settings]
	type element = strictxml.Element[Settings]
	name := strictxml.Text("[a-zA-Z0-9._-]{1,60}", "letters, digits, dots, dashes and underscores")
	addr := strictxml.Text(`[0-9a-fA-F.:\[\]]{3,60}`, "an IP address and a port, such as 127.0.0.1:7401")
	path := strictxml.Text("[^<>]{1,1000}", "a path")
	last := func(s *Settings) *Member { return &s.Members[len(s.Members)-1] }
	drifts := []float64{0.01, 0.02, 0.05, 0.1, 0.2}
	return &element{
		Name: "control", Doc: "A control member: it keeps the directory of a fleet whose destinations are sharded.",
		Attrs: []attribute{
			{Name: "version", Required: true, Doc: "The version of the file format.", Values: strictxml.OneOf("1")},
			{Name: "name", Required: true, Doc: "This member's name, one of those below.", Values: name, SetText: func(s *Settings, v string) { s.Name = v }},
			{Name: "state", Required: true, Doc: "The state directory, which belongs to this member alone.", Values: path, SetText: func(s *Settings, v string) { s.StateDir = v }},
			{Name: "discovery", Required: true, Doc: "Address of the discovery agent.", Values: addr, SetText: func(s *Settings, v string) { s.DiscoveryAddr = v }},
			{Name: "replicas", Default: "2", Doc: "Senders of each region that serve a destination; the same in all members' files and the senders'.", Values: strictxml.Integer(1, 5), SetNumber: func(s *Settings, v int64) { s.Replicas = int(v) }},
			{Name: "max-list", Default: "1GiB", Doc: "Maximum size of a list of endpoints from discovery.", Values: strictxml.Size(64<<10, 1<<34), SetNumber: func(s *Settings, v int64) { s.MaxListBytes = v }},
			{Name: "ca", Doc: "CA certificates in PEM that have signed the certificates of members and senders. With cert and key: links use mutual TLS.", Values: path, SetText: func(s *Settings, v string) { s.CA = v }},
			{Name: "cert", Doc: "This member's certificate in PEM.", Values: path, SetText: func(s *Settings, v string) { s.Cert = v }},
			{Name: "key", Doc: "The private key of that certificate in PEM, which no other user may read.", Values: path, SetText: func(s *Settings, v string) { s.Key = v }},
		},
		Children: []element{{
			Name: "member", Doc: "One control member; all files list the same ones.", Repeated: true, Unique: "name",
			Add: func(s *Settings) { s.Members = append(s.Members, Member{}) },
			Attrs: []attribute{
				{Name: "name", Required: true, Doc: "Its name.", Values: name, SetText: func(s *Settings, v string) { last(s).Name = v }},
				{Name: "addr", Required: true, Doc: "Where it accepts links of the control members' group.", Values: addr, SetText: func(s *Settings, v string) { last(s).Addr = v }},
				{Name: "directory", Required: true, Doc: "Where it accepts links of senders and control members that subscribe.", Values: addr, SetText: func(s *Settings, v string) { last(s).DirectoryAddr = v }},
				{Name: "region", Required: true, Doc: "The region in which it runs.", Values: name, SetText: func(s *Settings, v string) { last(s).Region = v }},
				{Name: "voter", Default: "false", Doc: "It votes in the election of the leader. 3 or 5 members do, in different regions if there are several.", Values: strictxml.OneOf("false", "true"), SetNumber: func(s *Settings, v int64) { last(s).Voter = v == 1 }},
			},
		}, {
			Name: "duties", Doc: "Timing of the leader's lease and of elections.",
			Attrs: []attribute{
				{Name: "lease", Default: "2s", Doc: "A leader that is cut off or stopped ceases to lead within it; at least twice the election time.", Values: strictxml.Duration(200*time.Millisecond, time.Minute), SetNumber: func(s *Settings, v int64) { s.Lease = time.Duration(v) }},
				{Name: "drift", Default: "0.05", Doc: "The fraction by which a member's clock may run fast or slow.", Values: strictxml.OneOf("0.01", "0.02", "0.05", "0.1", "0.2"), SetNumber: func(s *Settings, v int64) { s.ClockDrift = drifts[v] }},
				{Name: "election", Default: "500ms", Doc: "A voter that hears nothing from a leader for this long asks to lead.", Values: strictxml.Duration(100*time.Millisecond, 20*time.Second), SetNumber: func(s *Settings, v int64) { s.ElectionTimeout = time.Duration(v) }},
			},
		}},
	}
}

// Schema returns the XML Schema of a control member's file.
func Schema() string {
	return strictxml.Schema(spec(), `The schema of a control member's file. "sliptide control schema" writes it.`)
}

// Load reads a control member's settings file. Paths in it are relative to the file's directory. Errors are of type
// *strictxml.Error.
func Load(path string) (*Settings, error) {
	s, err := strictxml.Open(path, spec())
	if err != nil {
		return nil, err
	}
	if what, allowed := s.validate(); what != "" {
		return nil, &strictxml.Error{File: path, What: what, Allowed: allowed}
	}
	for _, name := range []*string{&s.StateDir, &s.CA, &s.Cert, &s.Key} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(path), *name)
		}
	}
	return s, nil
}

// validate checks the rules between several values, which spec cannot express. It returns what is wrong and what is
// allowed in its place; what is empty if all rules hold.
func (s *Settings) validate() (what, allowed string) {
	voters := 0
	used := map[string]string{}
	for _, m := range s.Members {
		if m.Voter {
			voters++
		}
		for _, addr := range []string{m.Addr, m.DirectoryAddr} {
			if expected := checkAddr(addr, s.Cert != ""); expected != "" {
				return fmt.Sprintf("member %q: address %q", m.Name, addr), expected
			}
			if other := used[addr]; other != "" {
				return fmt.Sprintf("members %q and %q both have the address %q", other, m.Name, addr), "a separate address for each addr and directory"
			}
			used[addr] = m.Name
		}
	}
	switch {
	case voters != 3 && voters != 5:
		return fmt.Sprintf("%d members have voter=\"true\"", voters), "3 or 5, so that a majority remains when one or two are lost"
	case s.Self().Name == "":
		return fmt.Sprintf("name=%q is not the name of a <member>", s.Name), "the name of one of them"
	case s.Lease < 2*s.ElectionTimeout:
		return fmt.Sprintf("duties: lease=%q", s.Lease), fmt.Sprintf("%v or more: two election times, or each election would end the lease", 2*s.ElectionTimeout)
	case (s.Cert == "") != (s.Key == "") || (s.Cert == "") != (s.CA == ""):
		return "ca, cert and key", "all or none"
	}
	return "", ""
}

// checkAddr returns what is allowed in place of an address, empty if the address itself is.
func checkAddr(addr string, hasKeys bool) (allowed string) {
	host, port, err := net.SplitHostPort(addr)
	ip, ipErr := netip.ParseAddr(host)
	switch {
	case err != nil || ipErr != nil || port == "" || port == "0":
		return "an IP address and a port, such as 127.0.0.1:7401"
	case !hasKeys && !ip.IsLoopback() && !ip.IsPrivate():
		return "loopback and private addresses, or ca, cert and key: without TLS, links are open to everyone who can reach them"
	}
	return ""
}

// tlsConfigs returns the TLS configurations of links that this member dials and accepts, nil without TLS.
func (s *Settings) tlsConfigs() (client, server *tls.Config, err error) {
	if s.Cert == "" {
		return nil, nil, nil
	}
	client, _, err = keys.Load(keys.Files{CA: s.CA, Cert: s.Cert, Key: s.Key}, time.Now())
	if err != nil {
		return nil, nil, err
	}
	return client, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: client.Certificates, ClientCAs: client.RootCAs, ClientAuth: tls.RequireAndVerifyClientCert}, nil
}
