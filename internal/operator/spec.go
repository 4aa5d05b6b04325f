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

// spec is all that an operators' file may hold.
func spec() *element {
	halfLife := func(name, fallback, doc string, field func(*HalfLives) *time.Duration) attribute {
		return attribute{
			Name: name, Default: fallback, Doc: doc, Values: strictxml.Duration(time.Second, 365*day),
			SetNumber: func(f *File, v int64) { *field(&f.Knowledge.HalfLives) = time.Duration(v) },
		}
	}
	return &element{
		Name: "sliptide", Doc: "What the operators set for a sender. Every part is off unless it is switched on.",
		Attrs: []attribute{{
			Name: "version", Required: true, Doc: "The form of this file.", Values: strictxml.OneOf("1"),
		}},
		Children: []element{{
			Name: "ready", Doc: "When a starting sender answers /up with 200.",
			Attrs: []attribute{{
				Name: "patience", Default: "5s", Values: strictxml.Duration(0, time.Hour),
				Doc:       "Without a list of endpoints, the sender is ready after so long.",
				SetNumber: func(f *File, v int64) { f.Ready.Timeout = time.Duration(v) },
			}},
		}, {
			Name: "log", Doc: "What the log holds beside changes of state.",
			Attrs: []attribute{{
				Name: "records", Default: "false", Values: strictxml.OneOf("false", "true"),
				Doc:       "A line for each thing that happens to a message, which sliptide lab count adds up. Many lines: for a replay, not for service.",
				SetNumber: func(f *File, v int64) { f.Log.Records = v == 1 },
			}},
		}, {
			Name: "knowledge", Doc: "Keeping over restarts what the sender has learned of its partners.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"),
				Doc:       "Switches the part on.",
				SetNumber: func(f *File, v int64) { f.Knowledge.Enabled = v == 1 },
			}, {
				Name: "max-size", Default: "192KiB", Values: strictxml.Size(16<<10, 1<<30),
				Doc:       "What all its files may take in the folder that lasts, while one replaces another too.",
				SetNumber: func(f *File, v int64) { f.Knowledge.MaxSize = v },
			}, {
				Name: "write-every", Default: "3s", Values: strictxml.Duration(100*time.Millisecond, time.Hour),
				Doc:       "The time between two snapshots. A told wait is written at once.",
				SetNumber: func(f *File, v int64) { f.Knowledge.WriteInterval = time.Duration(v) },
			}, {
				Name: "sync", Default: "none", Values: strictxml.OneOf("none", "always"),
				Doc:       "always: a file reaches the disk before it replaces the last, against power cuts.",
				SetNumber: func(f *File, v int64) { f.Knowledge.Sync = v == 1 },
			}},
			Children: []element{{
				Name: "half-life", Doc: "After how long what was learned weighs half. A told wait does not fade.",
				Attrs: []attribute{
					halfLife("limit", "30m", "A limit that a partner told.", func(h *HalfLives) *time.Duration { return &h.Limit }),
					halfLife("pace", "2m", "The sender's own pace at a partner.", func(h *HalfLives) *time.Duration { return &h.Pace }),
					halfLife("health", "2m", "Breakers, trials and ramps.", func(h *HalfLives) *time.Duration { return &h.Health }),
					halfLife("latency", "1h", "Call latencies.", func(h *HalfLives) *time.Duration { return &h.Latency }),
					halfLife("control", "30s", "A controller's theta and E[X].", func(h *HalfLives) *time.Duration { return &h.Admission }),
					halfLife("connections", "10m", "How idle and new connections fare.", func(h *HalfLives) *time.Duration { return &h.Connections }),
				},
			}},
		}, {
			Name: "storms", Doc: "Damping what comes back at once when a partner does: clients' second tries, the senders' backlog, their connections.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on.",
				SetNumber: func(f *File, v int64) { f.Storms.Enabled = v == 1 },
			}},
			Children: []element{{
				Name: "limit", Doc: "A partner's limit as it stands in its contract, over all senders. A lower one that it tells goes first.", Repeated: true, Unique: "dest",
				Add: func(f *File) { f.Storms.Limits = append(f.Storms.Limits, ContractLimit{}) },
				Attrs: []attribute{{
					Name: "dest", Required: true, Values: strictxml.Integer(0, 1<<16-1), Doc: "The number of the destination.",
					SetNumber: func(f *File, v int64) { f.Storms.Limits[len(f.Storms.Limits)-1].Dest = int(v) },
				}, {
					Name: "calls-per-second", Required: true, Values: strictxml.Integer(1, 1e6), Doc: "The calls that it takes.",
					SetNumber: func(f *File, v int64) { f.Storms.Limits[len(f.Storms.Limits)-1].CallsPerSecond = float64(v) },
				}},
			}},
		}, {
			Name: "telemetry", Doc: "Traces and metrics to a collector, by OpenTelemetry's OTLP.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on.",
				SetNumber: func(f *File, v int64) { f.Telemetry.Enabled = v == 1 },
			}, {
				Name: "endpoint", Values: strictxml.Text(`https?://[!-~]{1,1000}`, "http://host:port or https://host:port"), Doc: "Where the collector is; else OTEL_EXPORTER_OTLP_ENDPOINT, else http://127.0.0.1:4318 (gRPC: 4317).",
				SetText: func(f *File, v string) { f.Telemetry.Endpoint = v },
			}, {
				Name: "protocol", Values: strictxml.OneOf("http/protobuf", "grpc"), Doc: "How it is spoken to; else OTEL_EXPORTER_OTLP_PROTOCOL, else http/protobuf.",
				SetText: func(f *File, v string) { f.Telemetry.Protocol = v },
			}, {
				Name: "compression", Values: strictxml.OneOf("none", "gzip"), Doc: "Of requests; else OTEL_EXPORTER_OTLP_COMPRESSION, else gzip.",
				SetText: func(f *File, v string) { f.Telemetry.Compression = v },
			}, {
				Name: "timeout", Default: "5s", Values: strictxml.Duration(100*time.Millisecond, time.Minute), Doc: "Of one request.",
				SetNumber: func(f *File, v int64) { f.Telemetry.Timeout = time.Duration(v) },
			}, {
				Name: "every", Default: "10s", Values: strictxml.Duration(time.Second, time.Hour), Doc: "Between two exports of the metrics.",
				SetNumber: func(f *File, v int64) { f.Telemetry.MetricsInterval = time.Duration(v) },
			}, {
				Name: "share", Default: "1", Values: strictxml.Integer(0, 100), Doc: "Of ordinary traces, in percent. Failures, late ones, resends and what clients sample are always kept.",
				SetNumber: func(f *File, v int64) { f.Telemetry.SampledShare = float64(v) / 100 },
			}, {
				Name: "queue", Default: "512KiB", Values: strictxml.Size(16<<10, 1<<30), Doc: "What waits for the collector may take in memory; what waits to be encoded may take as much.",
				SetNumber: func(f *File, v int64) { f.Telemetry.QueueBytes = v },
			}, {
				Name: "ca", Values: strictxml.Text("[!-~]{1,1000}", "a path without blanks"), Doc: "CA certificates in PEM, of https; else OTEL_EXPORTER_OTLP_CERTIFICATE, else the system's.",
				SetText: func(f *File, v string) { f.Telemetry.CA = v },
			}, {
				Name: "cert", Values: strictxml.Text("[!-~]{1,1000}", "a path without blanks"), Doc: "The sender's own certificate, with key.",
				SetText: func(f *File, v string) { f.Telemetry.Cert = v },
			}, {
				Name: "key", Values: strictxml.Text("[!-~]{1,1000}", "a path without blanks"), Doc: "Its key, which nobody else may read.",
				SetText: func(f *File, v string) { f.Telemetry.Key = v },
			}},
			Children: []element{{
				Name: "header", Doc: "Sent with each request, beside those of OTEL_EXPORTER_OTLP_HEADERS.", Repeated: true, Unique: "name",
				Add: func(f *File) { f.Telemetry.Headers = append(f.Telemetry.Headers, Pair{}) },
				Attrs: []attribute{{
					Name: "name", Required: true, Values: strictxml.Text("[a-z0-9_.-]{1,100}", "small letters, digits, dots and dashes"), Doc: "Its name.",
					SetText: func(f *File, v string) { f.Telemetry.Headers[len(f.Telemetry.Headers)-1].Name = v },
				}, {
					Name: "value", Required: true, Values: strictxml.Text("[ -~]{0,1000}", "printable ASCII"), Doc: "Its value.",
					SetText: func(f *File, v string) { f.Telemetry.Headers[len(f.Telemetry.Headers)-1].Value = v },
				}},
			}, {
				Name: "resource", Doc: "An attribute of the resource, beside those of OTEL_RESOURCE_ATTRIBUTES.", Repeated: true, Unique: "name",
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
			Name: "partners", Doc: "Partners that are not reached by plain HTTP/1.1.",
			Children: []element{partnerSpec()},
		}, fleetSpec()},
	}
}

// partnerSpec is one partner.
func partnerSpec() element {
	last := func(f *File) *Partner { return &f.Partners[len(f.Partners)-1] }
	path := strictxml.Text("[!-~]{1,1000}", "a path without blanks")
	return element{
		Name: "partner", Doc: "How the endpoints of one destination are reached.", Repeated: true, Unique: "dest",
		Add: func(f *File) { f.Partners = append(f.Partners, Partner{}) },
		Attrs: []attribute{{
			Name: "dest", Required: true, Values: strictxml.Integer(0, 1<<16-1), Doc: "The number of the destination.",
			SetNumber: func(f *File, v int64) { last(f).Dest = int(v) },
		}, {
			Name: "protocol", Required: true, Values: strictxml.OneOf(string(HTTP1), string(HTTPS), string(H2), string(H2C)),
			Doc:       "https: HTTP/1.1 over TLS. h2: HTTP/2 over TLS, or HTTP/1.1 if the partner picks that. h2c: HTTP/2 without TLS.",
			SetNumber: func(f *File, v int64) { last(f).Protocol = []Protocol{HTTP1, HTTPS, H2, H2C}[v] },
		}, {
			Name: "server-name", Values: strictxml.Text("[A-Za-z0-9.-]{1,253}", "a host name"), Doc: "The name that the certificate must bear; else the address's.",
			SetText: func(f *File, v string) { last(f).ServerName = v },
		}, {
			Name: "ca", Values: path, Doc: "A file of CA certificates in PEM; else the system's.",
			SetText: func(f *File, v string) { last(f).CA = v },
		}, {
			Name: "cert", Values: path, Doc: "The sender's own certificate in PEM, with key.",
			SetText: func(f *File, v string) { last(f).Cert = v },
		}, {
			Name: "key", Values: path, Doc: "Its key in PEM, which nobody else may read.",
			SetText: func(f *File, v string) { last(f).Key = v },
		}, {
			Name: "max-connections", Default: "4", Values: strictxml.Integer(1, 64), Doc: "HTTP/2 connections to one endpoint.",
			SetNumber: func(f *File, v int64) { last(f).MaxConns = int(v) },
		}, {
			Name: "ping-after", Default: "5s", Values: strictxml.Duration(100*time.Millisecond, time.Hour), Doc: "Silence with requests out, after which an HTTP/2 partner is asked for a sign.",
			SetNumber: func(f *File, v int64) { last(f).PingAfter = time.Duration(v) },
		}, {
			Name: "ping-timeout", Default: "2s", Values: strictxml.Duration(100*time.Millisecond, time.Minute), Doc: "How long that sign may take.",
			SetNumber: func(f *File, v int64) { last(f).PingTimeout = time.Duration(v) },
		}},
	}
}
