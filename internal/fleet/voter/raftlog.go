package voter

import (
	"fmt"
)

// This file adapts the logger of the Raft library.

// quietLogger is the logger of the Raft library. It discards everything except panics.
type quietLogger struct{}

func (quietLogger) Debug(...any)              {}
func (quietLogger) Debugf(string, ...any)     {}
func (quietLogger) Info(...any)               {}
func (quietLogger) Infof(string, ...any)      {}
func (quietLogger) Warning(...any)            {}
func (quietLogger) Warningf(string, ...any)   {}
func (quietLogger) Error(...any)              {}
func (quietLogger) Errorf(string, ...any)     {}
func (quietLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quietLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
