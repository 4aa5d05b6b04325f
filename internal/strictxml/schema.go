package strictxml

import (
	"fmt"
	"html"
	"strings"
)

// Schema returns the XML Schema (1.0) of the documents that root specifies; comment becomes its first comment. The
// schema accepts the same documents as Read, with two exceptions: it can neither forbid a document type declaration nor
// limit the size, and where a child may be repeated, it requires the children in the order of the specification.
func Schema[T any](root *Element[T], comment string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<!-- %s -->
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema">
`, comment)
	writeElement(&b, root, "  ", "")
	b.WriteString("</xs:schema>\n")
	return b.String()
}

// writeElement writes the declaration of e. occurs holds the attributes that state how often it may occur.
func writeElement[T any](b *strings.Builder, e *Element[T], indent, occurs string) {
	fmt.Fprintf(b, "%s<xs:element name=%q%s>\n", indent, e.Name, occurs)
	writeDoc(b, e.Doc, indent+"  ")
	fmt.Fprintf(b, "%s  <xs:complexType>\n", indent)
	if len(e.Children) > 0 {
		group := "all" // in any order
		for i := range e.Children {
			if e.Children[i].Repeated {
				group = "sequence" // in the given order: the children of xs:all cannot be repeated
			}
		}
		fmt.Fprintf(b, "%s    <xs:%s>\n", indent, group)
		for i := range e.Children {
			occurs := ` minOccurs="0"`
			if e.Children[i].Repeated {
				occurs += ` maxOccurs="unbounded"`
			}
			writeElement(b, &e.Children[i], indent+"      ", occurs)
		}
		fmt.Fprintf(b, "%s    </xs:%s>\n", indent, group)
	}
	for i := range e.Attrs {
		writeAttribute(b, &e.Attrs[i], indent+"    ")
	}
	fmt.Fprintf(b, "%s  </xs:complexType>\n", indent)
	for i := range e.Children {
		if c := &e.Children[i]; c.Unique != "" {
			fmt.Fprintf(b, "%s  <xs:unique name=\"one-%s\"><xs:selector xpath=%q/><xs:field xpath=\"@%s\"/></xs:unique>\n", indent, c.Name, c.Name, c.Unique)
		}
	}
	fmt.Fprintf(b, "%s</xs:element>\n", indent)
}

// writeAttribute writes the declaration of an attribute.
func writeAttribute[T any](b *strings.Builder, a *Attribute[T], indent string) {
	use := `use="optional"`
	switch {
	case a.Required:
		use = `use="required"`
	case a.Default != "":
		use = fmt.Sprintf("default=%q", a.Default)
	}
	fmt.Fprintf(b, "%s<xs:attribute name=%q %s>\n", indent, a.Name, use)
	writeDoc(b, a.Doc+" Allowed: "+a.Values.String()+".", indent+"  ")
	fmt.Fprintf(b, "%s  <xs:simpleType>\n%s    <xs:restriction base=\"xs:string\">\n", indent, indent)
	for _, w := range a.Values.words {
		fmt.Fprintf(b, "%s      <xs:enumeration value=%q/>\n", indent, w)
	}
	if len(a.Values.words) == 0 {
		fmt.Fprintf(b, "%s      <xs:pattern value=\"%s\"/>\n", indent, html.EscapeString(a.Values.pattern()))
	}
	fmt.Fprintf(b, "%s    </xs:restriction>\n%s  </xs:simpleType>\n%s</xs:attribute>\n", indent, indent, indent)
}

func writeDoc(b *strings.Builder, doc, indent string) {
	fmt.Fprintf(b, "%s<xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>\n", indent, html.EscapeString(doc))
}
