package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Fleet is a fleet of senders, all of them voters.
type Fleet struct {
	lab      *Lab
	names    []string
	own      []string  // the address on which each member takes links
	links    [][]*Link // links[i][j] is what member i dials for member j
	commands []string
}

// NewFleet prepares a fleet of n members n1, n2 and so on, with copies as given. Its operators' files are that of the
// deployment with a <fleet>.
func (l *Lab) NewFleet(n int, copies string) *Fleet {
	f := &Fleet{lab: l}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n%d", i+1))
		f.own = append(f.own, l.FreeAddr())
	}
	base, err := os.ReadFile(filepath.Join(l.Root, "deploy", "sliptide.xml"))
	if err != nil {
		l.Fail("operators' file: %v", err)
	}
	for i := range n {
		var links []*Link
		var members strings.Builder
		for j := range n {
			addr := f.own[j]
			var k *Link
			if j != i {
				k = l.NewLink(f.own[j])
				addr = k.Addr
			}
			links = append(links, k)
			fmt.Fprintf(&members, "    <member name=%q addr=%q zone=\"a\" voter=\"true\"/>\n", f.names[j], addr)
		}
		f.links = append(f.links, links)
		text := strings.Replace(string(base), "</sliptide>", fmt.Sprintf("  <fleet enabled=\"true\" listen=%q>\n%s    <duties lease=\"2s\" drift=\"0.05\" election=\"500ms\"/>\n    %s\n  </fleet>\n</sliptide>", f.own[i], members.String(), copies), 1)
		path := filepath.Join(l.Dir, f.names[i]+".xml")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			l.Fail("operators' file: %v", err)
		}
		f.commands = append(f.commands, strings.Replace(l.RunCommand(), "deploy/sliptide.xml", path, 1))
	}
	return f
}

// Command returns the command that starts member i.
func (f *Fleet) Command(i int) string { return f.commands[i] }

// SetCut cuts all links of member i with the others, or restores them.
func (f *Fleet) SetCut(i int, cut bool) {
	for j := range f.names {
		if j != i {
			f.links[i][j].SetCut(cut)
			f.links[j][i].SetCut(cut)
		}
	}
	f.lab.Note("links of %s with the other members: cut %v", f.names[i], cut)
}
