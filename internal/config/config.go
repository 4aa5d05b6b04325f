// Package config reads a sender's configuration: the environment variables, the JSON file that RELAY_CONFIG
// names, and in that file the settings of package policy.
package config

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"sliptide/policy"
)

// Limits bounds the machine's resources that the process may use.
type Limits struct {
	Cores     float64 // 0: no limit
	MemoryMB  float64 // in MiB; 0: no limit
	Sockets   int     // file descriptors
	DiskBytes int64   // space in the state directory
}

// Config is the configuration of one sender.
type Config struct {
	Name           string
	ListenAddr     string // host:port on which clients are served
	DiscoveryAddr  string // host:port
	AdminAddr      string // host:port of the operators' address; empty: disabled
	StateDir       string // state directory
	Seed           uint64
	Limits         Limits
	Settings       policy.Settings
	KnownEndpoints []byte // endpoint list to start with, in discovery's JSON; may be empty

	keys fileKeys // what the file states
}

// Load reads the file that RELAY_CONFIG names. The other environment variables override the file.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, getenv("RELAY_DISCOVERY"))
}

// Reload reads the file again after it was replaced. It ignores RELAY_DISCOVERY: the variable cannot change during
// the process's run, so it would hide a new discovery address in the file.
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
		value  string
		target *string
	}{
		{getenv("RELAY_NAME"), &c.Name}, {getenv("RELAY_LISTEN"), &c.ListenAddr},
		{getenv("RELAY_STATE"), &c.StateDir}, {discovery, &c.DiscoveryAddr}, {getenv("RELAY_ADMIN"), &c.AdminAddr},
	} {
		if f.value != "" {
			*f.target = f.value
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
	settings := v.Get("settings")
	if settings == nil {
		return nil, fmt.Errorf("settings: missing")
	}
	values := map[string]string{}
	flatten(values, "", settings)
	if c.Settings, err = readSettings(values); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.keys = newFileKeys(allValues(v))
	return c, nil
}

// check returns an error if a required address or directory is missing, or if a limit is too small to run with.
func (c *Config) check() error {
	for _, f := range []struct{ name, value string }{
		{"RELAY_LISTEN", c.ListenAddr}, {"RELAY_DISCOVERY", c.DiscoveryAddr}, {"RELAY_STATE", c.StateDir},
	} {
		if f.value == "" {
			return fmt.Errorf("%s is not set", f.name)
		}
	}
	if c.Limits.Sockets < 64 {
		return fmt.Errorf("limits.sockets: %d is too small; minimum: 64", c.Limits.Sockets)
	}
	if c.Limits.DiskBytes < 64<<10 {
		return fmt.Errorf("limits.disk_mb: %d bytes is too small; minimum: 64 KiB", c.Limits.DiskBytes)
	}
	return nil
}

// allValues returns the limits and the settings as path=value pairs.
func allValues(v *fastjson.Value) map[string]string {
	values := map[string]string{}
	for _, part := range []string{"limits", "settings"} {
		if stated := v.Get(part); stated != nil {
			flatten(values, part, stated)
		}
	}
	return values
}

// flatten adds nested JSON to values as path=value pairs, the form of the simulator's wire. A list of scalars becomes
// one value joined with commas; a list of objects becomes one set of pairs per item, under path.0, path.1 and so on,
// and the number of items under path.count. A key that is null counts as absent.
func flatten(values map[string]string, path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		if path != "" {
			path += "."
		}
		v.GetObject().Visit(func(k []byte, v *fastjson.Value) { flatten(values, path+string(k), v) })
	case fastjson.TypeArray:
		items := v.GetArray()
		if len(items) > 0 && items[0].Type() == fastjson.TypeObject {
			values[path+".count"] = strconv.Itoa(len(items))
			for i, item := range items {
				flatten(values, path+"."+strconv.Itoa(i), item)
			}
			return
		}
		scalars := make([]string, len(items))
		for i, item := range items {
			scalars[i] = scalar(item)
		}
		values[path] = strings.Join(scalars, ",")
	case fastjson.TypeNull:
	default:
		values[path] = scalar(v)
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
