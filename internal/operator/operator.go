// Package operator reads the operators' file, deploy/sliptide.xml: all that is set by the people who
// run a sender and is not in the platform's own configuration. One table (spec.go) says what the file
// may hold; the strict reader and the XML schema both come from it, so that they cannot part.
//
// It reads and checks. It starts nothing, and it knows nothing of the parts that it configures.
package operator

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"sliptide/internal/strictxml"
)

// File is what the operators have set. Whatever the file leaves out stands at its default; every part
// is off by default.
type File struct {
	Ready     Ready
	Log       Log
	Knowledge Knowledge
	Storms    Storms
	Telemetry Telemetry
	Partners  []Partner
	Fleet     Fleet
}

// Telemetry sets how traces and metrics go to a collector. Empty texts: as the environment says.
type Telemetry struct {
	Enabled            bool
	Endpoint           string
	Protocol           string
	Compression        string
	Timeout            time.Duration
	MetricsInterval    time.Duration
	SampledShare       float64
	QueueBytes         int64 // bytes
	CA, Cert, Key      string
	Headers            []Pair
	ResourceAttributes []Pair
}

// Pair is a name with its value.
type Pair struct{ Name, Value string }

// Storms sets how retry storms are damped.
type Storms struct {
	Enabled bool
	Limits  []ContractLimit
}

// StatedLimit is a partner's limit as its contract has it.
type ContractLimit struct {
	Dest           int
	CallsPerSecond float64 // calls a second, over all senders
}

// Protocol is how a partner is spoken to.
type Protocol string

// The protocols.
const (
	HTTP1 Protocol = "http/1.1"
	HTTPS Protocol = "https" // HTTP/1.1 over TLS
	H2    Protocol = "h2"    // over TLS, by ALPN
	H2C   Protocol = "h2c"   // HTTP/2 by prior knowledge, without TLS
)

// Partner is how the endpoints of one destination are reached.
type Partner struct {
	Dest          int
	Protocol      Protocol
	ServerName    string
	CA, Cert, Key string // files; empty: none
	MaxConns      int    // HTTP/2 connections to one endpoint
	PingAfter     time.Duration
	PingTimeout   time.Duration
}

// Ready says when a starting sender answers /up with 200.
type Ready struct {
	Timeout time.Duration // with an empty list and no word from discovery, it is ready after so long
}

// Log sets what the log holds beside changes of state.
type Log struct {
	Records bool // a line for each thing that happens to a message
}

// Knowledge sets what a sender keeps of what it has learned, over its restarts.
type Knowledge struct {
	Enabled       bool
	MaxSize       int64         // bytes of the folder that lasts, copies included, that knowledge may take
	WriteInterval time.Duration // between two snapshots; told waits are written at once
	Sync          bool          // fsync before a file takes the old one's place
	HalfLives     HalfLives
}

// HalfLives are the times after which what was learned weighs half. docs/knowledge.md says why each
// default is what it is. A told wait has none: it is kept to its end.
type HalfLives struct {
	Limit       time.Duration // a limit that a partner told
	Pace        time.Duration // the sender's own pace there
	Health      time.Duration // breakers, trials and ramps
	Latency     time.Duration // call latencies
	Admission   time.Duration // a controller's theta and E[X]
	Connections time.Duration // what connections are worth
}

// Default returns the settings of an operators' file that sets nothing.
func Default() File {
	var f File
	spec().ApplyDefaults(&f)
	return f
}

// Error is one fault of an operators' file: where it is, what is wrong, what is allowed.
type Error = strictxml.Error

// Load reads the operators' file at path; the files that it names are relative to its folder. Errors are
// of type *Error.
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

// Read reads an operators' file. Whatever it does not know, it refuses; name stands in messages.
// Errors are of type *Error.
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

// check finds what a schema cannot: values that do not go together.
func (f *File) check(name string) error {
	if (f.Telemetry.Cert == "") != (f.Telemetry.Key == "") {
		return &Error{File: name, What: "telemetry: cert and key go together"}
	}
	if bad := f.Fleet.check(f.Storms.Enabled); bad != "" {
		return &Error{File: name, What: bad}
	}
	for _, p := range f.Partners {
		bad := ""
		switch withTLS := p.Protocol == HTTPS || p.Protocol == H2; {
		case (p.Cert == "") != (p.Key == ""):
			bad = "cert and key go together"
		case !withTLS && (p.CA != "" || p.Cert != "" || p.ServerName != ""):
			bad = fmt.Sprintf("ca, cert, key and server-name need TLS, which %s has not", p.Protocol)
		}
		if bad != "" {
			return &Error{File: name, What: fmt.Sprintf("partner of destination %d: %s", p.Dest, bad)}
		}
	}
	return nil
}
