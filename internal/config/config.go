// Package config reads what a sender is told at its start: the environment, the
// JSON file that it names, and the settings of the decision module.
package config

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"sliptide/policy"
)

// Limits are what the machine lets the process use.
type Limits struct {
	Cores     float64
	MemoryMB  float64
	Sockets   int
	DiskBytes int64
}

// Config is all that one sender is told.
type Config struct {
	Name           string
	ListenAddr     string // host:port, for clients
	DiscoveryAddr  string // host:port
	AdminAddr      string // host:port of the operators' address; empty: there is none
	StateDir       string // the folder that lasts
	Seed           uint64
	Limits         Limits
	Settings       policy.Settings
	KnownEndpoints []byte // the list of endpoints as last had, in discovery's JSON; may be empty
}

// Load reads the file that RELAY_CONFIG names; the other variables go before
// what it says.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, getenv("RELAY_DISCOVERY"))
}

// Reload reads the file again after it was replaced. RELAY_DISCOVERY is as old as the
// process, so the file goes before it: else a new address would never be seen.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, "") }

func load(getenv func(string) string, discovery string) (*Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, f := range []struct {
		value string
		to    *string
	}{
		{getenv("RELAY_NAME"), &c.Name}, {getenv("RELAY_LISTEN"), &c.ListenAddr},
		{getenv("RELAY_STATE"), &c.StateDir}, {discovery, &c.DiscoveryAddr}, {getenv("RELAY_ADMIN"), &c.AdminAddr},
	} {
		if f.value != "" {
			*f.to = f.value
		}
	}
	return c, c.check()
}

// Parse reads the JSON form of the configuration.
func Parse(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	str := func(key string) string { return string(v.GetStringBytes(key)) }
	c := &Config{Name: str("name"), ListenAddr: str("listen"), DiscoveryAddr: str("discovery"), AdminAddr: str("admin"), StateDir: str("state")}
	if c.Seed, err = strconv.ParseUint(str("seed"), 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.Limits = Limits{
		Cores:     v.GetFloat64("limits", "cores"),
		MemoryMB:  v.GetFloat64("limits", "memory_mb"),
		Sockets:   v.GetInt("limits", "sockets"),
		DiskBytes: int64(v.GetFloat64("limits", "disk_mb") * (1 << 20)),
	}
	if known := v.Get("known"); known != nil && known.Type() == fastjson.TypeObject {
		c.KnownEndpoints = known.MarshalTo(nil)
	}
	set := v.Get("settings")
	if set == nil {
		return nil, fmt.Errorf("settings: missing")
	}
	m := map[string]string{}
	flatten(m, "", set)
	if c.Settings, err = readSettings(m); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

func (c *Config) check() error {
	for _, f := range []struct{ name, value string }{
		{"RELAY_LISTEN", c.ListenAddr}, {"RELAY_DISCOVERY", c.DiscoveryAddr}, {"RELAY_STATE", c.StateDir},
	} {
		if f.value == "" {
			return fmt.Errorf("%s is not set", f.name)
		}
	}
	if c.Limits.Sockets < 64 {
		return fmt.Errorf("limits.sockets: %d are too few, 64 at least", c.Limits.Sockets)
	}
	if c.Limits.DiskBytes < 64<<10 {
		return fmt.Errorf("limits.disk_mb: %d bytes are too few, 64 KiB at least", c.Limits.DiskBytes)
	}
	return nil
}

// flatten writes nested JSON as the path=value pairs of the wire: a list of
// plain values is joined with commas, a list of objects states its count.
func flatten(m map[string]string, path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		if path != "" {
			path += "."
		}
		v.GetObject().Visit(func(k []byte, v *fastjson.Value) { flatten(m, path+string(k), v) })
	case fastjson.TypeArray:
		items := v.GetArray()
		if len(items) > 0 && items[0].Type() == fastjson.TypeObject {
			m[path+".count"] = strconv.Itoa(len(items))
			for i, item := range items {
				flatten(m, path+"."+strconv.Itoa(i), item)
			}
			return
		}
		plain := make([]string, len(items))
		for i, item := range items {
			plain[i] = scalar(item)
		}
		m[path] = strings.Join(plain, ",")
	default:
		m[path] = scalar(v)
	}
}

func scalar(v *fastjson.Value) string {
	switch v.Type() {
	case fastjson.TypeString:
		return string(v.GetStringBytes())
	case fastjson.TypeNull:
		return ""
	}
	return v.String()
}
