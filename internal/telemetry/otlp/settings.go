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

// Configure combines the operator's settings with the standard environment variables (OpenTelemetry specification,
// "OpenTelemetry Protocol Exporter" and "General SDK Configuration"). The settings take precedence over the variables,
// except for the timeout: there the variable takes precedence, since the setting always has a value. name is
// the name of the sender, which becomes service.instance.id.
func Configure(settings operator.Telemetry, name string, getenv func(string) string) (Options, error) {
	env := func(key string) string { return strings.TrimSpace(getenv("OTEL_EXPORTER_OTLP_" + key)) }
	o := Options{QueueBytes: settings.QueueBytes, SampledShare: settings.SampledShare, MetricsInterval: settings.MetricsInterval}
	t := Target{URL: firstNonEmpty(settings.Endpoint, env("ENDPOINT")), Timeout: settings.Timeout, Headers: map[string]string{}}
	switch protocol := firstNonEmpty(settings.Protocol, env("PROTOCOL"), "http/protobuf"); protocol {
	case "grpc":
		t.GRPC = true
		t.URL = firstNonEmpty(t.URL, "http://127.0.0.1:4317")
	case "http/protobuf":
		t.URL = firstNonEmpty(t.URL, "http://127.0.0.1:4318")
	default:
		return o, fmt.Errorf("OTEL_EXPORTER_OTLP_PROTOCOL=%q; allowed: grpc, http/protobuf", protocol)
	}
	switch compression := firstNonEmpty(settings.Compression, env("COMPRESSION"), "gzip"); compression {
	case "gzip":
		t.Gzip = true
	case "none":
	default:
		return o, fmt.Errorf("OTEL_EXPORTER_OTLP_COMPRESSION=%q; allowed: gzip, none", compression)
	}
	if ms := env("TIMEOUT"); ms != "" {
		n, err := strconv.ParseUint(ms, 10, 31)
		if err != nil || n == 0 {
			return o, fmt.Errorf("OTEL_EXPORTER_OTLP_TIMEOUT=%q; allowed: a number of milliseconds, at least 1", ms)
		}
		t.Timeout = time.Duration(n) * time.Millisecond
	}
	headers, err := parsePairs("OTEL_EXPORTER_OTLP_HEADERS", env("HEADERS"))
	if err != nil {
		return o, err
	}
	for _, p := range append(headers, settings.Headers...) {
		t.Headers[strings.ToLower(p.Name)] = p.Value
	}
	if strings.HasPrefix(t.URL, "https:") {
		files := keys.Files{CA: firstNonEmpty(settings.CA, env("CERTIFICATE")), Cert: firstNonEmpty(settings.Cert, env("CLIENT_CERTIFICATE")), Key: firstNonEmpty(settings.Key, env("CLIENT_KEY"))}
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
	o.Resource, err = resourceAttributes(settings, name, getenv)
	return o, err
}

func firstNonEmpty(list ...string) string {
	for _, s := range list {
		if s != "" {
			return s
		}
	}
	return ""
}

// resourceAttributes returns the attributes that identify the sender. If one is set more than once, the last value
// counts: the operator's settings override OTEL_RESOURCE_ATTRIBUTES, which overrides the defaults.
func resourceAttributes(settings operator.Telemetry, name string, getenv func(string) string) ([]metric.Attr, error) {
	list, err := parsePairs("OTEL_RESOURCE_ATTRIBUTES", getenv("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, err
	}
	attrs := []metric.Attr{{Key: "service.name", Value: firstNonEmpty(getenv("OTEL_SERVICE_NAME"), "sliptide")}, {Key: "service.instance.id", Value: name},
		{Key: "process.pid", Value: strconv.Itoa(os.Getpid())}}
next:
	for _, p := range append(list, settings.ResourceAttributes...) {
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

// parsePairs parses the value of an environment variable: name=value pairs separated by commas, with percent-encoded
// values.
func parsePairs(variable, text string) ([]operator.Pair, error) {
	var list []operator.Pair
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		value, err := url.PathUnescape(strings.TrimSpace(value))
		if name = strings.TrimSpace(name); !ok || name == "" || err != nil {
			return nil, fmt.Errorf("%s: %.40q; allowed: name=value pairs, separated by commas", variable, part)
		}
		list = append(list, operator.Pair{Name: name, Value: value})
	}
	return list, nil
}
