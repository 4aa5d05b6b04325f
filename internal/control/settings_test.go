package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sliptide/internal/operator"
)

const validFile = `<control version="1" name="c1" state="state" discovery="127.0.0.1:8500">
 <member name="c1" addr="127.0.0.1:7301" directory="127.0.0.1:7401" region="r1" voter="true"/>
 <member name="c2" addr="127.0.0.1:7302" directory="127.0.0.1:7402" region="r2" voter="true"/>
 <member name="c3" addr="127.0.0.1:7303" directory="127.0.0.1:7403" region="r3" voter="true"/>
</control>`

// loadText loads text from a file in a new folder.
func loadText(t *testing.T, text string) (*Settings, error) {
	path := filepath.Join(t.TempDir(), "control.xml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// A valid file is loaded, with defaults for what it omits. Each wrong or missing value is refused with an error that
// says what is wrong or what is allowed.
func TestSettings(t *testing.T) {
	s, err := loadText(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	if s.Self().Region != "r1" || s.Replicas != 2 || s.Lease != 2*time.Second || len(s.Members) != 3 || !filepath.IsAbs(s.StateDir) || s.MaxListBytes != 1<<30 {
		t.Errorf("%+v", s)
	}
	for _, bad := range []struct{ from, to, want string }{
		{`name="c1" state`, `name="c9" state`, `name="c9" is not the name of a <member>`},
		{`region="r3" voter="true"`, `region="r3"`, "3 or 5"},
		{`directory="127.0.0.1:7403"`, `directory="127.0.0.1:7303"`, "a separate address for each addr and directory"},
		{`addr="127.0.0.1:7302"`, `addr="192.0.2.1:7302"`, "loopback and private addresses"},
		{`addr="127.0.0.1:7302"`, `addr="127.0.0.1"`, "an IP address and a port"},
		{`</control>`, `<duties lease="1s" election="600ms"/></control>`, "1.2s or more"},
		{`discovery="127.0.0.1:8500"`, `discovery="127.0.0.1:8500" cert="c.pem"`, "all or none"},
		{`discovery="127.0.0.1:8500"`, `discovery="127.0.0.1:8500" replicas="9"`, "replicas"},
		{` discovery="127.0.0.1:8500"`, ``, "discovery"},
		{`region="r2"`, `region="r2" rack="7"`, "rack"},
	} {
		if _, err := loadText(t, strings.Replace(validFile, bad.from, bad.to, 1)); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%q in place of %q: error %v, want one about %q", bad.to, bad.from, err, bad.want)
		}
	}
}

// The example's files can be loaded, each is that of the member it is named after, and the control members in the
// sender's file have the names and directory addresses of those in control-1.xml.
func TestExample(t *testing.T) {
	for _, name := range []string{"control-1.xml", "control-2.xml", "control-3.xml"} {
		s, err := Load("../../example/" + name)
		if err != nil {
			t.Error(err)
		} else if s.Name+".xml" != name {
			t.Errorf("%s is the file of member %q", name, s.Name)
		}
	}
	f, err := operator.Load("../../example/sliptide-shards.xml")
	if err != nil {
		t.Fatal(err)
	}
	s, _ := Load("../../example/control-1.xml")
	for i, c := range f.Fleet.Shards.ControlMembers {
		if m := s.Members[i]; m.Name != c.Name || m.DirectoryAddr != c.Addr {
			t.Errorf("sender's entry %+v differs from the control member's %+v", c, m)
		}
	}
}

// deploy/control.xsd is up to date.
func TestSchemaIsCurrent(t *testing.T) {
	text, err := os.ReadFile("../../deploy/control.xsd")
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != Schema() {
		t.Error("deploy/control.xsd is not what `sliptide control schema` writes: run make generate")
	}
}
