package operator

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sliptide/internal/strictxml"
)

const schemaFile = "../../deploy/sliptide.xsd"

const threeVoters = `<member name="n1" addr="127.0.0.1:1" voter="true"/><member name="n2" addr="10.0.0.2:1" zone="b" voter="true"/><member name="n3" addr="[::1]:1" voter="true"/>`

func fleetDocument(duties, members string) string {
	return `<sliptide version="1"><fleet enabled="true">` + members + `<duties ` + duties + `/></fleet></sliptide>`
}

// Fleet settings that the schema accepts but that are not allowed together are refused with an error of one line.
func TestInvalidFleet(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no voters":         {fleetDocument(``, ``), "allowed: 3 or 5"},
		"more than count":   {strings.Replace(fleetDocument(``, threeVoters), `<duties`, `<copies enabled="true" count="1" needed="2"/><duties`, 1), "count at most"},
		"class over count":  {strings.Replace(fleetDocument(``, threeVoters), `<duties`, `<copies enabled="true" count="1"><class name="pay" needed="2"/></copies><duties`, 1), `class "pay"`},
		"too few members":   {strings.Replace(fleetDocument(``, threeVoters), `<duties`, `<copies enabled="true" count="3"/><duties`, 1), "among 3 members"},
		"even":              {fleetDocument(``, threeVoters+`<member name="n4" addr="127.0.0.1:4" voter="true"/>`), "4 members have voter"},
		"one address":       {fleetDocument(``, threeVoters+`<member name="n4" addr="127.0.0.1:1"/>`), `"n1" and "n4" both have`},
		"public address":    {fleetDocument(``, threeVoters+`<member name="n4" addr="203.0.113.9:1"/>`), "without ca, cert and key"},
		"no port":           {fleetDocument(``, threeVoters+`<member name="n4" addr="127.0.0.1"/>`), "an IP address and a port"},
		"lease too short":   {fleetDocument(`lease="900ms"`, threeVoters), "shorter than two election times"},
		"minimum too small": {strings.Replace(fleetDocument(``, threeVoters+`<member name="n4" addr="127.0.0.1:4" voter="true"/><member name="n5" addr="127.0.0.1:5" voter="true"/>`), `enabled="true"`, `enabled="true" voter-minimum="2"`, 1), "allowed: 3 to 5"},
		"key without cert":  {strings.Replace(fleetDocument(``, threeVoters), `enabled="true"`, `enabled="true" key="/k"`, 1), "needed together"},
		"trials, no storms": {strings.Replace(fleetDocument(``, threeVoters), `<duties`, `<trials enabled="true"/><duties`, 1), "trials need"},
	} {
		_, err := Read("f.xml", strings.NewReader(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.want)
		}
	}
}

// documents holds documents, each with a part of the error that Read must return for it; empty: no error.
var documents = []struct{ name, text, want string }{
	{"empty root", `<sliptide version="1"/>`, ""},
	{"all defaults", `<sliptide version="1"><ready/><knowledge><half-life/></knowledge></sliptide>`, ""},
	{"other order", `<sliptide version="1"><knowledge/><ready/></sliptide>`, ""},
	{"comments", `<!-- a --><sliptide version="1"><!-- b --> <ready patience="0ms"/></sliptide><!-- c -->`, ""},
	{"schema named", `<sliptide version="1" xmlns:xsi="http://www.w3.org/2001/XMLSchema-instance" xsi:noNamespaceSchemaLocation="sliptide.xsd"/>`, ""},
	{"escaped", `<sliptide version="1"><ready patience="&#53;s"/></sliptide>`, ""},
	{"bounds", `<sliptide version="1"><ready patience="3600s"/><knowledge max-size="16KiB" write-every="100ms"/></sliptide>`, ""},
	{"upper bounds", `<sliptide version="1"><ready patience="1h"/><knowledge max-size="1GiB" write-every="3600000ms"/></sliptide>`, ""},
	{"a week", `<sliptide version="1"><knowledge><half-life limit="7d" pace="365d"/></knowledge></sliptide>`, ""},
	{"partners", `<sliptide version="1"><partners><partner dest="0" protocol="h2c"/><partner dest="65535" protocol="h2" ca="/etc/ca.pem" server-name="a.example.org" max-connections="64"/></partners></sliptide>`, ""},
	{"no partners", `<sliptide version="1"><partners/></sliptide>`, ""},
	{"partner twice", `<sliptide version="1"><partners><partner dest="7" protocol="h2c"/><partner dest="7" protocol="https"/></partners></sliptide>`, "duplicate <partner>"},
	{"partner without a number", `<sliptide version="1"><partners><partner protocol="h2c"/></partners></sliptide>`, "lacks attribute dest"},
	{"partner out of range", `<sliptide version="1"><partners><partner dest="65536" protocol="h2c"/></partners></sliptide>`, "from 0 to 65535"},
	{"other protocol", `<sliptide version="1"><partners><partner dest="1" protocol="h3"/></partners></sliptide>`, "http/1.1, https, h2, h2c"},
	{"bad name", `<sliptide version="1"><partners><partner dest="1" protocol="h2" server-name="a b"/></partners></sliptide>`, "a host name"},
	{"empty path", `<sliptide version="1"><partners><partner dest="1" protocol="h2" ca=""/></partners></sliptide>`, "a path"},
	{"no connections", `<sliptide version="1"><partners><partner dest="1" protocol="h2" max-connections="0"/></partners></sliptide>`, "from 1 to 64"},
	{"fleet", fleetDocument(`lease="1s" drift="0.1"`, threeVoters), ""},
	{"fleet off", `<sliptide version="1"><fleet><member name="a" addr="8.8.8.8:1"/></fleet></sliptide>`, ""},
	{"two with one name", fleetDocument(``, threeVoters+`<member name="n1" addr="127.0.0.1:9"/>`), "duplicate <member>"},
	{"nothing", ``, "<sliptide>"},
	{"other root", `<config version="1"/>`, "root element <config>"},
	{"no version", `<sliptide/>`, "lacks attribute version"},
	{"other version", `<sliptide version="2"/>`, `version="2"`},
	{"unknown element", `<sliptide version="1"><kafka/></sliptide>`, "<ready>, <log>, <knowledge>"},
	{"unknown attribute", `<sliptide version="1"><ready patient="5s"/></sliptide>`, "allowed: patience"},
	{"misplaced", `<sliptide version="1"><half-life/></sliptide>`, "unknown element <half-life>"},
	{"nested wrongly", `<sliptide version="1"><ready><knowledge/></ready></sliptide>`, "no elements here"},
	{"element twice", `<sliptide version="1"><ready/><ready/></sliptide>`, "duplicate <ready>"},
	{"attribute twice", `<sliptide version="1"><ready patience="5s" patience="6s"/></sliptide>`, "duplicate attribute"},
	{"no unit", `<sliptide version="1"><ready patience="5"/></sliptide>`, "0ms to 1h"},
	{"wrong unit", `<sliptide version="1"><ready patience="5min"/></sliptide>`, "one of ms, s, m, h, d"},
	{"size for time", `<sliptide version="1"><ready patience="5KiB"/></sliptide>`, "one of ms"},
	{"time for size", `<sliptide version="1"><knowledge max-size="5s"/></sliptide>`, "one of B, KiB"},
	{"decimal unit", `<sliptide version="1"><knowledge max-size="256kB"/></sliptide>`, "KiB"},
	{"under the range", `<sliptide version="1"><knowledge max-size="16383B"/></sliptide>`, "16KiB to 1GiB"},
	{"over the range", `<sliptide version="1"><knowledge max-size="1025MiB"/></sliptide>`, "16KiB to 1GiB"},
	{"just over", `<sliptide version="1"><ready patience="3600001ms"/></sliptide>`, "0ms to 1h"},
	{"far over", `<sliptide version="1"><ready patience="99999999999999999999d"/></sliptide>`, "0ms to 1h"},
	{"overflow", `<sliptide version="1"><ready patience="213503982334602d"/></sliptide>`, "0ms to 1h"},
	{"fraction", `<sliptide version="1"><ready patience="1.5s"/></sliptide>`, "whole number"},
	{"sign", `<sliptide version="1"><ready patience="-1s"/></sliptide>`, "whole number"},
	{"leading zero", `<sliptide version="1"><ready patience="05s"/></sliptide>`, "whole number"},
	{"space", `<sliptide version="1"><ready patience=" 5s"/></sliptide>`, "whole number"},
	{"blank", `<sliptide version="1"><ready patience=""/></sliptide>`, "whole number"},
	{"not a word", `<sliptide version="1"><knowledge enabled="yes"/></sliptide>`, "false, true"},
	{"word in capitals", `<sliptide version="1"><knowledge enabled="True"/></sliptide>`, "false, true"},
	{"text", `<sliptide version="1">5s</sliptide>`, "text"},
	{"namespace", `<sliptide version="1" xmlns="urn:x"/>`, "root element"},
	{"two roots", `<sliptide version="1"/><sliptide version="1"/>`, "content after"},
	{"no end", `<sliptide version="1"><ready>`, "not well-formed"},
	{"crossed", `<sliptide version="1"><ready></sliptide></ready>`, "not well-formed"},
	{"no entity", `<sliptide version="1"><ready patience="&five;"/></sliptide>`, "not well-formed"},
	{"not XML", `ready: 5s`, "text"},
}

// The reader and the schema accept the same documents, and each error is one line with its position.
func TestReaderAndSchemaAgree(t *testing.T) {
	if _, err := exec.LookPath("xmllint"); err != nil {
		t.Fatal("xmllint is needed: apt-get install libxml2-utils (./test.sh does so as root)")
	}
	dir := t.TempDir()
	for _, f := range documents {
		t.Run(f.name, func(t *testing.T) {
			_, err := Read("f.xml", strings.NewReader(f.text))
			if (err == nil) != (f.want == "") || err != nil && !strings.Contains(err.Error(), f.want) {
				t.Fatalf("Read: error %v, want one with %q (empty: no error)", err, f.want)
			}
			if err != nil && (strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f.xml:1: ")) {
				t.Errorf("%q is not one line that begins with its position", err)
			}
			path := filepath.Join(dir, "f.xml")
			os.WriteFile(path, []byte(f.text), 0o600)
			out, lint := exec.Command("xmllint", "--noout", "--nonet", "--schema", schemaFile, path).CombinedOutput()
			if (lint == nil) != (err == nil) {
				t.Errorf("reader and schema disagree: reader: %v; schema: %v\n%s", err, lint, out)
			}
		})
	}
}

// The schema in deploy/ is the one generated from the specification.
func TestSchemaIsCurrent(t *testing.T) {
	text, err := os.ReadFile(schemaFile)
	if err != nil || string(text) != Schema() {
		t.Errorf("deploy/sliptide.xsd is not what `sliptide schema` prints (%v)", err)
	}
}

// The operators' file in deploy/ is valid, and its values for the knowledge are read.
func TestDeployedFile(t *testing.T) {
	f, err := Load("../../deploy/sliptide.xml")
	if err != nil {
		t.Fatal(err)
	}
	if !f.Knowledge.Enabled || f.Knowledge.MaxSize != 192<<10 || f.Knowledge.HalfLives.Limit != 30*time.Minute {
		t.Errorf("%+v", f)
	}
}

// A file without settings is equivalent to no file: the knowledge is off, and the time-out of <ready> is 5 s.
func TestDefaults(t *testing.T) {
	f, err := Read("f", strings.NewReader(`<sliptide version="1"/>`))
	if d := Default(); err != nil || !reflect.DeepEqual(*f, d) || d.Knowledge.Enabled || d.Ready.Timeout != 5*time.Second {
		t.Errorf("%+v, %v, want %+v", f, err, Default())
	}
}

// Partner settings that are not allowed together, which the schema cannot express, are refused with an error that names
// the destination.
func TestInvalidCombinations(t *testing.T) {
	for text, want := range map[string]string{
		`protocol="h2" cert="/c"`:             "cert and key are needed together",
		`protocol="h2c" ca="/c"`:              "need TLS",
		`protocol="http/1.1" server-name="x"`: "need TLS",
	} {
		_, err := Read("f", strings.NewReader(`<sliptide version="1"><partners><partner dest="3" `+text+`/></partners></sliptide>`))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "destination 3") {
			t.Errorf("%s: error %v, want one for destination 3 that says what is needed", text, err)
		}
	}
}

// An error names the file and the line. A missing file, a document type declaration and a document larger than
// MaxFileSize are refused.
func TestErrorsNameLineAndFile(t *testing.T) {
	_, err := Read("ops.xml", strings.NewReader("<sliptide version=\"1\">\n\n  <ready\n    patience=\"never\"/>\n</sliptide>"))
	var e *Error
	if !errors.As(err, &e) || e.Line != 4 || e.File != "ops.xml" || e.Allowed == "" {
		t.Errorf("%#v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.xml")); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Error(err)
	}
	if _, err := Read("f", strings.NewReader(`<!DOCTYPE a><sliptide version="1"/>`)); err == nil {
		t.Error("a document type declaration is accepted")
	}
	if _, err := Read("f", strings.NewReader(`<sliptide version="1">`+strings.Repeat(" ", strictxml.MaxFileSize)+`</sliptide>`)); err == nil || !strings.Contains(err.Error(), "too long") {
		t.Error(err)
	}
}

// FuzzRead checks that for any input Read returns a file or an error, and that the size and the write interval of the
// knowledge are not below their ranges.
func FuzzRead(f *testing.F) {
	for _, row := range documents {
		f.Add([]byte(row.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Read("f", bytes.NewReader(text))
		if file == nil && err == nil {
			t.Fatal("neither a file nor an error")
		}
		if err == nil && (file.Knowledge.MaxSize < 16<<10 || file.Knowledge.WriteInterval < 100*time.Millisecond) {
			t.Fatalf("knowledge below its range: %+v", file)
		}
	})
}
