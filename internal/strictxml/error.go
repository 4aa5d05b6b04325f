package strictxml

import "fmt"

// Error is one fault of a document: where it is, what is wrong, what is allowed.
type Error struct {
	File    string
	Line    int // 0: the whole file
	What    string
	Allowed string // empty if What says it all
}

// Error is the one line that a person reads.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Allowed == "" {
		return fmt.Sprintf("%s: %s", where, e.What)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", where, e.What, e.Allowed)
}
