package replica

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// errNotReport means that the first message on a connection wasn't a report.
var errNotReport = errors.New("first message is not a report")

// stackBytes bounds the size of the stack trace in an error.
const stackBytes = 2 << 10

// PanicError is the error for a panic in the handling of a message.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack)
}

// recoverToError, when deferred, turns a panic into an error, so that a single message can't terminate the process.
func recoverToError(err *error) {
	if v := recover(); v != nil {
		stack := debug.Stack()
		*err = &PanicError{Value: v, Stack: stack[:min(len(stack), stackBytes)]}
	}
}
