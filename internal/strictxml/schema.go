package strictxml

import (
	"fmt"
	"html"
	"strings"
)

// Schema returns the XML Schema (1.0) of the documents that root describes; head is its first comment. It
// judges a document as Read does, but for a document type declaration, which no schema can forbid.
func Schema[T any](root *Element[T], head string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<!-- %s -->
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema">
`, head)
	writeElement(&b, root, "  ", "")
	b.WriteString("</xs:schema>\n")
	return b.String()
}

func writeElement[T any](b *strings.Builder, e *Element[T], in, occurs string) {
	fmt.Fprintf(b, "%s<xs:element name=%q%s>\n", in, e.Name, occurs)
	writeDoc(b, e.Doc, in+"  ")
	fmt.Fprintf(b, "%s  <xs:complexType>\n", in)
	if len(e.Children) > 0 {
		group := "all" // in any order
		for i := range e.Children {
			if e.Children[i].Repeated {
				group = "sequence"
			}
		}
		fmt.Fprintf(b, "%s    <xs:%s>\n", in, group)
		for i := range e.Children {
			occurs := ` minOccurs="0"`
			if e.Children[i].Repeated {
				occurs += ` maxOccurs="unbounded"`
			}
			writeElement(b, &e.Children[i], in+"      ", occurs)
		}
		fmt.Fprintf(b, "%s    </xs:%s>\n", in, group)
	}
	for i := range e.Attrs {
		writeAttribute(b, &e.Attrs[i], in+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n", in)
	for i := range e.Children {
		if c := &e.Children[i]; c.Unique != "" {
			fmt.Fprintf(b, "%s  <xs:unique name=\"one-%s\"><xs:selector xpath=%q/><xs:field xpath=\"@%s\"/></xs:unique>\n", in, c.Name, c.Name, c.Unique)
		}
	}
	fmt.Fprintf(b, "%s</xs:element>\n", in)
}

func writeAttribute[T any](b *strings.Builder, a *Attribute[T], in string) {
	use := `use="optional"`
	switch {
	case a.Required:
		use = `use="required"`
	case a.Default != "":
		use = fmt.Sprintf("default=%q", a.Default)
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q %s>\n", in, a.Name, use)
	writeDoc(b, a.Doc+" Allowed: "+a.Values.String()+".", in+"  ")
	fmt.Fprintf(b, "%s  <xs:simpleType>\n%s    <xs:restriction base=\"xs:string\">\n", in, in)
	for _, w := range a.Values.words {
		fmt.Fprintf(b, "%s      <xs:enumeration value=%q/>\n", in, w)
	}
	if len(a.Values.words) == 0 {
		fmt.Fprintf(b, "%s      <xs:pattern value=\"%s\"/>\n", in, html.EscapeString(a.Values.pattern()))
	}
	fmt.Fprintf(b, "%s    </xs:restriction>\n%s  </xs:simpleType>\n%s</xs:attribute>\n", in, in, in)
}

func writeDoc(b *strings.Builder, doc, in string) {
	fmt.Fprintf(b, "%s<xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>\n", in, html.EscapeString(doc))
}
