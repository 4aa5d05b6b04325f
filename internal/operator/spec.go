package operator

import (
	"time"

	"sliptide/internal/strictxml"
)

type (
	element   = strictxml.Element[File]
	attribute = strictxml.Attribute[File]
)

const day = 24 * time.Hour

// spec returns the specification of the operators' file.
func spec() *element {
	halfLife := func(name, defaultValue, doc string, field func(*HalfLives) *time.Duration) attribute {
		return attribute{
			Name: name, Default: defaultValue, Doc: doc, Values: strictxml.Duration(time.Second, 365*day),
			SetNumber: func(f *File, v int64) { *field(&f.Knowledge.HalfLives) = time.Duration(v) },
		}
	}
	return &element{
		Name: "sliptide", Doc: "The operators' settings of a sender. Every part is off unless it is enabled.",
		Attrs: []attribute{{
			Name: "version", Required: true, Doc: "The version of the file format.", Values: strictxml.OneOf("1"),
		}},
		Children: []element{{
			Name: "ready", Doc: "When a starting sender answers /up with 200.",
			Attrs: []attribute{{
				Name: "patience", Default: "5s", Values: strictxml.Duration(0, time.Hour),
				Doc:       "The sender is ready after this time even without a list of endpoints.",
				SetNumber: func(f *File, v int64) { f.Ready.Timeout = time.Duration(v) },
			}},
		}, {
			Name: "log", Doc: "What the log holds besides changes of state.",
			Attrs: []attribute{{
				Name: "records", Default: "false", Values: strictxml.OneOf("false", "true"),
				Doc:       "A line for each event of a message, for sliptide lab count. Too many lines for production.",
				SetNumber: func(f *File, v int64) { f.Log.Records = v == 1 },
			}},
		}, {
			Name: "knowledge", Doc: "Preserving over restarts what the sender has learned of its partners.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"),
				Doc:       "Enables this part.",
				SetNumber: func(f *File, v int64) { f.Knowledge.Enabled = v == 1 },
			}, {
				Name: "max-size", Default: "192KiB", Values: strictxml.Size(16<<10, 1<<30),
				Doc:       "Space that all its files may take in the state directory, including while one replaces another.",
				SetNumber: func(f *File, v int64) { f.Knowledge.MaxSize = v },
			}, {
				Name: "write-every", Default: "3s", Values: strictxml.Duration(100*time.Millisecond, time.Hour),
				Doc:       "The time between two snapshots. A requested wait is written at once.",
				SetNumber: func(f *File, v int64) { f.Knowledge.WriteInterval = time.Duration(v) },
			}, {
				Name: "sync", Default: "none", Values: strictxml.OneOf("none", "always"),
				Doc:       "always: each file is synced to disk before it replaces the previous one, against power failures.",
				SetNumber: func(f *File, v int64) { f.Knowledge.Sync = v == 1 },
			}},
			Children: []element{{
				Name: "half-life", Doc: "The time after which the weight of a fact is halved. A requested wait keeps its weight.",
				Attrs: []attribute{
					halfLife("limit", "30m", "A partner's advertised limit.", func(h *HalfLives) *time.Duration { return &h.Limit }),
					halfLife("pace", "2m", "The sender's own pace at a partner.", func(h *HalfLives) *time.Duration { return &h.Pace }),
					halfLife("health", "2m", "Breakers, trials and ramps.", func(h *HalfLives) *time.Duration { return &h.Health }),
					halfLife("latency", "1h", "Call latencies.", func(h *HalfLives) *time.Duration { return &h.Latency }),
					halfLife("control", "30s", "A controller's theta and E[X].", func(h *HalfLives) *time.Duration { return &h.Admission }),
					halfLife("connections", "10m", "Failure shares of idle and of new connections.", func(h *HalfLives) *time.Duration { return &h.Connections }),
				},
			}},
		}, {
			Name: "storms", Doc: "Damping of the storm when a partner returns: clients' retries, the senders' backlog, their new connections.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part.",
				SetNumber: func(f *File, v int64) { f.Storms.Enabled = v == 1 },
			}},
			Children: []element{{
				Name: "limit", Doc: "A partner's limit as stated in its contract, over all senders. A lower advertised limit takes precedence.", Repeated: true, Unique: "dest",
				Add: func(f *File) { f.Storms.Limits = append(f.Storms.Limits, ContractLimit{}) },
				Attrs: []attribute{{
					Name: "dest", Required: true, Values: strictxml.Integer(0, 1<<16-1), Doc: "The number of the destination.",
					SetNumber: func(f *File, v int64) { f.Storms.Limits[len(f.Storms.Limits)-1].Dest = int(v) },
				}, {
					Name: "calls-per-second", Required: true, Values: strictxml.Integer(1, 1e6), Doc: "The calls per second that it accepts.",
					SetNumber: func(f *File, v int64) { f.Storms.Limits[len(f.Storms.Limits)-1].CallsPerSecond = float64(v) },
				}},
			}},
		}, {
			Name: "telemetry", Doc: "Export of traces and metrics to a collector by OTLP (OpenTelemetry).",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part.",
				SetNumber: func(f *File, v int64) { f.Telemetry.Enabled = v == 1 },
			}, {
				Name: "endpoint", Values: strictxml.Text(`https?://[!-~]{1,1000}`, "http://host:port or https://host:port"), Doc: "The collector's URL; else OTEL_EXPORTER_OTLP_ENDPOINT, else http://127.0.0.1:4318 (gRPC: 4317).",
				SetText: func(f *File, v string) { f.Telemetry.Endpoint = v },
			}, {
				Name: "protocol", Values: strictxml.OneOf("http/protobuf", "grpc"), Doc: "Protocol of the requests; else OTEL_EXPORTER_OTLP_PROTOCOL, else http/protobuf.",
				SetText: func(f *File, v string) { f.Telemetry.Protocol = v },
			}, {
				Name: "compression", Values: strictxml.OneOf("none", "gzip"), Doc: "Compression of the requests; else OTEL_EXPORTER_OTLP_COMPRESSION, else gzip.",
				SetText: func(f *File, v string) { f.Telemetry.Compression = v },
			}, {
				Name: "timeout", Default: "5s", Values: strictxml.Duration(100*time.Millisecond, time.Minute), Doc: "Timeout of one request.",
				SetNumber: func(f *File, v int64) { f.Telemetry.Timeout = time.Duration(v) },
			}, {
				Name: "every", Default: "10s", Values: strictxml.Duration(time.Second, time.Hour), Doc: "The time between two exports of the metrics.",
				SetNumber: func(f *File, v int64) { f.Telemetry.MetricsInterval = time.Duration(v) },
			}, {
				Name: "share", Default: "1", Values: strictxml.Integer(0, 100), Doc: "Percentage of ordinary traces that are sampled. Traces of failed, late, retried and resubmitted messages and those sampled by clients are always kept.",
				SetNumber: func(f *File, v int64) { f.Telemetry.SampledShare = float64(v) / 100 },
			}, {
				Name: "queue", Default: "512KiB", Values: strictxml.Size(16<<10, 1<<30), Doc: "Memory for data that waits for the collector. Data that waits to be encoded may take as much again.",
				SetNumber: func(f *File, v int64) { f.Telemetry.QueueBytes = v },
			}, {
				Name: "ca", Values: strictxml.Text("[!-~]{1,1000}", "a path without spaces"), Doc: "CA certificates in PEM, for https; else OTEL_EXPORTER_OTLP_CERTIFICATE, else the system's.",
				SetText: func(f *File, v string) { f.Telemetry.CA = v },
			}, {
				Name: "cert", Values: strictxml.Text("[!-~]{1,1000}", "a path without spaces"), Doc: "The sender's client certificate in PEM; requires key.",
				SetText: func(f *File, v string) { f.Telemetry.Cert = v },
			}, {
				Name: "key", Values: strictxml.Text("[!-~]{1,1000}", "a path without spaces"), Doc: "Its private key in PEM, which only the owner of the file may read.",
				SetText: func(f *File, v string) { f.Telemetry.Key = v },
			}},
			Children: []element{{
				Name: "header", Doc: "A header of each request, besides those of OTEL_EXPORTER_OTLP_HEADERS.", Repeated: true, Unique: "name",
				Add: func(f *File) { f.Telemetry.Headers = append(f.Telemetry.Headers, Pair{}) },
				Attrs: []attribute{{
					Name: "name", Required: true, Values: strictxml.Text("[a-z0-9_.-]{1,100}", "lowercase letters, digits, dots and dashes"), Doc: "Its name.",
					SetText: func(f *File, v string) { f.Telemetry.Headers[len(f.Telemetry.Headers)-1].Name = v },
				}, {
					Name: "value", Required: true, Values: strictxml.Text("[ -~]{0,1000}", "printable ASCII"), Doc: "Its value.",
					SetText: func(f *File, v string) { f.Telemetry.Headers[len(f.Telemetry.Headers)-1].Value = v },
				}},
			}, {
				Name: "resource", Doc: "An attribute of the resource, besides those of OTEL_RESOURCE_ATTRIBUTES.", Repeated: true, Unique: "name",
				Add: func(f *File) { f.Telemetry.ResourceAttributes = append(f.Telemetry.ResourceAttributes, Pair{}) },
				Attrs: []attribute{{
					Name: "name", Required: true, Values: strictxml.Text("[a-zA-Z0-9_.-]{1,100}", "letters, digits, dots and dashes"), Doc: "Its name.",
					SetText: func(f *File, v string) {
						f.Telemetry.ResourceAttributes[len(f.Telemetry.ResourceAttributes)-1].Name = v
					},
				}, {
					Name: "value", Required: true, Values: strictxml.Text("[ -~]{0,200}", "printable ASCII"), Doc: "Its value.",
					SetText: func(f *File, v string) {
						f.Telemetry.ResourceAttributes[len(f.Telemetry.ResourceAttributes)-1].Value = v
					},
				}},
			}},
		}, {
			Name: "partners", Doc: "Partners that are called by another protocol than HTTP/1.1 without TLS.",
			Children: []element{partnerSpec()},
		}, fleetSpec()},
	}
}

// partnerSpec returns the specification of <partner>.
func partnerSpec() element {
	last := func(f *File) *Partner { return &f.Partners[len(f.Partners)-1] }
	path := strictxml.Text("[!-~]{1,1000}", "a path without spaces")
	return element{
		Name: "partner", Doc: "How the endpoints of one destination are reached.", Repeated: true, Unique: "dest",
		Add: func(f *File) { f.Partners = append(f.Partners, Partner{}) },
		Attrs: []attribute{{
			Name: "dest", Required: true, Values: strictxml.Integer(0, 1<<16-1), Doc: "The number of the destination.",
			SetNumber: func(f *File, v int64) { last(f).Dest = int(v) },
		}, {
			Name: "protocol", Required: true, Values: strictxml.OneOf(string(HTTP1), string(HTTPS), string(H2), string(H2C)),
			Doc:       "https: HTTP/1.1 over TLS. h2: HTTP/2 over TLS, or HTTP/1.1 if the partner selects that. h2c: HTTP/2 without TLS.",
			SetNumber: func(f *File, v int64) { last(f).Protocol = []Protocol{HTTP1, HTTPS, H2, H2C}[v] },
		}, {
			Name: "server-name", Values: strictxml.Text("[A-Za-z0-9.-]{1,253}", "a host name"), Doc: "The host name that the partner's certificate must contain; else the host of the address.",
			SetText: func(f *File, v string) { last(f).ServerName = v },
		}, {
			Name: "ca", Values: path, Doc: "File of CA certificates in PEM; else the system's.",
			SetText: func(f *File, v string) { last(f).CA = v },
		}, {
			Name: "cert", Values: path, Doc: "The sender's client certificate in PEM; requires key.",
			SetText: func(f *File, v string) { last(f).Cert = v },
		}, {
			Name: "key", Values: path, Doc: "Its private key in PEM, which only the owner of the file may read.",
			SetText: func(f *File, v string) { last(f).Key = v },
		}, {
			Name: "max-connections", Default: "4", Values: strictxml.Integer(1, 64), Doc: "HTTP/2 connections to one endpoint.",
			SetNumber: func(f *File, v int64) { last(f).MaxConns = int(v) },
		}, {
			Name: "ping-after", Default: "5s", Values: strictxml.Duration(100*time.Millisecond, time.Hour), Doc: "An HTTP/2 partner that is silent for this time while requests are outstanding is sent a ping.",
			SetNumber: func(f *File, v int64) { last(f).PingAfter = time.Duration(v) },
		}, {
			Name: "ping-timeout", Default: "2s", Values: strictxml.Duration(100*time.Millisecond, time.Minute), Doc: "How long the answer to a ping may take.",
			SetNumber: func(f *File, v int64) { last(f).PingTimeout = time.Duration(v) },
		}},
	}
}
