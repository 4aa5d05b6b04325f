package otlp

import (
	"crypto/tls"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"sliptide/internal/keys"
	"sliptide/internal/operator"
	"sliptide/internal/telemetry/metric"
)

// Configure joins what the operators have set with the usual variables of the environment (OpenTelemetry
// specification, "OpenTelemetry Protocol Exporter" and "General SDK Configuration"): what the file sets goes
// first. name is the sender's, which tells its instances apart.
func Configure(set operator.Telemetry, name string, getenv func(string) string) (Options, error) {
	env := func(key string) string { return strings.TrimSpace(getenv("OTEL_EXPORTER_OTLP_" + key)) }
	o := Options{QueueBytes: set.QueueBytes, SampledShare: set.SampledShare, MetricsInterval: set.MetricsInterval}
	t := Target{URL: or(set.Endpoint, env("ENDPOINT")), Timeout: set.Timeout, Headers: map[string]string{}}
	switch protocol := or(set.Protocol, env("PROTOCOL"), "http/protobuf"); protocol {
	case "grpc":
		t.GRPC = true
		t.URL = or(t.URL, "http://127.0.0.1:4317")
	case "http/protobuf":
		t.URL = or(t.URL, "http://127.0.0.1:4318")
	default:
		return o, fmt.Errorf("OTEL_EXPORTER_OTLP_PROTOCOL=%q; allowed: grpc, http/protobuf", protocol)
	}
	switch compression := or(set.Compression, env("COMPRESSION"), "gzip"); compression {
	case "gzip":
		t.Gzip = true
	case "none":
	default:
		return o, fmt.Errorf("OTEL_EXPORTER_OTLP_COMPRESSION=%q; allowed: gzip, none", compression)
	}
	if ms := env("TIMEOUT"); ms != "" {
		n, err := strconv.ParseUint(ms, 10, 31)
		if err != nil || n == 0 {
			return o, fmt.Errorf("OTEL_EXPORTER_OTLP_TIMEOUT=%q; allowed: milliseconds from 1", ms)
		}
		t.Timeout = time.Duration(n) * time.Millisecond
	}
	headers, err := pairs("OTEL_EXPORTER_OTLP_HEADERS", env("HEADERS"))
	if err != nil {
		return o, err
	}
	for _, p := range append(headers, set.Headers...) {
		t.Headers[strings.ToLower(p.Name)] = p.Value
	}
	if strings.HasPrefix(t.URL, "https:") {
		files := keys.Files{CA: or(set.CA, env("CERTIFICATE")), Cert: or(set.Cert, env("CLIENT_CERTIFICATE")), Key: or(set.Key, env("CLIENT_KEY"))}
		cfg, _, err := keys.Load(files, time.Now())
		if err != nil {
			return o, err
		}
		if cfg == nil {
			cfg = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		t.TLS = cfg
	}
	o.Target = t
	o.Resource, err = resourceAttrs(set, name, getenv)
	return o, err
}

func or(list ...string) string {
	for _, s := range list {
		if s != "" {
			return s
		}
	}
	return ""
}

// resourceAttrs says who sends. Of a name that is set twice, the file's value counts.
func resourceAttrs(set operator.Telemetry, name string, getenv func(string) string) ([]metric.Attr, error) {
	list, err := pairs("OTEL_RESOURCE_ATTRIBUTES", getenv("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, err
	}
	attrs := []metric.Attr{{Key: "service.name", Value: or(getenv("OTEL_SERVICE_NAME"), "sliptide")}, {Key: "service.instance.id", Value: name},
		{Key: "process.pid", Value: strconv.Itoa(os.Getpid())}}
next:
	for _, p := range append(list, set.ResourceAttributes...) {
		for i := range attrs {
			if attrs[i].Key == p.Name {
				attrs[i].Value = p.Value
				continue next
			}
		}
		attrs = append(attrs, metric.Attr{Key: p.Name, Value: p.Value})
	}
	return attrs, nil
}

// pairs reads name=value,name=value with values in percent-encoding, as a variable has them.
func pairs(variable, text string) ([]operator.Pair, error) {
	var list []operator.Pair
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		value, err := url.PathUnescape(strings.TrimSpace(value))
		if name = strings.TrimSpace(name); !ok || name == "" || err != nil {
			return nil, fmt.Errorf("%s: %.40q; allowed: name=value, with commas between", variable, part)
		}
		list = append(list, operator.Pair{Name: name, Value: value})
	}
	return list, nil
}
