package strictxml

import "fmt"

// Error describes an error in a document: its position, the problem and what is allowed.
type Error struct {
	File    string
	Line    int // 0: the whole file
	What    string
	Allowed string // may be empty
}

// Error returns the error in one line.
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
