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
	// MaxFile is the most bytes that a document may have.
	MaxFileSize = 1 << 20
	xsiSpace    = "http://www.w3.org/2001/XMLSchema-instance"
	xmlnsSpace  = "xmlns"
)

// Open reads the file at path into a new T. Errors are of type *Error.
func Open[T any](path string, root *Element[T]) (*T, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, &Error{File: path, What: reason(err)}
	}
	defer in.Close()
	return Read(path, in, root)
}

// reason is err without the path, which the message already has.
func reason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Read reads one document into a new T that stands at the defaults of root. Whatever root does not know, it
// refuses; name stands in messages. Errors are of type *Error.
func Read[T any](name string, in io.Reader, root *Element[T]) (*T, error) {
	limited := &io.LimitedReader{R: in, N: MaxFileSize + 1}
	r := reader[T]{name: name, dec: xml.NewDecoder(limited), file: new(T), limited: limited}
	root.ApplyDefaults(r.file)
	if err := r.document(root); err != nil {
		return nil, err
	}
	return r.file, nil
}

type reader[T any] struct {
	name    string
	dec     *xml.Decoder
	file    *T
	limited *io.LimitedReader
}

// fail is a fault at the place that has been read up to.
func (r *reader[T]) fail(allowed, format string, args ...any) error {
	line, _ := r.dec.InputPos()
	return &Error{File: r.name, Line: line, What: fmt.Sprintf(format, args...), Allowed: allowed}
}

// token is the next token that is neither comment nor white space. It is io.EOF only at the end of a
// document that is well formed so far.
func (r *reader[T]) token() (xml.Token, error) {
	for {
		tok, err := r.dec.Token()
		if r.limited.N == 0 {
			return nil, r.fail("1MiB at most", "the file is too long")
		}
		if err == io.EOF {
			return nil, io.EOF
		}
		if err != nil {
			return nil, r.fail("", "not well-formed XML: %s", strings.TrimPrefix(err.Error(), "XML syntax error on "))
		}
		switch t := tok.(type) {
		case xml.Comment, xml.ProcInst:
		case xml.Directive:
			return nil, r.fail("elements only", "a document type declaration")
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" {
				return nil, r.fail("values stand in attributes", "text %.20q", s)
			}
		default:
			return tok, nil
		}
	}
}

// document reads the one root element.
func (r *reader[T]) document(root *Element[T]) error {
	tok, err := r.token()
	start, ok := tok.(xml.StartElement)
	switch {
	case err == io.EOF:
		return r.fail("<"+root.Name+">", "nothing in it")
	case err != nil:
		return err
	case !ok || start.Name.Space != "" || start.Name.Local != root.Name:
		return r.fail("<"+root.Name+">", "root element <%s>", shown(start.Name))
	}
	if err := r.element(root, start); err != nil {
		return err
	}
	if _, err := r.token(); err != io.EOF {
		if err == nil {
			err = r.fail("one root element", "something behind </%s>", root.Name)
		}
		return err
	}
	return nil
}

// element reads what e holds, up to its end.
func (r *reader[T]) element(e *Element[T], start xml.StartElement) error {
	if e.Repeated {
		e.Add(r.file)
		e.own(r.file)
	}
	if err := r.attributes(e, start.Attr); err != nil {
		return err
	}
	seen := map[string]bool{}
	values := map[string]bool{} // of the unique attribute of what is repeated
	for {
		tok, err := r.token()
		if err == io.EOF {
			return r.fail("", "not well-formed XML: <%s> has no end", e.Name)
		}
		if err != nil {
			return err
		}
		child, ok := tok.(xml.StartElement)
		if !ok {
			return nil // the decoder has matched it with its start
		}
		spec := e.child(child.Name.Local)
		if spec == nil || child.Name.Space != "" {
			return r.fail(e.contents(), "unknown element <%s> in <%s>", shown(child.Name), e.Name)
		}
		if seen[spec.Name] && !spec.Repeated {
			return r.fail("once", "<%s> stands twice in <%s>", spec.Name, e.Name)
		}
		seen[spec.Name] = true
		if err := r.element(spec, child); err != nil {
			return err
		}
		for _, a := range child.Attr {
			if spec.Unique != "" && a.Name.Local == spec.Unique && a.Name.Space == "" {
				if values[a.Value] {
					return r.fail("once", "<%s> with %s=%q stands twice", spec.Name, a.Name.Local, a.Value)
				}
				values[a.Value] = true
			}
		}
	}
}

func shown(n xml.Name) string {
	if n.Space != "" {
		return n.Space + ":" + n.Local
	}
	return n.Local
}

// attributes reads those of one element.
func (r *reader[T]) attributes(e *Element[T], list []xml.Attr) error {
	seen := map[string]bool{}
	for _, a := range list {
		switch a.Name.Space {
		case xsiSpace, xmlnsSpace: // where the schema is, for editors
			continue
		}
		spec := e.attr(a.Name.Local)
		if spec == nil || a.Name.Space != "" {
			return r.fail(e.attrNames(), "unknown attribute %s of <%s>", shown(a.Name), e.Name)
		}
		if seen[spec.Name] { // encoding/xml lets it pass
			return r.fail("once", "attribute %s stands twice in <%s>", spec.Name, e.Name)
		}
		seen[spec.Name] = true
		v, ok := spec.Values.Parse(a.Value)
		if !ok {
			return r.fail(spec.Values.String(), "%s=%q in <%s>", spec.Name, a.Value, e.Name)
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
			return r.fail(a.Name+"="+a.Values.String(), "<%s> lacks %s", e.Name, a.Name)
		}
	}
	return nil
}
