// Package operator reads and checks the operators' file, deploy/sliptide.xml: the settings that the operators of a
// sender choose, beside the platform's own configuration (package config). One specification (spec.go) describes the
// file; the strict reader and the XML Schema are both derived from it, so that they cannot diverge.
//
// The package does not depend on the parts that it configures.
package operator

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"sliptide/internal/strictxml"
)

// File holds the settings of an operators' file. What the file omits has its default; every part is off by default.
type File struct {
	Ready     Ready
	Log       Log
	Knowledge Knowledge
	Storms    Storms
	Telemetry Telemetry
	Partners  []Partner
	Fleet     Fleet
}

// Telemetry configures the export of traces and metrics to a collector. Where a text is empty, the corresponding
// environment variable of OpenTelemetry applies.
type Telemetry struct {
	Enabled            bool
	Endpoint           string
	Protocol           string
	Compression        string
	Timeout            time.Duration // of one request
	MetricsInterval    time.Duration // between two exports of the metrics
	SampledShare       float64       // of ordinary traces, 0 to 1
	QueueBytes         int64         // memory for data that waits for the collector
	CA, Cert, Key      string
	Headers            []Pair
	ResourceAttributes []Pair
}

// Pair is a name with its value.
type Pair struct{ Name, Value string }

// Storms configures the damping of retry storms.
type Storms struct {
	Enabled bool
	Limits  []ContractLimit
}

// ContractLimit is the limit that a partner's contract states.
type ContractLimit struct {
	Dest           int
	CallsPerSecond float64 // over all senders
}

// Protocol is the protocol of the calls to a partner.
type Protocol string

// The protocols.
const (
	HTTP1 Protocol = "http/1.1"
	HTTPS Protocol = "https" // HTTP/1.1 over TLS
	H2    Protocol = "h2"    // over TLS, by ALPN
	H2C   Protocol = "h2c"   // HTTP/2 by prior knowledge, without TLS
)

// Partner configures how the endpoints of one destination are reached.
type Partner struct {
	Dest          int
	Protocol      Protocol
	ServerName    string
	CA, Cert, Key string        // files; empty: none
	MaxConns      int           // HTTP/2 connections to one endpoint
	PingAfter     time.Duration // silence with requests outstanding after which an HTTP/2 connection is pinged
	PingTimeout   time.Duration // for the answer to a ping
}

// Ready configures when a starting sender answers /up with 200.
type Ready struct {
	Timeout time.Duration // after this time it is ready even with an empty list and no answer from discovery
}

// Log configures what the log holds besides changes of state.
type Log struct {
	Records bool // a line for each event of a message
}

// Knowledge configures how a sender preserves over restarts what it has learned of its partners.
type Knowledge struct {
	Enabled       bool
	MaxSize       int64         // bytes that knowledge may take in the state directory, temporary copies included
	WriteInterval time.Duration // between two snapshots; requested waits are written at once
	Sync          bool          // fsync a file before it replaces the old one
	HalfLives     HalfLives
}

// HalfLives holds, for each kind of fact, the time after which its weight is halved. docs/knowledge.md gives the reason
// for each default. A requested wait has no half-life: it is kept until its end.
type HalfLives struct {
	Limit       time.Duration // a partner's advertised limit
	Pace        time.Duration // the sender's own pace there
	Health      time.Duration // breakers, trials and ramps
	Latency     time.Duration // call latencies
	Admission   time.Duration // a controller's theta and E[X]
	Connections time.Duration // failure shares of idle and of new connections
}

// Default returns the settings of an operators' file that sets nothing.
func Default() File {
	var f File
	spec().ApplyDefaults(&f)
	return f
}

// Error describes an error in an operators' file: its position, the problem and what is allowed.
type Error = strictxml.Error

// Load reads the operators' file at path. Relative file names in it are resolved against its directory. Errors are of
// type *Error.
func Load(path string) (*File, error) {
	f, err := strictxml.Open(path, spec())
	if err != nil {
		return nil, err
	}
	if err := f.check(path); err != nil {
		return nil, err
	}
	for _, name := range []*string{&f.Telemetry.CA, &f.Telemetry.Cert, &f.Telemetry.Key, &f.Fleet.CA, &f.Fleet.Cert, &f.Fleet.Key} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(path), *name)
		}
	}
	for i := range f.Partners {
		p := &f.Partners[i]
		for _, name := range []*string{&p.CA, &p.Cert, &p.Key} {
			if *name != "" && !filepath.IsAbs(*name) {
				*name = filepath.Join(filepath.Dir(path), *name)
			}
		}
	}
	return f, nil
}

// Read reads an operators' file and refuses anything that the specification does not allow. name is the file name in
// errors, which are of type *Error.
func Read(name string, in io.Reader) (*File, error) {
	f, err := strictxml.Read(name, in, spec())
	if err != nil {
		return nil, err
	}
	if err := f.check(name); err != nil {
		return nil, err
	}
	return f, nil
}

// Schema returns the XML Schema of the operators' file.
func Schema() string {
	return strictxml.Schema(spec(), `The schema of the operators' file. "sliptide schema" writes it.`)
}

// check finds combinations of values that are not allowed, which a schema cannot express.
func (f *File) check(name string) error {
	if (f.Telemetry.Cert == "") != (f.Telemetry.Key == "") {
		return &Error{File: name, What: "telemetry: cert and key are needed together"}
	}
	if problem := f.Fleet.check(f.Storms.Enabled); problem != "" {
		return &Error{File: name, What: problem}
	}
	for _, p := range f.Partners {
		problem := ""
		switch withTLS := p.Protocol == HTTPS || p.Protocol == H2; {
		case (p.Cert == "") != (p.Key == ""):
			problem = "cert and key are needed together"
		case !withTLS && (p.CA != "" || p.Cert != "" || p.ServerName != ""):
			problem = fmt.Sprintf("ca, cert, key and server-name need TLS, which %s does not use", p.Protocol)
		}
		if problem != "" {
			return &Error{File: name, What: fmt.Sprintf("partner of destination %d: %s", p.Dest, problem)}
		}
	}
	return nil
}
