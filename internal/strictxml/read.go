package strictxml

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

const (
	// MaxFileSize is the maximum size of a document in bytes.
	MaxFileSize = 1 << 20
	xsiSpace    = "http://www.w3.org/2001/XMLSchema-instance"
	xmlnsSpace  = "xmlns"
)

// Open reads the file at path into a new T. Errors are of type *Error, which does not wrap the cause.
func Open[T any](path string, root *Element[T]) (*T, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, &Error{File: path, What: reason(err)}
	}
	defer in.Close()
	return Read(path, in, root)
}

// reason returns the text of err without the path, which Error already contains.
func reason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Read reads one document into a new T, whose fields start with the defaults of root. It refuses anything that root
// does not specify. name is the file name in errors, which are of type *Error.
func Read[T any](name string, in io.Reader, root *Element[T]) (*T, error) {
	limited := &io.LimitedReader{R: in, N: MaxFileSize + 1}
	r := reader[T]{name: name, dec: xml.NewDecoder(limited), file: new(T), limited: limited}
	root.ApplyDefaults(r.file)
	if err := r.document(root); err != nil {
		return nil, err
	}
	return r.file, nil
}

// reader reads one document.
type reader[T any] struct {
	name    string
	dec     *xml.Decoder
	file    *T
	limited *io.LimitedReader
}

// errorAt returns an Error at the current position of the decoder.
func (r *reader[T]) errorAt(allowed, format string, args ...any) error {
	line, _ := r.dec.InputPos()
	return &Error{File: r.name, Line: line, What: fmt.Sprintf(format, args...), Allowed: allowed}
}

// token returns the next token that is neither a comment, a processing instruction nor white space. The error is
// io.EOF only at the end of a document that is well formed so far.
func (r *reader[T]) token() (xml.Token, error) {
	for {
		tok, err := r.dec.Token()
		if r.limited.N == 0 {
			return nil, r.errorAt("1MiB at most", "the document is too long")
		}
		if err == io.EOF {
			return nil, io.EOF
		}
		if err != nil {
			return nil, r.errorAt("", "not well-formed XML: %s", strings.TrimPrefix(err.Error(), "XML syntax error on "))
		}
		switch t := tok.(type) {
		case xml.Comment, xml.ProcInst:
		case xml.Directive:
			return nil, r.errorAt("elements only", "a document type declaration")
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" {
				return nil, r.errorAt("values in attributes only", "text %.20q", s)
			}
		default:
			return tok, nil
		}
	}
}

// document reads the root element and checks that nothing follows it.
func (r *reader[T]) document(root *Element[T]) error {
	tok, err := r.token()
	start, ok := tok.(xml.StartElement)
	switch {
	case err == io.EOF:
		return r.errorAt("<"+root.Name+">", "the document is empty")
	case err != nil:
		return err
	case !ok || start.Name.Space != "" || start.Name.Local != root.Name:
		return r.errorAt("<"+root.Name+">", "root element <%s>", qualifiedName(start.Name))
	}
	if err := r.element(root, start); err != nil {
		return err
	}
	if _, err := r.token(); err != io.EOF {
		if err == nil {
			err = r.errorAt("one root element", "unexpected content after </%s>", root.Name)
		}
		return err
	}
	return nil
}

// element reads the attributes and children of e, up to its end tag.
func (r *reader[T]) element(e *Element[T], start xml.StartElement) error {
	if e.Repeated {
		e.Add(r.file)
		e.applyOwnDefaults(r.file)
	}
	if err := r.attributes(e, start.Attr); err != nil {
		return err
	}
	seen := map[string]bool{}
	values := map[string]bool{} // values of the children's unique attribute
	for {
		tok, err := r.token()
		if err == io.EOF {
			return r.errorAt("", "not well-formed XML: <%s> has no end tag", e.Name)
		}
		if err != nil {
			return err
		}
		child, ok := tok.(xml.StartElement)
		if !ok {
			return nil // an end tag, which the decoder has matched with the start tag
		}
		spec := e.child(child.Name.Local)
		if spec == nil || child.Name.Space != "" {
			return r.errorAt(e.childNames(), "unknown element <%s> in <%s>", qualifiedName(child.Name), e.Name)
		}
		if seen[spec.Name] && !spec.Repeated {
			return r.errorAt("once", "duplicate <%s> in <%s>", spec.Name, e.Name)
		}
		seen[spec.Name] = true
		if err := r.element(spec, child); err != nil {
			return err
		}
		for _, a := range child.Attr {
			if spec.Unique != "" && a.Name.Local == spec.Unique && a.Name.Space == "" {
				if values[a.Value] {
					return r.errorAt("once", "duplicate <%s> with %s=%q", spec.Name, a.Name.Local, a.Value)
				}
				values[a.Value] = true
			}
		}
	}
}

func qualifiedName(n xml.Name) string {
	if n.Space != "" {
		return n.Space + ":" + n.Local
	}
	return n.Local
}

// attributes reads the attributes of one element.
func (r *reader[T]) attributes(e *Element[T], list []xml.Attr) error {
	seen := map[string]bool{}
	for _, a := range list {
		switch a.Name.Space {
		case xsiSpace, xmlnsSpace: // location of the schema, for editors
			continue
		}
		spec := e.attr(a.Name.Local)
		if spec == nil || a.Name.Space != "" {
			return r.errorAt(e.attrNames(), "unknown attribute %s of <%s>", qualifiedName(a.Name), e.Name)
		}
		if seen[spec.Name] { // encoding/xml accepts duplicate attributes
			return r.errorAt("once", "duplicate attribute %s in <%s>", spec.Name, e.Name)
		}
		seen[spec.Name] = true
		v, ok := spec.Values.Parse(a.Value)
		if !ok {
			return r.errorAt(spec.Values.String(), "%s=%q in <%s>", spec.Name, a.Value, e.Name)
		}
		if spec.SetNumber != nil {
			spec.SetNumber(r.file, v)
		}
		if spec.SetText != nil {
			spec.SetText(r.file, a.Value)
		}
	}
	for i := range e.Attrs {
		if a := &e.Attrs[i]; a.Required && !seen[a.Name] {
			return r.errorAt(a.Name+"="+a.Values.String(), "<%s> lacks attribute %s", e.Name, a.Name)
		}
	}
	return nil
}
