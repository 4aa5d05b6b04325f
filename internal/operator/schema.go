package operator

import (
	"fmt"
	"html"
	"strings"
)

// Schema returns the XML Schema (1.0) of the operators' file. It judges a file as Read does, but for a
// document type declaration, which no schema can forbid.
func Schema() string {
	var b strings.Builder
	b.WriteString(`<?xml version="1.0" encoding="UTF-8"?>
<!-- The schema of the operators' file. "sliptide schema" writes it. -->
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema">
`)
	writeElement(&b, spec(), "  ", "")
	b.WriteString("</xs:schema>\n")
	return b.String()
}

func writeElement(b *strings.Builder, e *element, in, occurs string) {
	fmt.Fprintf(b, "%s<xs:element name=%q%s>\n", in, e.name, occurs)
	writeDoc(b, e.doc, in+"  ")
	fmt.Fprintf(b, "%s  <xs:complexType>\n", in)
	if len(e.children) > 0 {
		fmt.Fprintf(b, "%s    <xs:all>\n", in)
		for i := range e.children {
			writeElement(b, &e.children[i], in+"      ", ` minOccurs="0"`)
		}
		fmt.Fprintf(b, "%s    </xs:all>\n", in)
	}
	for i := range e.attrs {
		writeAttribute(b, &e.attrs[i], in+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n%s</xs:element>\n", in, in)
}

func writeAttribute(b *strings.Builder, a *attribute, in string) {
	use := fmt.Sprintf("default=%q", a.fallback)
	if a.required {
		use = `use="required"`
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q %s>\n", in, a.name, use)
	writeDoc(b, a.doc+" Allowed: "+a.values.String()+".", in+"  ")
	fmt.Fprintf(b, "%s  <xs:simpleType>\n%s    <xs:restriction base=\"xs:string\">\n", in, in)
	for _, w := range a.values.words {
		fmt.Fprintf(b, "%s      <xs:enumeration value=%q/>\n", in, w)
	}
	if len(a.values.units) > 0 {
		fmt.Fprintf(b, "%s      <xs:pattern value=%q/>\n", in, a.values.pattern())
	}
	fmt.Fprintf(b, "%s    </xs:restriction>\n%s  </xs:simpleType>\n%s</xs:attribute>\n", in, in, in)
}

func writeDoc(b *strings.Builder, doc, in string) {
	fmt.Fprintf(b, "%s<xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>\n", in, html.EscapeString(doc))
}
