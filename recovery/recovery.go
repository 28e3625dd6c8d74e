// Package recovery keeps a panic in the handling of one request, message or tick from ending the process, and with it
// all other requests.
package recovery

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// Panic is the error of a function that panicked.
type Panic struct {
	// Where names the function.
	Where string
	// Value is the argument of panic.
	Value any
	// Stack is the stack of the goroutine.
	Stack []byte
}

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("panic in %s: %v", p.Where, p.Value) }

// report is called for each panic.
var report atomic.Pointer[func(*Panic)]

// SetReport sets the function that is called, from any goroutine, for each panic from which Call recovers.
func SetReport(f func(*Panic)) { report.Store(&f) }

// Call calls f. If f panics, the panic is reported and returned as the error, of type *Panic.
func Call(where string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			p := &Panic{Where: where, Value: value, Stack: debug.Stack()}
			if f := report.Load(); f != nil {
				(*f)(p)
			}
			err = p
		}
	}()
	return f()
}

// Run is Call for a function without an error.
func Run(where string, f func()) error {
	return Call(where, func() error { f(); return nil })
}
